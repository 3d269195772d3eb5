"""Reads the content of a cell from the store, and follows its changes."""

import contextlib

import attrs
from gevent import pool

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _watched_prefix
from samphiregate.core import cells
from samphiregate import errors

WATCH_WAIT_MS = 2_000


@attrs.frozen
class CellContent:
    """What the store held of a cell when it was read.

    Parameters
    ----------
    endpoint_items, work_items, record_items : list of StoreItem
    endpoints_revision, work_revision : int
        Revisions from which changes are followed.
    silent_record : SilentRecord or None
    """

    endpoint_items: list
    endpoints_revision: int
    work_items: list
    work_revision: int
    record_items: list
    silent_record: cells.SilentRecord | None


class CellLoader:
    """Delivers the content of a cell and its changes as events.

    Parameters
    ----------
    cell_name : str
    store : Store
    decoders : Decoders
    deliver : callable
        Takes each event.
    now_ms : callable
    log : DecisionLog
    """

    def __init__(self, *, cell_name, store, decoders, deliver, now_ms, log):
        self._cell_name = cell_name
        self._store = store
        self._decoders = decoders
        self._deliver = deliver
        self._now_ms = now_ms
        self._log = log

    def read(self):
        """Returns the `CellContent`; raises `UnavailableError`.

        The parts are read side by side. Only this owner writes records, so
        those are the same whenever they are read.
        """
        prefixes = (
            self._decoders.endpoints_prefix,
            _keys.work_prefix(self._cell_name),
            _keys.records_prefix(self._cell_name),
        )
        group = pool.Pool()
        silent_record = group.spawn(self._read_silent_record)
        endpoints, work, records = group.map(self._store.list, prefixes)
        return CellContent(*endpoints, *work, records[0], silent_record.get())

    def _read_silent_record(self):
        item = self._store.get(_keys.silent_endpoints(self._cell_name))
        if item is None:
            return None
        try:
            return cells.decode(item.value, cells.SilentRecord)
        except errors.BadInputError as error:
            self._log.write(
                "record unreadable", key=item.key, reason=error.detail
            )
            return None

    def deliver_all(self, content):
        """Delivers the events of a `CellContent`."""
        for item in content.endpoint_items:
            self._endpoint_changed(
                _ports.StoreChange(item.key, item.revision, item)
            )
        self._deliver_work(content.work_items, content.record_items)

    @contextlib.contextmanager
    def following(self, content):
        """Delivers the changes since `content` was read."""
        with (
            self._watch(
                self._decoders.endpoints_prefix,
                self._endpoint_changed,
                (content.endpoint_items, content.endpoints_revision),
            ),
            self._watch(
                _keys.work_prefix(self._cell_name),
                self._work_changed,
                (content.work_items, content.work_revision),
            ),
        ):
            yield

    def _watch(self, prefix, on_change, listed):
        watched_prefix = _watched_prefix.WatchedPrefix(
            store=self._store,
            prefix=prefix,
            on_change=on_change,
            now_ms=self._now_ms,
            wait_ms=WATCH_WAIT_MS,
            log=self._log,
        )
        watched_prefix.start_from(*listed)
        return watched_prefix

    def _deliver_work(self, work_items, record_items):
        record_by_id = {}
        for item in record_items:
            job_id = item.key.rpartition("/")[2]
            try:
                record_by_id[job_id] = cells.decode(
                    item.value, cells.JobRecord
                )
            except errors.BadInputError as error:
                self._log.write(
                    "record unreadable",
                    request=job_id,
                    reason=error.detail,
                )
        cancelled = [item for item in work_items if _is_cancel(item.key)]
        stored = [item for item in work_items if not _is_cancel(item.key)]
        jobs = [job for item in stored if (job := self._decode_job(item))]
        # Accounts are charged for their jobs in the order of the accepts.
        jobs.sort(key=lambda job: job.accepted_unix_ms)
        for job in jobs:
            record = record_by_id.get(job.job_id)
            self._deliver(cells.JobStored(job, record))
        for item in cancelled:
            self._deliver(cells.JobCancelled(_job_id(item.key)))

    def _decode_job(self, item):
        """Returns a stored job, or None if it cannot be decoded."""
        try:
            return cells.decode(item.value, cells.Job)
        except errors.BadInputError as error:
            self._log.write(
                "job unreadable", key=item.key, reason=error.detail
            )
            return None

    def _endpoint_changed(self, change):
        if change.item is None:
            self._deregister(change.key)
            return
        try:
            event = self._decoders.endpoint(change.key, change.item.value)
        except errors.BadInputError as error:
            self._log.write(
                "endpoint entry unreadable",
                key=change.key,
                reason=error.detail,
            )
            # It may have replaced an entry that could be read.
            self._deregister(change.key)
            return
        self._deliver(event)

    def _deregister(self, key):
        endpoint_id = key.removeprefix(self._decoders.endpoints_prefix)
        self._deliver(cells.EndpointDeregistered(endpoint_id))

    def _work_changed(self, change):
        if change.item is None:
            event_class = cells.JobRemoved
            if _is_cancel(change.key):
                event_class = cells.CancellationRemoved
            self._deliver(event_class(_job_id(change.key)))
        elif _is_cancel(change.key):
            self._deliver(cells.JobCancelled(_job_id(change.key)))
        else:
            job = self._decode_job(change.item)
            if job is not None:
                self._deliver(cells.JobStored(job))


def _is_cancel(key):
    return key.split("/")[-2] == "cancel"


def _job_id(key):
    return key.rpartition("/")[2]
