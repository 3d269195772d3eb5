"""View of the membership that one entry VM holds."""

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.membership import _dissemination
from samphiregate.core.membership import _messages
from samphiregate.core.membership import _peer

REPRESENTATIVE_COUNT = 2
UNREACHABLE_FAILURE_COUNT = 3
MAX_UPDATES_PER_MESSAGE = 8

PRESENT = (fleet.PeerState.ALIVE, fleet.PeerState.SUSPECT)
_REFUTABLE = (fleet.PeerState.SUSPECT, fleet.PeerState.DEAD)
# Chart event that an update with this state causes.
_EVENT_BY_STATE = {
    fleet.PeerState.ALIVE: "refuted",
    fleet.PeerState.SUSPECT: "unanswered",
    fleet.PeerState.LEAVING: "leaves",
    fleet.PeerState.DEAD: "declared_dead",
}


class MembershipView:
    """States of all entry VMs as seen by one, and their updates.

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
        Raised only by this VM: to refute a suspicion or death, when
        leaving and after a pause.
    leaving : bool
        Whether this VM is stopping.
    unreachable : frozenset of str
        Data centres that the representatives cannot reach.
    update_queue : UpdateQueue
        Updates for the VMs of the same data centre.
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
        """Returns the `PeerState` of a VM; dead if it is not a member."""
        if vm_id == self.vm_id:
            if self.leaving:
                return fleet.PeerState.LEAVING
            return fleet.PeerState.ALIVE
        peer = self.peers_by_id.get(vm_id)
        return peer.state if peer else fleet.PeerState.DEAD

    def has_member(self, vm_id):
        """Returns whether a VM is this one or in the member list."""
        return vm_id == self.vm_id or vm_id in self.peers_by_id

    def alive_ids(self, data_centre=None):
        """Returns the VMs that are alive, sorted.

        This one is included unless it is leaving.

        Parameters
        ----------
        data_centre : str or None
            Restricts the result to a data centre; None for all.

        Returns
        -------
        tuple of str
        """
        return self.ids_in_states((fleet.PeerState.ALIVE,), data_centre)

    def present_ids(self, data_centre=None):
        """Returns the VMs that are alive or suspect, sorted.

        This one is included unless it is leaving.
        """
        return self.ids_in_states(PRESENT, data_centre)

    def is_confirmed_dead(self, vm_id, absent_ms, now_ms):
        """Returns whether a VM is known to have ended.

        For at least `absent_ms` it must have been dead in this view and
        missing from the platform's list. A VM that is not a member counts
        as ended.
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
        """Returns the VMs in some states, sorted.

        This one is included, whatever the states, unless it is leaving or
        in another data centre than `data_centre`.
        """
        ids = [
            peer.vm_id
            for peer in self.peers_by_id.values()
            if peer.state in states and data_centre in (None, peer.data_centre)
        ]
        if not self.leaving and data_centre in (None, self.data_centre):
            ids.append(self.vm_id)
        return tuple(sorted(ids))

    def local_peers(self, state=None):
        """Returns the other VMs of this data centre, in one or any state."""
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
        """Records that a VM of another data centre did not answer."""
        centre = peer.data_centre
        failures = self._failures_by_centre.get(centre, 0) + 1
        self._failures_by_centre[centre] = failures
        if failures >= UNREACHABLE_FAILURE_COUNT:
            unreachable = self.unreachable | {centre}
            self.set_unreachable(unreachable, now_ms, actions)

    def record_reachable(self, centre, now_ms, actions):
        """Records that a message from a data centre was received."""
        self._failures_by_centre.pop(centre, None)
        if centre in self.unreachable:
            unreachable = self.unreachable - {centre}
            self.set_unreachable(unreachable, now_ms, actions)

    def set_unreachable(self, unreachable, now_ms, actions):
        """Sets the unreachable data centres; alive VMs there become suspect.

        Suspect VMs of a data centre that is reachable again become alive.
        """
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
        """Returns the unreachable data centres to report to a peer, or None.

        Only representatives report them, within their data centre.
        """
        if peer.data_centre != self.data_centre:
            return None
        if not self.is_representative(self.vm_id):
            return None
        return tuple(sorted(self.unreachable))

    def apply_reachability(self, message, sender, now_ms, actions):
        """Applies a representative's report of unreachable data centres."""
        if message.unreachable is None:
            return
        if message.data_centre != self.data_centre:
            return
        if not self.is_representative(self.vm_id):
            unreachable = frozenset(message.unreachable)
            self.set_unreachable(unreachable, now_ms, actions)

    # Membership updates.

    def own_update(self):
        """Returns an update with the state of this VM."""
        return _messages.Rumour(
            vm_id=self.vm_id,
            data_centre=self.data_centre,
            state=self.state_of(self.vm_id),
            incarnation=self.incarnation,
        )

    def update_about(self, peer):
        """Returns an update with the state of a peer."""
        return _messages.Rumour(
            vm_id=peer.vm_id,
            data_centre=peer.data_centre,
            state=peer.state,
            incarnation=peer.incarnation,
        )

    def updates_for(self, peer):
        """Returns the updates for a peer, first any that it may refute."""
        if peer.data_centre != self.data_centre:
            about = [self.update_about(each) for each in self.local_peers()]
            return (*about, self.own_update())
        group_size = len(self.local_peers()) + 1
        updates = self.update_queue.next_batch(group_size)
        if peer.state in _REFUTABLE:
            updates = (self.update_about(peer), *updates)
        return updates

    def apply_contact(self, message, vm_id, now_ms, actions):
        """Applies an alive update for the sender of a `Ping` or `Ack`.

        An `Ack` may have come through another VM.
        """
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

    def apply_updates(self, updates, sender_centre, now_ms, actions):
        """Applies the updates in a message from a VM of `sender_centre`."""
        for update in updates:
            if update.vm_id == self.vm_id:
                self.refute(update, actions)
            else:
                self.apply_update(update, sender_centre, now_ms, actions)

    def refute(self, update, actions):
        """Raises the incarnation if this VM is held suspect or dead.

        Notifies the other state machines if it was declared dead.
        """
        if update.state not in _REFUTABLE:
            return
        if update.incarnation < self.incarnation:
            return
        self.incarnation = update.incarnation + 1
        self.update_queue.add(self.own_update())
        if update.state is fleet.PeerState.DEAD:
            # `Ownership` then reads its table from the store again.
            self.notify(self.vm_id, self.data_centre, update.state, actions)
            state = self.state_of(self.vm_id)
            self.notify(self.vm_id, self.data_centre, state, actions)

    def apply_update(self, update, sender_centre, now_ms, actions):
        """Applies one update about a peer.

        An alive update applies only with a higher incarnation, or with an
        equal one if it comes from the peer's own data centre and that isn't
        this one: what another data centre reports about its own VMs is
        adopted. Any other update also applies with an equal incarnation; a
        suspect update applies only to an alive peer.
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
                update.data_centre == sender_centre != self.data_centre
            )
            applies = update.incarnation + from_home_centre > peer.incarnation
        else:
            applies = update.incarnation >= peer.incarnation
        if update.state is fleet.PeerState.SUSPECT:
            applies = applies and peer.state is fleet.PeerState.ALIVE
        if not applies:
            return
        peer.incarnation = update.incarnation
        event = _EVENT_BY_STATE[update.state]
        if event == "refuted" and peer.state not in _REFUTABLE:
            return
        self.fire(peer, event, now_ms, actions)

    def add(self, vm_id, data_centre, now_ms, actions):
        """Adds a peer; returns its record."""
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
        """Applies an event to a peer's chart and reports a change of state."""
        if not peer.fire(event, now_ms):
            return
        if peer.data_centre == self.data_centre:
            self.update_queue.add(self.update_about(peer))
        self.notify(peer.vm_id, peer.data_centre, peer.state, actions)

    def notify(self, vm_id, data_centre, state, actions):
        """Notifies the other state machines of a change of state."""
        change = fleet.PeerStateChanged(vm_id, data_centre, state)
        actions.append(base.Notify(change))
