"""The records of the entry VMs with a lease, as one VM has read them."""

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _lease
from samphiregate.adapters.cells import _precedence
from samphiregate.core import cells
from samphiregate import errors

WAIT_MS = 8_000
# Every VM watches the records of all, so each change costs a call of each.
PAUSE_MS = 500


class VmRecords:
    """Watches the records of the VMs; a context manager.

    Parameters
    ----------
    vm_id : str
        Of this VM.
    capacity : float
        Of this VM's processor, in cores; 0 if unknown.
    watch_prefix : callable
        Takes a prefix, a callable for changes, the wait time and the pause
        in ms; returns a `WatchedPrefix`.
    log : DecisionLog
    """

    def __init__(self, *, vm_id, capacity, watch_prefix, log):
        self._vm_id = vm_id
        self._capacity = capacity
        self._log = log
        self._known_records = None
        self._watched = watch_prefix(
            _keys.VMS_PREFIX, self.apply_change, WAIT_MS, PAUSE_MS
        )

    def __enter__(self):
        self._watched.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._watched.__exit__()

    def apply_change(self, _change):
        """Applies a `StoreChange` that the watch has applied to its items."""
        self._known_records = None

    @property
    def records(self):
        """The `VmRecord` of each VM whose record can be read."""
        if self._known_records is None:
            self._known_records = self._decode_all()
        return self._known_records

    @property
    def address_by_vm(self):
        """Peer address by VM id."""
        return {record.vm_id: record.address for record in self.records}

    @property
    def yield_ms(self):
        """For how long this VM lets stronger ones acquire a cell first."""
        return _precedence.yield_ms(
            capacity=self._capacity, other_capacities=self._other_capacities()
        )

    @property
    def is_weak(self):
        """Whether this VM is to leave a cell to a stronger one."""
        return _precedence.is_weak(
            capacity=self._capacity, other_capacities=self._other_capacities()
        )

    def is_monitor(self, owner):
        """Whether this VM monitors the process of an owner.

        Parameters
        ----------
        owner : OwnerRecord
        """
        others = [one for one in self.records if one.vm_id != owner.vm_id]
        return self._vm_id in _precedence.monitor_ids(others, owner.epoch)

    def _other_capacities(self):
        return [
            record.capacity
            for record in self.records
            if record.vm_id != self._vm_id
        ]

    def _decode_all(self):
        records = []
        for key, item in self._watched.item_by_key.items():
            try:
                records.append(cells.decode(item.value, _lease.VmRecord))
            except errors.BadInputError as error:
                self._log.write("VM unreadable", key=key, reason=error.detail)
        return records
