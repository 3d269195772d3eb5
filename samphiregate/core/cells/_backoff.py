"""Backs off from endpoints on which tasks fail.

An endpoint on which every task fails immediately always has free capacity and
would attract all waiting tasks. After failures of several jobs without a
success in between, it gets no tasks for a while, each time for longer. A
long-running task never ends as done; if it worked for long before it failed,
that counts as a success.

An endpoint with a failure and no success since then is suspect: other
endpoints are preferred, and a task that has failed waits for one of these
rather than lose its next attempt in the same way.
"""

import attrs

from samphiregate.core.cells import _messages

BACKOFF_FAILED_JOB_COUNT = 3
MIN_BACKOFF_MS = 2_000
MAX_BACKOFF_MS = 10_000
SOUND_RUN_MS = 5_000  # work that shows that tasks can run on an endpoint


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

    def is_suspect(self, endpoint_id):
        """Whether a task failed on an endpoint, and none succeeded since."""
        return endpoint_id in self._record_by_id

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
            booking = expected_runs.get((row.task_id, row.run))
            if booking is not None:
                self._record_end(event.endpoint_id, row, booking, now_ms)

    def _record_end(self, endpoint_id, row, booking, now_ms):
        reasons = _messages.EndReason
        if row.reason is reasons.DONE:
            self._record_by_id.pop(endpoint_id, None)
        elif row.reason is reasons.FAILED:
            if _has_worked_long(booking, now_ms):
                self._record_by_id.pop(endpoint_id, None)
                return
            record = self._record_by_id.setdefault(
                endpoint_id, _FailureRecord()
            )
            record.failed_job_ids.add(row.task_id.job_id)
            if len(record.failed_job_ids) >= BACKOFF_FAILED_JOB_COUNT:
                record.backoff_until_ms = now_ms + record.backoff_ms
                record.backoff_ms = min(record.backoff_ms * 2, MAX_BACKOFF_MS)
                record.failed_job_ids.clear()


def _has_worked_long(booking, now_ms):
    worked_ms = now_ms - booking.sent_ms
    return booking.step.long_running and worked_ms >= SOUND_RUN_MS
