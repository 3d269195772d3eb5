"""Backs off from endpoints on which tasks fail.

An endpoint on which every task fails immediately always has free capacity and
would attract all waiting tasks. After failures of several jobs without a
success in between, it gets no tasks for a while, each time for longer.
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
    """Tracks failures of endpoints and their exponential backoff."""

    def __init__(self):
        self._record_by_id = {}

    def is_backing_off(self, endpoint_id, now_ms):
        """Whether an endpoint gets no tasks now."""
        record = self._record_by_id.get(endpoint_id)
        return record is not None and record.backoff_until_ms > now_ms

    def record_ends(self, event, expected_runs, now_ms):
        """Records the ends that a poll returned.

        Parameters
        ----------
        event : EndpointPolled
        expected_runs : dict
            Bookings of the endpoint before the poll was applied, keyed by
            task id and run number. Other runs are ignored.
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
