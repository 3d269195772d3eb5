"""Takes a cell from an owner that can't serve it, before its lease ends.

An owner that the store turns away says so itself. A process that ended
refuses connections, or another instance answers at its address; both can also
be seen of a process that is alive, when the network refuses connections on
its behalf. So the owner's record is removed under a condition, after which
the store refuses what that process writes, endpoints refuse its orders once
they have seen the next epoch, and its lease is ended, so that it learns of it
at its next renewal.
"""

import gevent
import gevent.event

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate.core import cells
from samphiregate import errors

HOLD_MS = 1_000  # for which the owner holds a request
ANSWER_MARGIN_MS = 500
RETRY_INTERVAL_MS = 100
CHECK_INTERVAL_MS = 100  # of the lease, while a request is held
IDLE_INTERVAL_MS = 1_000


class OwnerMonitor:
    """Monitors the process of a cell's owner; a context manager.

    Parameters
    ----------
    cell : str
    vm_id, address, instance : str
        Of this process.
    store : Store
    peers : PeerCalls
    view : OwnerView
    lease : LeaseRenewer
    is_monitor : callable
        Takes the `OwnerRecord`; returns whether this VM is one of those that
        monitor that owner.
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        cell,
        vm_id,
        address,
        instance,
        store,
        peers,
        view,
        lease,
        is_monitor,
        log,
    ):
        self._cell = cell
        self._vm_id = vm_id
        self._address = address
        self._instance = instance
        self._store = store
        self._peers = peers
        self._view = view
        self._lease = lease
        self._is_monitor = is_monitor
        self._log = log
        self._changed = gevent.event.Event()
        self._greenlet = None

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()

    def owner_changed(self):
        """Wakes the loop after a change of the owner's record."""
        self._changed.set()

    def answer(self, message):
        """Answers `AskInstance` of another VM."""
        for _number in range(
            min(message.hold_ms, HOLD_MS) // CHECK_INTERVAL_MS
        ):
            if self._lease.is_lost:
                break
            gevent.sleep(CHECK_INTERVAL_MS / 1000)
        return cells.InstanceIs(self._instance, self._lease.is_lost)

    def _run(self):
        while True:
            self._changed.clear()
            item, record = self._view.item, self._view.record
            if record is None or not self._may_revoke(record):
                self._changed.wait(IDLE_INTERVAL_MS / 1000)
                continue
            reason = self._reason_to_revoke(record)
            if reason is None:
                continue
            try:
                self._revoke(item, record, reason)
            except errors.SamphiregateError as error:
                self._log.write(
                    "owner not revoked", cell=self._cell, reason=error.detail
                )
            self._changed.wait(RETRY_INTERVAL_MS / 1000)

    def _may_revoke(self, record):
        return (
            record.lease_id != 0
            and record.instance != self._instance
            and (self._is_predecessor(record) or self._is_monitor(record))
        )

    def _is_predecessor(self, record):
        """Whether the owner is an earlier process of this VM."""
        return (record.vm_id, record.address) == (self._vm_id, self._address)

    def _reason_to_revoke(self, record):
        """Returns why the owner's process has ended; None if it has not.

        Returns when the owner has answered, or does not answer.
        """
        if self._is_predecessor(record):
            return "this VM has started again"
        try:
            answer = self._peers.call(
                record.address,
                cells.AskInstance(HOLD_MS),
                HOLD_MS + ANSWER_MARGIN_MS,
            )
        except errors.SamphiregateError:
            if self._peers.refuses_connections(record.address):
                return "it refuses connections"
            self._changed.wait(RETRY_INTERVAL_MS / 1000)
            return None
        if isinstance(answer, cells.InstanceIs):
            if answer.instance != record.instance:
                return "it has started again"
            if not answer.has_lost_store:
                return None
            if self._lease.is_renewed:
                return "it has lost the store"
        self._changed.wait(RETRY_INTERVAL_MS / 1000)
        return None

    def _revoke(self, item, record, reason):
        """Removes the record of the owner unless it has changed."""
        epoch = str(record.epoch).encode()
        try:
            self._store.commit(
                expected={item.key: item.revision},
                writes=[_ports.StoreWrite(_keys.revoked(self._cell), epoch)],
                removals=(item.key,),
            )
        except _ports.ConflictError:
            return
        self._log.write(
            "owner revoked",
            cell=self._cell,
            epoch=record.epoch,
            owner=record.vm_id,
            reason=reason,
        )
        self._store.end_lease(record.lease_id)
