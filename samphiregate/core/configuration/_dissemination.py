"""Who watches the store, and whom a VM tells of a change."""

import abc


class Dissemination(abc.ABC):
    """How changes of the configuration travel between VMs.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    data_centre : str
        Its data centre.
    membership : Membership
        Tells which peers are alive.
    random_state : random.Random
        Source of randomness.
    fanout : int
        VMs told by each VM, where the way of spreading bounds it.
    watchers : int
        VMs of each data centre that watch the store.
    """

    def __init__(
        self, *, vm_id, data_centre, membership, random_state, fanout, watchers
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.fanout = fanout
        self.watchers = watchers
        self._membership = membership
        self._random = random_state

    @abc.abstractmethod
    def peers_to_notify(self, source):
        """Returns the ids of the VMs to tell of a change.

        Parameters
        ----------
        source : str or None
            Id of the VM that told this one; None for the store.
        """

    def watcher_ids(self):
        """Returns the ids of the VMs that watch for this data centre."""
        alive = {self.vm_id, *self._membership.alive_ids(self.data_centre)}
        return sorted(alive)[: self.watchers]

    def random_peer(self):
        """Returns the id of any other VM that is alive, or None."""
        peers = self._others(self._membership.alive_ids())
        return self._random.choice(peers) if peers else None

    def _others(self, vm_ids, source=None):
        return [vm_id for vm_id in vm_ids if vm_id not in (self.vm_id, source)]


class DirectDissemination(Dissemination):
    """Tells all of the data centre, unless one of them was the source."""

    def peers_to_notify(self, source):
        """Returns the ids of the VMs to tell; see `Spread`."""
        inside = self._membership.alive_ids(self.data_centre)
        return [] if source in inside else self._others(inside)


class GossipDissemination(Dissemination):
    """Tells a few random VMs of the fleet."""

    def peers_to_notify(self, source):
        """Returns the ids of the VMs to tell; see `Spread`."""
        peers = self._others(self._membership.alive_ids(), source)
        return self._random.sample(peers, min(self.fanout, len(peers)))


DISSEMINATIONS = {
    "direct": DirectDissemination,
    "gossip": GossipDissemination,
}
