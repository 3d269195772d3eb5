"""Gossip of the owners' loads between entry VMs."""

from samphiregate.core import base
from samphiregate.core.requests import _load

# Peers in this data centre and in all others that receive each summary.
LOCAL_FANOUT = 2
REMOTE_FANOUT = 1
# Received loads in each summary.
FORWARDED_LOAD_COUNT = 4


class LoadGossip:
    """Sends this VM's own load and a few received ones to a few peers.

    A change of the slots that this VM offers is sent to its whole data
    centre at once. Everything else goes to a few random peers at an
    interval, so that the cost does not grow with the fleet.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    data_centre : str
        Its data centre.
    load_table : LoadTable
        Stores the received loads.
    membership : Membership
        Provides `alive_ids`.
    random_state : random.Random
        Source of randomness.
    interval_ms : int
        Interval between two summaries.
    """

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        load_table,
        membership,
        random_state,
        interval_ms,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.interval_ms = interval_ms
        self._load_table = load_table
        self._membership = membership
        self._random_state = random_state
        self._own_load = None
        self._next_send_ms = 0

    def on_own_load(self, load, now_ms):
        """Applies this VM's load; sends its data centre a change of slots.

        A change of running or queued counts only is sent with the next
        summary.
        """
        before = _slots_by_service(self._own_load)
        self._own_load = load
        self._load_table.update(load, now_ms)
        if _slots_by_service(load) == before:
            return []
        message = _load.LoadSummary((load,))
        return [
            base.SendToPeer(vm_id, message)
            for vm_id in self._peers(self.data_centre)
        ]

    def on_summary(self, summary, now_ms):
        """Applies a summary, ignoring loads of VMs that are not alive."""
        alive = set(self._membership.alive_ids()) - {self.vm_id}
        for load in summary.loads:
            if load.vm_id in alive:
                self._load_table.update(load, now_ms)

    def send_own_load(self, vm_id, now_ms):
        """Sends the own load to an entry VM that became alive."""
        if self._own_load is None or vm_id == self.vm_id:
            return []
        message = _load.LoadSummary((self._own_load,))
        return [base.SendToPeer(vm_id, message)]

    def tick(self, now_ms):
        """Sends a summary when it is due, and removes expired loads."""
        if now_ms < self._next_send_ms:
            return []
        self._next_send_ms = now_ms + self.interval_ms
        self._load_table.remove_expired(now_ms)
        loads = self._load_table.sample(
            self.vm_id, FORWARDED_LOAD_COUNT, self._random_state, now_ms
        )
        if self._own_load is not None:
            self._load_table.update(self._own_load, now_ms)
            loads = (self._own_load, *loads)
        if not loads:
            return []
        message = _load.LoadSummary(loads)
        return [
            base.SendToPeer(vm_id, message) for vm_id in self._recipients()
        ]

    def _recipients(self):
        local = self._peers(self.data_centre)
        local_ids = set(local)
        remote = [vm_id for vm_id in self._peers() if vm_id not in local_ids]
        return self._sample(local, LOCAL_FANOUT) + self._sample(
            remote, REMOTE_FANOUT
        )

    def _peers(self, data_centre=None):
        alive = self._membership.alive_ids(data_centre)
        return [vm_id for vm_id in sorted(alive) if vm_id != self.vm_id]

    def _sample(self, vm_ids, count):
        if len(vm_ids) <= count:
            return vm_ids
        return self._random_state.sample(vm_ids, count)


def _slots_by_service(load):
    if load is None:
        return {}
    return {service.service: service.slots for service in load.services}
