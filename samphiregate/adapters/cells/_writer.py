"""Stores what a cell's owner notes, several records a transaction.

A write that was not answered may be carried out seconds later, after newer
ones. So each write is made only if the one before it was the last: they all
set one key, under the condition of its revision.
"""

import gevent
import gevent.event

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate import errors

MAX_RECORDS_PER_COMMIT = 28  # of a transaction, which has two conditions more
RETRY_INTERVAL_MS = 100


class RecordWriter:
    """Writes records under the condition that the ownership stands.

    Parameters
    ----------
    store : Store
    tenure : Tenure
    take_records : callable
        Takes a number; returns rows of job id, version and bytes.
    on_stored : callable
        Takes rows of job id and version.
    on_lost : callable
        Called when the ownership does not stand any more.
    log : DecisionLog
    """

    def __init__(self, *, store, tenure, pop_records, on_stored, on_lost, log):
        self._store = store
        self._tenure = tenure
        self._pop_records = pop_records
        self._on_stored = on_stored
        self._on_lost = on_lost
        self._log = log
        self._last_write_key = _keys.last_write(tenure.cell)
        self._last_revision = 0
        self._wake = gevent.event.Event()
        self._greenlet = None

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()

    def wake(self):
        """Tells that there may be records to write."""
        self._wake.set()

    def _run(self):
        while True:
            rows = self._pop_records(MAX_RECORDS_PER_COMMIT)
            if not rows:
                self._wake.clear()
                self._wake.wait()
                continue
            if not self._write(rows):
                return
            self._on_stored(tuple((row[0], row[1]) for row in rows))

    def _write(self, rows):
        cell = self._tenure.cell
        writes = [
            _ports.StoreWrite(_keys.record(cell, job_id), data)
            for job_id, _version, data in rows
        ]
        writes.append(_ports.StoreWrite(self._last_write_key, b"1"))
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
                    self._on_lost("another VM has taken the cell")
                    return False
                # A write took effect that was not answered.
                self._last_revision = error.revision_by_key.get(
                    self._last_write_key, 0
                )
            except errors.SamphiregateError as error:
                self._log.write(
                    "records not stored",
                    cell=cell,
                    records=len(rows),
                    reason=error.detail,
                )
                gevent.sleep(RETRY_INTERVAL_MS / 1000)

    def _still_owns(self, revision_by_key):
        return all(
            revision_by_key.get(key) == revision
            for key, revision in self._tenure.guard.items()
        )
