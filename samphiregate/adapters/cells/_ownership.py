"""Acquires the ownership of a cell, under a new epoch each time."""

import traceback

import attrs
import gevent
import gevent.event
from gevent import pool

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _owner_record
from samphiregate.adapters.cells import _ports
from samphiregate.core import cells
from samphiregate import errors

RETRY_INTERVAL_MS = 100
MAX_JITTER_MS = 60  # random delay before acquiring


@attrs.frozen
class Tenure:
    """One ownership of a cell by this VM.

    Parameters
    ----------
    cell : str
    epoch : int
    guard : dict
        Condition of each write of the owner: revision by key of its owner
        record, which must be unchanged.
    lease_id : int
    after_revoked : bool
        Whether the ownership before this one was revoked.
    """

    cell: str
    epoch: int
    guard: dict
    lease_id: int
    after_revoked: bool = False


class Ownership:
    """Acquires a cell whenever it has no owner; a context manager.

    Parameters
    ----------
    cell : str
    vm_id, address : str
        Of this VM.
    store : Store
    lease : LeaseRenewer
    owner_item : callable
        Returns the item of the current owner's record, or None.
    may_own : callable
        Returns whether this VM may acquire the cell.
    serve : callable
        Takes a `Tenure` and the `session_end` event; serves until the event
        is set.
    yield_ms : callable
        Returns for how long stronger VMs may acquire the cell first.
    instance : str
        Random id of this process.
    random_state : random.Random
    now_ms : callable
    log : DecisionLog

    Attributes
    ----------
    session_end : gevent.event.Event
        Set when the session must end: the ownership was lost or is given
        up, or the VM stops.
    serving_since_ms : int or None
        Since when the cell has been owned; None if it is not.
    """

    def __init__(
        self,
        *,
        cell,
        vm_id,
        address,
        store,
        lease,
        owner_item,
        may_own,
        serve,
        yield_ms,
        instance,
        random_state,
        now_ms,
        log,
    ):
        self.session_end = gevent.event.Event()
        self._cell = cell
        self._vm_id = vm_id
        self._address = address
        self._store = store
        self._lease = lease
        self._owner_item = owner_item
        self._may_own = may_own
        self._serve = serve
        self._yield_ms = yield_ms
        self._random = random_state
        self._instance = instance
        self._now_ms = now_ms
        self._served_epoch = 0
        self._tenure = None  # while it is served
        self.serving_since_ms = None
        self._without_owner_since_ms = None
        self._log = log
        self._changed = gevent.event.Event()
        self._closing = False
        self._greenlet = None

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._closing = True
        self.session_end.set()
        self._greenlet.join(timeout=1)
        self._greenlet.kill()

    def owner_changed(self, change):
        """Applies a `StoreChange` of the owner's record.

        Ends the session if this VM no longer owns the cell.
        """
        if change.item is None:
            self._without_owner_since_ms = self._now_ms()
        tenure = self._tenure
        if tenure is not None and change.revision > tenure.guard[change.key]:
            self.session_end.set()
        self._changed.set()

    def _run(self):
        while not self._closing:
            self._changed.clear()
            tenure = None
            if self._lease.is_valid and self._may_own():
                try:
                    tenure = self._acquire()
                except errors.SamphiregateError as error:
                    self._log.write(
                        "cell not taken",
                        cell=self._cell,
                        reason=error.detail,
                    )
            if tenure is None:
                self._changed.wait(RETRY_INTERVAL_MS / 1000)
                continue
            if self._closing:
                self._relinquish(tenure)
                return
            self._log.write(
                "cell taken",
                cell=tenure.cell,
                epoch=tenure.epoch,
                waited_ms=self._without_owner_ms(),
            )
            self.session_end.clear()
            self._served_epoch = tenure.epoch
            self._tenure = tenure
            self.serving_since_ms = self._now_ms()
            self._serve_and_log_errors(tenure)
            self._tenure = None
            self.serving_since_ms = None
            self._relinquish(tenure)
            self._log.write("cell left", cell=tenure.cell, epoch=tenure.epoch)

    def _without_owner_ms(self):
        """Returns for how long the cell had no owner; None if unknown."""
        if self._without_owner_since_ms is None:
            return None
        return self._now_ms() - self._without_owner_since_ms

    def _acquire(self):
        item = self._owner_item()
        if item is not None:
            return self._adopt(item)
        jitter_ms = self._random.uniform(0, MAX_JITTER_MS)
        gevent.sleep((self._yield_ms() + jitter_ms) / 1000)
        if self._owner_item() is not None:
            return None
        epoch_key = _keys.epoch(self._cell)
        epoch_item, revoked_item = pool.Pool().map(
            self._store.get, (epoch_key, _keys.revoked(self._cell))
        )
        last_epoch = int(epoch_item.value) if epoch_item else 0
        revoked_epoch = int(revoked_item.value) if revoked_item else -1
        epoch = last_epoch + 1
        owner_key = _keys.owner(self._cell)
        lease_id = self._lease.lease_id
        record = _owner_record.OwnerRecord(
            self._vm_id,
            self._address,
            epoch,
            self._instance,
            lease_id,
            after_revoked=revoked_epoch == last_epoch,
        )
        try:
            revision = self._store.commit(
                expected={
                    owner_key: 0,
                    epoch_key: epoch_item.revision if epoch_item else 0,
                },
                writes=[
                    _ports.StoreWrite(
                        owner_key, cells.encode(record), lease_id
                    ),
                    _ports.StoreWrite(epoch_key, str(epoch).encode()),
                ],
            )
        except _ports.ConflictError:
            return None
        except errors.UnavailableError as error:
            if error.ran is errors.Ran.NO:
                raise
            revision = self._find_own_record(owner_key, record)
            if revision is None:
                return None
        return self._make_tenure(record, owner_key, revision)

    def _make_tenure(self, record, key, revision):
        return Tenure(
            self._cell,
            record.epoch,
            {key: revision},
            record.lease_id,
            record.after_revoked,
        )

    def _serve_and_log_errors(self, tenure):
        """Serves, and logs exceptions.

        An exception must not end the loop: the record would stay under the
        VM's lease, and no VM would serve the cell.
        """
        try:
            self._serve(tenure, self.session_end)
        except Exception:
            self._log.write(
                "cell failed",
                cell=tenure.cell,
                epoch=tenure.epoch,
                trace=traceback.format_exc(),
            )

    def _relinquish(self, tenure):
        """Removes the owner's record while the tenure's lease is held."""
        while self._lease.lease_id == tenure.lease_id:
            try:
                self._store.commit(
                    expected=tenure.guard,
                    writes=(),
                    removals=tuple(tenure.guard),
                )
                return
            except _ports.ConflictError:
                return
            except errors.SamphiregateError as error:
                self._log.write(
                    "cell not given up",
                    cell=tenure.cell,
                    reason=error.detail,
                )
            gevent.sleep(RETRY_INTERVAL_MS / 1000)

    def _adopt(self, item):
        """Returns the tenure of an own record whose write was unanswered.

        Returns None for a record of another process, or of an epoch that
        this process has already served.
        """
        record = _owner_record.decode_owner(item.value)
        if (
            record.instance != self._instance
            or record.epoch <= self._served_epoch
        ):
            return None
        return self._make_tenure(record, item.key, item.revision)

    def _find_own_record(self, owner_key, record):
        """Returns the revision of the record if it was written, else None."""
        item = self._store.get(owner_key)
        if item is None:
            return None
        if _owner_record.decode_owner(item.value) != record:
            return None
        return item.revision
