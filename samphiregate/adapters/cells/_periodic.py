"""Periodic work of a cell's owner: the load log, and what has expired."""

from gevent import pool

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate import errors

ENDED_JOB_RETENTION_MS = 180_000
PURGE_INTERVAL_MS = 10_000
MAX_PURGED_JOBS = 9  # per transaction; each job has three keys
# Per transaction; each has a condition and a removal.
MAX_PURGED_CANCELLATIONS = 15
MAX_CANCELLATION_PURGES = 100  # transactions in one interval
LOAD_LOG_INTERVAL_MS = 1_000


class LoadLogger:
    """Logs the load of a cell.

    Parameters
    ----------
    now_ms : callable
    log : DecisionLog
    """

    def __init__(self, *, now_ms, log):
        self._now_ms = now_ms
        self._log = log
        self._next_ms = 0

    def run(self, cell):
        """Logs the load if the interval is over."""
        now_ms = self._now_ms()
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + LOAD_LOG_INTERVAL_MS
            self._log.write("cell load", **cell.load())


class Purger:
    """Removes from the store what nobody needs any more.

    That is jobs some time after they ended, and cancellations of jobs that
    were not submitted.

    A context manager; a removal in progress is killed on exit.

    Parameters
    ----------
    tenure : Tenure
    store : Store
    now_ms, unix_ms : callable
    log : DecisionLog
    """

    def __init__(self, *, tenure, store, now_ms, unix_ms, log):
        self._tenure = tenure
        self._store = store
        self._now_ms = now_ms
        self._unix_ms = unix_ms
        self._log = log
        self._next_ms = 0
        self._greenlets = pool.Group()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._greenlets.kill(block=False)

    def run(self, cell):
        """Starts to remove what has expired if the interval is over."""
        now_ms = self._now_ms()
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + PURGE_INTERVAL_MS
        expired = cell.expired_jobs(self._unix_ms(), ENDED_JOB_RETENTION_MS)
        if expired:
            self._greenlets.spawn(self._purge, expired[:MAX_PURGED_JOBS])
        cancelled = cell.expired_cancellations(now_ms)
        if cancelled:
            self._greenlets.spawn(self._purge_cancellations, cancelled)

    def _purge(self, job_ids):
        cell_name = self._tenure.cell
        removals = [
            key
            for job_id in job_ids
            for key in (
                _keys.job(cell_name, job_id),
                _keys.cancel(cell_name, job_id),
                _keys.record(cell_name, job_id),
            )
        ]
        try:
            self._store.commit(
                expected=self._tenure.guard, writes=(), removals=removals
            )
        except errors.SamphiregateError as error:
            self._log.write("jobs not forgotten", reason=error.detail)

    def _purge_cancellations(self, job_ids):
        size = MAX_PURGED_CANCELLATIONS
        limit = min(len(job_ids), size * MAX_CANCELLATION_PURGES)
        for first in range(0, limit, size):
            try:
                self._purge_unsubmitted(job_ids[first : first + size])
            except errors.SamphiregateError as error:
                self._log.write(
                    "cancellations not forgotten", reason=error.detail
                )
                return

    def _purge_unsubmitted(self, job_ids):
        """Removes the cancellations of those jobs that do not exist."""
        cell_name = self._tenure.cell
        while job_ids:
            expected = {_keys.job(cell_name, job_id): 0 for job_id in job_ids}
            try:
                self._store.commit(
                    expected=self._tenure.guard | expected,
                    writes=(),
                    removals=[
                        _keys.cancel(cell_name, job_id) for job_id in job_ids
                    ],
                )
                return
            except _ports.ConflictError as error:
                submitted = {
                    key for key in expected if error.revision_by_key.get(key)
                }
                if not submitted:
                    raise
                job_ids = [
                    job_id
                    for job_id in job_ids
                    if _keys.job(cell_name, job_id) not in submitted
                ]
