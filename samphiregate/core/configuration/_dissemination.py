"""Selects the VMs that watch the store and the recipients of updates."""

import abc


class Dissemination(abc.ABC):
    """Strategy for propagating configuration changes between VMs.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    data_centre : str
        Data centre of this entry VM.
    membership : Membership
        Provides the ids of the peers that are alive.
    random_state : random.Random
        Random number generator.
    fanout : int
        Number of VMs that each VM notifies, for strategies that limit it.
    watchers : int
        Number of VMs in each data centre that watch the store, besides
        those whose configuration has not been confirmed for long.
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
        """Returns the ids of the VMs to notify of a change.

        Parameters
        ----------
        source : str or None
            Id of the VM that sent the change; None for the store.
        """

    def watcher_ids(self):
        """Returns the ids of this data centre's VMs that watch the store."""
        alive = {self.vm_id, *self._membership.alive_ids(self.data_centre)}
        return sorted(alive)[: self.watchers]

    def random_peer(self):
        """Returns the id of a random other VM that is alive, or None."""
        peers = self._others(self._membership.alive_ids())
        return self._random.choice(peers) if peers else None

    def _others(self, vm_ids, source=None):
        return [vm_id for vm_id in vm_ids if vm_id not in (self.vm_id, source)]


class DirectDissemination(Dissemination):
    """Notifies the VMs of its data centre of changes from elsewhere.

    That is, of changes received from the store or from another data centre.
    """

    def peers_to_notify(self, source):
        """Returns the ids of the VMs to notify; see `Dissemination`."""
        local_ids = self._membership.alive_ids(self.data_centre)
        return [] if source in local_ids else self._others(local_ids)


class GossipDissemination(Dissemination):
    """Notifies `fanout` random VMs of the fleet."""

    def peers_to_notify(self, source):
        """Returns the ids of the VMs to notify; see `Dissemination`."""
        peers = self._others(self._membership.alive_ids(), source)
        return self._random.sample(peers, min(self.fanout, len(peers)))


DISSEMINATIONS = {
    "direct": DirectDissemination,
    "gossip": GossipDissemination,
}
