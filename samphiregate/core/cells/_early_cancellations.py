"""Cancellations of jobs that the owner has not read.

The load that this answers: a caller submits a job, gets no answer, and cancels
it; the store carries out the submission seconds later, or never. The
cancellation stays in the store until no write of its job can be under way any
more, so that the job does not run when it appears.
"""

# Longer than any write of a job is under way: callers and the store are done
# with one within seconds.
RETENTION_MS = 60_000


class EarlyCancellations:
    """Ids of cancelled jobs that were not read yet."""

    def __init__(self):
        self._noted_ms_by_id = {}

    def __len__(self):
        return len(self._noted_ms_by_id)

    def add(self, job_id, now_ms):
        """Notes a cancellation; the first time that it was noted counts."""
        self._noted_ms_by_id.setdefault(job_id, now_ms)

    def discard(self, job_id):
        """Forgets a cancellation; returns whether it was noted."""
        return self._noted_ms_by_id.pop(job_id, None) is not None

    def expired(self, now_ms):
        """Returns the ids whose cancellation is no longer needed."""
        ids = []
        for job_id, noted_ms in self._noted_ms_by_id.items():
            if now_ms - noted_ms < RETENTION_MS:
                break
            ids.append(job_id)
        return ids
