"""What one entry VM believes about all others."""

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.membership import _messages
from samphiregate.core.membership import _peer
from samphiregate.core.membership import _dissemination

REPRESENTATIVE_COUNT = 2
UNREACHABLE_FAILURE_COUNT = 3
MAX_UPDATES_PER_MESSAGE = 8

PRESENT = (fleet.PeerState.ALIVE, fleet.PeerState.SUSPECT)
_REFUTABLE = (fleet.PeerState.SUSPECT, fleet.PeerState.DEAD)
_EVENT_BY_STATE = {
    fleet.PeerState.ALIVE: "refuted",
    fleet.PeerState.SUSPECT: "unanswered",
    fleet.PeerState.LEAVING: "leaves",
    fleet.PeerState.DEAD: "declared_dead",
}


class MembershipView:
    """Beliefs about entry VMs, and the news that changes them.

    Parameters
    ----------
    vm_id : str
        This entry VM.
    data_centre : str
        Its data centre.

    Attributes
    ----------
    peers_by_id : dict
        `Peer` records, keyed by VM id; this VM is not among them.
    incarnation : int
        Raised to refute what others believe, and after a pause.
    leaving : bool
        Whether this VM stops.
    unreachable : frozenset of str
        Data centres that the representatives cannot reach.
    rumours : RumourQueue
        News for neighbours.
    """

    def __init__(self, *, vm_id, data_centre):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.peers_by_id = {}
        self.incarnation = 1
        self.leaving = False
        self.unreachable = frozenset()
        self.update_queue = _dissemination.UpdateQueue(
            batch_size=MAX_UPDATES_PER_MESSAGE
        )
        self._failures_by_centre = {}

    def state_of(self, vm_id):
        """Returns the `PeerState` of a VM; an unknown one is dead."""
        if vm_id == self.vm_id:
            if self.leaving:
                return fleet.PeerState.LEAVING
            return fleet.PeerState.ALIVE
        peer = self.peers_by_id.get(vm_id)
        return peer.state if peer else fleet.PeerState.DEAD

    def has_member(self, vm_id):
        """Returns whether anything was ever heard or read about a VM."""
        return vm_id == self.vm_id or vm_id in self.peers_by_id

    def alive_ids(self, data_centre=None):
        """Returns the VMs believed alive, this one included, sorted.

        Parameters
        ----------
        data_centre : str or None
            Only that data centre's; None for all.

        Returns
        -------
        tuple of str
        """
        return self.ids_in_states((fleet.PeerState.ALIVE,), data_centre)

    def present_ids(self, data_centre=None):
        """Returns the VMs that are alive or suspect, sorted."""
        return self.ids_in_states(PRESENT, data_centre)

    def is_confirmed_dead(self, vm_id, absent_ms, now_ms):
        """Returns whether a VM surely ended at least `absent_ms` ago.

        That takes both: it is believed dead, and the platform's list has
        been without it, for that long.
        """
        if vm_id == self.vm_id:
            return False
        peer = self.peers_by_id.get(vm_id)
        if peer is None:
            return True
        if peer.state is not fleet.PeerState.DEAD or peer.listed:
            return False
        return now_ms - max(peer.since_ms, peer.unlisted_ms) >= absent_ms

    def ids_in_states(self, states, data_centre):
        """Returns the VMs in some states, this one included, sorted."""
        ids = [
            peer.vm_id
            for peer in self.peers_by_id.values()
            if peer.state in states and data_centre in (None, peer.data_centre)
        ]
        if not self.leaving and data_centre in (None, self.data_centre):
            ids.append(self.vm_id)
        return tuple(sorted(ids))

    def local_peers(self, state=None):
        """Returns the other VMs of this data centre, in one state or all."""
        return [
            peer
            for peer in self.peers_by_id.values()
            if peer.data_centre == self.data_centre
            and state in (None, peer.state)
        ]

    # Other data centres.

    def is_representative(self, vm_id):
        """Returns whether a VM probes other data centres."""
        present = self.present_ids(self.data_centre)
        ranked = sorted(present, key=base.stable_hash)
        return vm_id in ranked[:REPRESENTATIVE_COUNT]

    def record_remote_failure(self, peer, now_ms, actions):
        """Notes that a VM of another data centre did not answer."""
        centre = peer.data_centre
        failures = self._failures_by_centre.get(centre, 0) + 1
        self._failures_by_centre[centre] = failures
        if failures >= UNREACHABLE_FAILURE_COUNT:
            unreachable = self.unreachable | {centre}
            self.set_unreachable(unreachable, now_ms, actions)

    def record_reachable(self, centre, now_ms, actions):
        """Notes that something came from a data centre."""
        self._failures_by_centre.pop(centre, None)
        if centre in self.unreachable:
            unreachable = self.unreachable - {centre}
            self.set_unreachable(unreachable, now_ms, actions)

    def set_unreachable(self, unreachable, now_ms, actions):
        """Doubts all VMs of data centres that cannot be reached."""
        changed = self.unreachable ^ unreachable
        self.unreachable = frozenset(unreachable)
        for peer in tuple(self.peers_by_id.values()):
            if peer.data_centre not in changed:
                continue
            if peer.data_centre in unreachable:
                if peer.state is fleet.PeerState.ALIVE:
                    self.fire(peer, "unanswered", now_ms, actions)
            elif peer.state is fleet.PeerState.SUSPECT:
                self.fire(peer, "refuted", now_ms, actions)

    def reachability_for(self, peer):
        """Returns what a neighbour is told about data centres."""
        if peer.data_centre != self.data_centre:
            return None
        if not self.is_representative(self.vm_id):
            return None
        return tuple(sorted(self.unreachable))

    def apply_reachability(self, message, sender, now_ms, actions):
        """Takes over what a representative says."""
        if message.unreachable is None:
            return
        if message.data_centre != self.data_centre:
            return
        if not self.is_representative(self.vm_id):
            unreachable = frozenset(message.unreachable)
            self.set_unreachable(unreachable, now_ms, actions)

    # News.

    def own_update(self):
        """Returns the news about this VM."""
        return _messages.Rumour(
            vm_id=self.vm_id,
            data_centre=self.data_centre,
            state=self.state_of(self.vm_id),
            incarnation=self.incarnation,
        )

    def update_about(self, peer):
        """Returns the news about a peer."""
        return _messages.Rumour(
            vm_id=peer.vm_id,
            data_centre=peer.data_centre,
            state=peer.state,
            incarnation=peer.incarnation,
        )

    def updates_for(self, peer):
        """Returns the news for a peer, with what it may have to refute."""
        if peer.data_centre != self.data_centre:
            about = [self.update_about(each) for each in self.local_peers()]
            return (*about, self.own_update())
        group_size = len(self.local_peers()) + 1
        updates = self.update_queue.next_batch(group_size)
        if peer.state in _REFUTABLE:
            updates = (self.update_about(peer), *updates)
        return updates

    def apply_contact(self, message, vm_id, now_ms, actions):
        """Takes in that a VM sent something itself."""
        if not message.data_centre or vm_id == self.vm_id:
            return
        if vm_id not in self.peers_by_id:
            peer = self.add(vm_id, message.data_centre, now_ms, actions)
            peer.listed = False
            peer.unlisted_ms = now_ms
        self.apply_update(
            _messages.Rumour(
                vm_id=vm_id,
                data_centre=message.data_centre,
                state=fleet.PeerState.ALIVE,
                incarnation=message.incarnation,
            ),
            message.data_centre,
            now_ms,
            actions,
        )

    def apply_updates(self, updates, data_centre, now_ms, actions):
        """Takes in the news of a message from a data centre."""
        for update in updates:
            if update.vm_id == self.vm_id:
                self.refute(update, actions)
            else:
                self.apply_update(update, data_centre, now_ms, actions)

    def refute(self, update, actions):
        """Raises the incarnation if others doubt this VM."""
        if update.state not in _REFUTABLE:
            return
        if update.incarnation < self.incarnation:
            return
        self.incarnation = update.incarnation + 1
        self.update_queue.add(self.own_update())
        if update.state is fleet.PeerState.DEAD:
            self.notify(self.vm_id, self.data_centre, update.state, actions)
            state = self.state_of(self.vm_id)
            self.notify(self.vm_id, self.data_centre, state, actions)

    def apply_update(self, update, data_centre, now_ms, actions):
        """Takes in one piece of news about a peer.

        What another data centre says of its own VMs is taken over as it is.
        """
        peer = self.peers_by_id.get(update.vm_id)
        if peer is None:
            if update.state is fleet.PeerState.DEAD:
                return
            peer = self.add(update.vm_id, update.data_centre, now_ms, actions)
            peer.listed = False
            peer.unlisted_ms = now_ms
        if update.state is fleet.PeerState.ALIVE:
            from_home_centre = (
                update.data_centre == data_centre != self.data_centre
            )
            is_newer = update.incarnation + from_home_centre > peer.incarnation
        else:
            is_newer = update.incarnation >= peer.incarnation
        if update.state is fleet.PeerState.SUSPECT:
            is_newer = is_newer and peer.state is fleet.PeerState.ALIVE
        if not is_newer:
            return
        peer.incarnation = update.incarnation
        event = _EVENT_BY_STATE[update.state]
        if event == "refuted" and peer.state not in _REFUTABLE:
            return
        self.fire(peer, event, now_ms, actions)

    def add(self, vm_id, data_centre, now_ms, actions):
        """Begins to keep a peer; returns its record."""
        peer = _peer.Peer(
            vm_id=vm_id,
            data_centre=data_centre,
            state=fleet.PeerState(_peer.CHART.initial),
            since_ms=now_ms,
            received_ms=now_ms,
        )
        self.peers_by_id[vm_id] = peer
        self.notify(vm_id, data_centre, peer.state, actions)
        return peer

    def fire(self, peer, event, now_ms, actions):
        """Moves a peer along its chart, and tells of the change."""
        if not peer.fire(event, now_ms):
            return
        if peer.data_centre == self.data_centre:
            self.update_queue.add(self.update_about(peer))
        self.notify(peer.vm_id, peer.data_centre, peer.state, actions)

    def notify(self, vm_id, data_centre, state, actions):
        """Tells the other machines of a change."""
        change = fleet.PeerStateChanged(vm_id, data_centre, state)
        actions.append(base.Notify(change))
