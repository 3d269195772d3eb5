"""Writes of callers' jobs and cancellations, in any order.

The store may carry out an unanswered write seconds later, after newer ones.
A cancellation is therefore stored also if its job does not exist, and a job
is stored only on the condition that no cancellation of it is. Whichever of the
two the store carries out first, the other finds it.
"""

import enum

from samphiregate.adapters.cells import _deadline_calls
from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate.core import cells

# Cancellations of jobs that do not exist, of each VM: anybody with a key can
# send them, and each is a write.
UNKNOWN_CANCELS_PER_S = 5
MAX_UNKNOWN_CANCELS = 20  # at once
TOO_MANY_CANCELS = "too many jobs that do not exist are being cancelled"


class Submission(enum.Enum):
    """What became of a job that a caller submitted."""

    STORED = "stored"
    KNOWN = "known"  # a job with its id exists
    CANCELLED = "cancelled"  # it was cancelled before, and will not run


class JobWrites:
    """Writes jobs and cancellations of one cell for callers.

    Parameters
    ----------
    cell : str
    calls : DeadlineCalls
    now_ms : callable
    """

    def __init__(self, *, cell, calls, now_ms):
        self._cell = cell
        self._calls = calls
        self._now_ms = now_ms
        self._unknown_cancels = cells.TokenBucket(
            UNKNOWN_CANCELS_PER_S, MAX_UNKNOWN_CANCELS, now_ms()
        )

    def submit(self, timeout_ms, job_id, value):
        """Stores a job that does not exist.

        One that was cancelled before is stored too, beside its cancellation,
        so that its state can be asked for.

        Parameters
        ----------
        timeout_ms : int
        job_id : str
        value : bytes
            The encoded job.

        Returns
        -------
        Submission

        Raises
        ------
        SamphiregateError
            As `DeadlineCalls.commit`.
        """
        deadline_ms = self._now_ms() + timeout_ms
        job_key, cancel_key = self._keys_of(job_id)
        write = _ports.StoreWrite(job_key, value)
        cancel_revision = 0
        while True:
            expected = {job_key: 0, cancel_key: cancel_revision}
            try:
                self._calls.commit(
                    deadline_ms - self._now_ms(), expected, write
                )
            except _ports.ConflictError as error:
                if error.revision_by_key.get(job_key):
                    return Submission.KNOWN
                cancel_revision = error.revision_by_key.get(cancel_key, 0)
                continue
            if cancel_revision:
                return Submission.CANCELLED
            return Submission.STORED

    def cancel(self, timeout_ms, job_id):
        """Stores the cancellation of a job, whether it exists or not.

        Returns
        -------
        bool
            Whether the job exists.

        Raises
        ------
        SamphiregateError
            As `DeadlineCalls.commit`; `UNAVAILABLE` also if too many jobs
            that do not exist are cancelled.
        """
        deadline_ms = self._now_ms() + timeout_ms
        job_key, cancel_key = self._keys_of(job_id)
        item = self._calls.read(job_key, deadline_ms)
        write = _ports.StoreWrite(cancel_key, b"1")
        job_revision = item.revision if item else 0
        while True:
            if not job_revision:
                self._check_unknown_cancels()
            expected = {cancel_key: 0, job_key: job_revision}
            try:
                self._calls.commit(
                    deadline_ms - self._now_ms(), expected, write
                )
                return bool(job_revision)
            except _ports.ConflictError as error:
                # The owner writes an ended job anew, without its steps; that
                # happens once.
                job_revision = error.revision_by_key.get(job_key, 0)
                if error.revision_by_key.get(cancel_key):
                    return bool(job_revision)

    def _keys_of(self, job_id):
        job_key = _keys.job(self._cell, job_id)
        return job_key, _keys.cancel(self._cell, job_id)

    def _check_unknown_cancels(self):
        if not self._unknown_cancels.try_consume(self._now_ms()):
            raise _deadline_calls.unavailable(TOO_MANY_CANCELS)
