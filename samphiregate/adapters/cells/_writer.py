"""Stores the records of a cell's jobs, several in one transaction.

The store may carry out an unanswered write seconds later, after newer ones.
To prevent that, all writes set one key, on the condition that it still has
the revision of the previous write.
"""

import traceback

import gevent
import gevent.event
from gevent import pool

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate import errors

# The transaction also has the last-write key, the record of silent endpoints
# and two conditions.
MAX_ITEMS_PER_COMMIT = 28
# More than one record is not written at once beyond this size, so that no job
# waits long for the records of others on a slow link.
MAX_COMMIT_BYTES = 262_144
RETRY_INTERVAL_MS = 100
REJECTED_RETRY_MS = 1_000  # for a record that the store rejected


class RecordWriter:
    """Writes records while the ownership is valid; a context manager.

    Parameters
    ----------
    store : Store
    tenure : Tenure
    pop_records : callable
        Takes the maximal number of items and of bytes; returns a list of
        `StoredRow`.
    pop_silent_record : callable
        Returns the record of silent endpoints as bytes; None if unchanged.
    on_stored : callable
        Takes rows of job id and version.
    on_refused : callable
        Takes the id of a job whose record is too large for the store.
    on_delayed : callable
        Takes the id of a job whose record is to be written again.
    on_silent_record_stored : callable
    on_lost : callable
        Called with a reason when the ownership is lost.
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        store,
        tenure,
        pop_records,
        pop_silent_record,
        on_stored,
        on_refused,
        on_delayed,
        on_silent_record_stored,
        on_lost,
        log,
    ):
        self._store = store
        self._tenure = tenure
        self._pop_records = pop_records
        self._pop_silent_record = pop_silent_record
        self._on_stored = on_stored
        self._on_refused = on_refused
        self._on_delayed = on_delayed
        self._on_silent_record_stored = on_silent_record_stored
        self._on_lost = on_lost
        self._log = log
        self._last_write_key = _keys.last_write(tenure.cell)
        self._last_revision = 0
        self._wake = gevent.event.Event()
        self._greenlet = None
        self._delays = pool.Group()

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()
        self._delays.kill(block=False)

    def wake(self):
        """Wakes the writer, as there may be records to write."""
        self._wake.set()

    def _run(self):
        """Writes records; an exception must not leave the owner without it."""
        try:
            self._write_records()
        except Exception:
            self._log.write(
                "record writer failed",
                cell=self._tenure.cell,
                trace=traceback.format_exc(),
            )
            self._on_lost("the writer of records failed")

    def _write_records(self):
        while True:
            silent_record = self._pop_silent_record()
            rows = self._pop_records(MAX_ITEMS_PER_COMMIT, MAX_COMMIT_BYTES)
            if not rows and silent_record is None:
                self._wake.clear()
                self._wake.wait()
                continue
            if not self._store_all(rows, silent_record):
                return

    def _store_all(self, rows, silent_record):
        """Stores records; returns whether the ownership is held."""
        if silent_record is None:
            return self._store_rows(rows)
        try:
            if not self._write(self._writes(rows, silent_record)):
                return False
        except _ports.RejectedWriteError:
            # Not later than the records that were popped after it.
            return self._store_silent_record(
                silent_record
            ) and self._store_rows(rows)
        self._on_silent_record_stored()
        self._report_stored(rows)
        return True

    def _store_silent_record(self, silent_record):
        """Stores the record of silent endpoints alone; as `_store_all`."""
        while True:
            try:
                if not self._write(self._writes((), silent_record)):
                    return False
            except _ports.RejectedWriteError as error:
                self._log_not_stored(1, error)
                gevent.sleep(REJECTED_RETRY_MS / 1000)
                continue
            self._on_silent_record_stored()
            return True

    def _store_rows(self, rows):
        """Stores records of jobs; as `_store_all`.

        A record that the store rejects does not hold up the others: these
        are written without it, in ever smaller transactions.
        """
        if not rows:
            return True
        try:
            if not self._write(self._writes(rows, None)):
                return False
        except _ports.RejectedWriteError as error:
            if len(rows) == 1:
                self._set_apart(rows[0], error)
                return True
            middle = len(rows) // 2
            return self._store_rows(rows[:middle]) and self._store_rows(
                rows[middle:]
            )
        self._report_stored(rows)
        return True

    def _report_stored(self, rows):
        if rows:
            self._on_stored(tuple((row.job_id, row.version) for row in rows))

    def _set_apart(self, row, error):
        self._log.write(
            "record rejected",
            request=row.job_id,
            bytes=row.size_bytes,
            reason=error.detail,
        )
        if error.is_too_large:
            self._on_refused(row.job_id)
        self._delays.spawn(self._delay, row.job_id)

    def _delay(self, job_id):
        gevent.sleep(REJECTED_RETRY_MS / 1000)
        self._on_delayed(job_id)

    def _writes(self, rows, silent_record):
        cell = self._tenure.cell
        writes = [
            _ports.StoreWrite(_keys.record(cell, row.job_id), row.record)
            for row in rows
        ]
        writes += [
            _ports.StoreWrite(_keys.job(cell, row.job_id), row.job)
            for row in rows
            if row.job is not None
        ]
        if silent_record is not None:
            key = _keys.silent_endpoints(cell)
            writes.append(_ports.StoreWrite(key, silent_record))
        writes.append(_ports.StoreWrite(self._last_write_key, b"1"))
        return writes

    def _write(self, writes):
        while True:
            expected = {
                **self._tenure.guard,
                self._last_write_key: self._last_revision,
            }
            try:
                self._last_revision = self._store.commit(
                    expected=expected, writes=writes
                )
                return True
            except _ports.ConflictError as error:
                if not self._still_owns(error.revision_by_key):
                    self._on_lost("the owner's record was changed or removed")
                    return False
                # An earlier write took effect without an answer.
                self._last_revision = error.revision_by_key.get(
                    self._last_write_key, 0
                )
            except _ports.RejectedWriteError:
                raise
            except errors.SamphiregateError as error:
                self._log_not_stored(len(writes) - 1, error)
                gevent.sleep(RETRY_INTERVAL_MS / 1000)

    def _log_not_stored(self, record_count, error):
        self._log.write(
            "records not stored",
            cell=self._tenure.cell,
            records=record_count,
            reason=error.detail,
        )

    def _still_owns(self, revision_by_key):
        return all(
            revision_by_key.get(key) == revision
            for key, revision in self._tenure.guard.items()
        )
