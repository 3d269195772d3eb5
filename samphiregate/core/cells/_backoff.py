"""Keeps work from endpoints that fail what they start.

Answers the load of an endpoint that ends every task as failed at once, and
so has always room for the next: after some failures of several jobs without
a success it rests, each time for longer.
"""

import attrs

from samphiregate.core.cells import _messages

BACKOFF_FAILED_JOB_COUNT = 3
MIN_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 10_000


@attrs.define
class _FailureRecord:
    failed_job_ids: set = attrs.field(factory=set)
    backoff_until_ms: int = 0
    backoff_ms: int = MIN_BACKOFF_MS


class FailureBackoff:
    """Charges failures to endpoints."""

    def __init__(self):
        self._record_by_id = {}

    def is_backing_off(self, endpoint_id, now_ms):
        """Whether an endpoint gets no work now."""
        record = self._record_by_id.get(endpoint_id)
        return record is not None and record.backoff_until_ms > now_ms

    def record_ends(self, event, expected_runs, now_ms):
        """Notes the ends that an endpoint lists.

        Parameters
        ----------
        event : EndpointLooked
        expected_runs : dict
            What was believed to run there before, keyed by task id and run.
        now_ms : int
        """
        for row in event.ended:
            if (row.task_id, row.run) in expected_runs:
                self._record_end(event.endpoint_id, row, now_ms)

    def _record_end(self, endpoint_id, row, now_ms):
        reasons = _messages.EndReason
        if row.reason is reasons.DONE:
            self._record_by_id.pop(endpoint_id, None)
        elif row.reason is reasons.FAILED:
            record = self._record_by_id.setdefault(
                endpoint_id, _FailureRecord()
            )
            record.failed_job_ids.add(row.task_id.job_id)
            if len(record.failed_job_ids) >= BACKOFF_FAILED_JOB_COUNT:
                record.backoff_until_ms = now_ms + record.backoff_ms
                record.backoff_ms = min(record.backoff_ms * 2, MAX_BACKOFF_MS)
                record.failed_job_ids.clear()
