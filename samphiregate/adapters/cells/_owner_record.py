"""The record of a cell's owner, and what an entry VM sees of it."""

import attrs

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _lease
from samphiregate.core import cells
from samphiregate import errors

# How long one watch call waits, and so how long a dead connection goes
# undetected.
OWNERS_WAIT_MS = 2_000
SILENT_WAIT_MS = 8_000
# Every VM watches the list, which changes often while a part is cut off.
SILENT_PAUSE_MS = 1_000


@attrs.frozen
class OwnerRecord:
    """The owner of a cell, as stored under the lease of its VM.

    Parameters
    ----------
    vm_id, address : str
    epoch : int
    instance : str
        Random id of the process; a restarted VM has the same `vm_id` and
        another instance.
    lease_id : int
        The lease of the VM; 0 for an owner of an earlier build, whose
        ownership must not be revoked.
    after_revoked : bool
        Whether the ownership before this one was revoked.
    """

    vm_id: str
    address: str
    epoch: int
    instance: str = ""
    lease_id: int = 0
    after_revoked: bool = False


def decode_owner(value):
    """Decodes an `OwnerRecord`; raises `BadInputError`."""
    return cells.decode(value, OwnerRecord)


def record_epoch(history, *, epoch, after_revoked, now_ms):
    """Records an owner that is seen in an `EpochHistory`.

    A process whose ownership was revoked learns of it when it next renews
    its lease, or when that lease has ended.
    """
    extra_ms = _lease.TTL_MS if after_revoked else 0
    history.record_owner(epoch, now_ms, extra_ms=extra_ms)


class OwnerView:
    """What this VM has seen of a cell's owners; a context manager.

    Parameters
    ----------
    cell : str
    watch_prefix : callable
        Takes a prefix, a callable for changes, the wait time and the pause
        in ms; returns a `WatchedPrefix`.
    on_change : callable
        Takes each `StoreChange` of the owner's record.
    now_ms : callable
    log : DecisionLog

    Attributes
    ----------
    epoch_history : EpochHistory
    """

    def __init__(self, *, cell, watch_prefix, on_change, now_ms, log):
        self.epoch_history = cells.EpochHistory()
        self._cell = cell
        self._on_change = on_change
        self._now_ms = now_ms
        self._log = log
        self._owners = watch_prefix(
            _keys.OWNERS_PREFIX, self._owner_changed, OWNERS_WAIT_MS, 0
        )
        self._silent_endpoints = watch_prefix(
            _keys.SILENT_PREFIX,
            self._silent_changed,
            SILENT_WAIT_MS,
            SILENT_PAUSE_MS,
        )

    def __enter__(self):
        self._owners.__enter__()
        self._silent_endpoints.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._silent_endpoints.__exit__()
        self._owners.__exit__()

    @property
    def is_synced(self):
        """Whether the owner's record was read once."""
        return self._owners.synced

    @property
    def item(self):
        """The `StoreItem` of the owner's record, or None."""
        return self._owners.item_by_key.get(_keys.owner(self._cell))

    @property
    def record(self):
        """The `OwnerRecord`; None if there is none that can be read."""
        item = self.item
        if item is None:
            return None
        try:
            return decode_owner(item.value)
        except errors.BadInputError as error:
            self._log.write("owner unreadable", reason=error.detail)
            return None

    @property
    def address(self):
        """Peer address of the owner, or None."""
        record = self.record
        return None if record is None else record.address

    def _owner_changed(self, change):
        if change.key == _keys.owner(self._cell):
            self._record_epochs()
            self._on_change(change)

    def _record_epochs(self):
        """Records which epochs the owner's record shows to have ended."""
        now_ms = self._now_ms()
        if self.item is None:
            self.epoch_history.record_no_owner(now_ms)
            return
        record = self.record
        if record is not None:
            record_epoch(
                self.epoch_history,
                epoch=record.epoch,
                after_revoked=record.after_revoked,
                now_ms=now_ms,
            )

    def _silent_changed(self, change):
        """Records from when the store lists endpoints as silent."""
        is_list = change.key == _keys.silent_endpoints(self._cell)
        if not is_list or change.item is None:
            return
        try:
            record = cells.decode(change.item.value, cells.SilentRecord)
        except errors.BadInputError as error:
            self._log.write(
                "record unreadable", key=change.key, reason=error.detail
            )
            return
        self.epoch_history.record_list(record, self._now_ms())
