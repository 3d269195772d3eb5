"""The state machine that probes other entry VMs."""

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.membership import _messages
from samphiregate.core.membership import _peer
from samphiregate.core.membership import _rumours
from samphiregate import parameters

HELPER_COUNT = 2
REPRESENTATIVE_COUNT = 2
UNREACHABLE_AFTER = 3
RUMOUR_BATCH = 8

_PRESENT = (fleet.PeerState.ALIVE, fleet.PeerState.SUSPECT)
_DOUBTED = (fleet.PeerState.SUSPECT, fleet.PeerState.DEAD)
_EVENT_BY_STATE = {
    fleet.PeerState.ALIVE: "refuted",
    fleet.PeerState.SUSPECT: "unanswered",
    fleet.PeerState.LEAVING: "leaves",
    fleet.PeerState.DEAD: "declared_dead",
}


class Membership(base.StateMachine, parameters.Parameterised):
    """Beliefs of one entry VM about all others.

    Parameters
    ----------
    vm_id : str
        This entry VM; unique for each start.
    data_centre : str
        Its data centre.
    random_state : random.Random
        Source of randomness.
    probe_period_ms : int
        Time between probes of VMs of the same data centre.
    probe_timeout_ms : int
        Time to wait for an answer, once directly and once through helpers.
    suspicion_ms : int
        Time in which a suspect VM can refute.
    remote_period_ms : int
        Time between a representative's probes of other data centres.
    revival_period_ms : int
        Time between probes of VMs that are believed dead.
    forget_ms : int
        Time after which a dead VM that is not listed is forgotten.
    pause_limit_ms : int
        Longest gap between events that is not taken for a pause.

    Attributes
    ----------
    peers_by_id_ : dict
        `Peer` records, keyed by VM id; this VM is not among them.
    incarnation_ : int
        Raised to refute what others believe, and after a pause.
    unreachable_ : frozenset of str
        Data centres that the representatives cannot reach.

    Notes
    -----
    A VM is declared dead only by VMs of its own data centre. When a whole
    data centre cannot be reached, its VMs are suspect elsewhere.
    """

    parameter_table = {
        "probe_period_ms": parameters.Interval(int, 50, 60_000),
        "probe_timeout_ms": parameters.Interval(int, 50, 60_000),
        "suspicion_ms": parameters.Interval(int, 100, 600_000),
        "remote_period_ms": parameters.Interval(int, 50, 60_000),
        "revival_period_ms": parameters.Interval(int, 100, 600_000),
        "forget_ms": parameters.Interval(int, 1_000, 86_400_000),
        "pause_limit_ms": parameters.Interval(int, 200, 600_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        random_state,
        probe_period_ms=500,
        probe_timeout_ms=400,
        suspicion_ms=1_500,
        remote_period_ms=500,
        revival_period_ms=5_000,
        forget_ms=600_000,
        pause_limit_ms=2_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.random_state = random_state
        self.probe_period_ms = probe_period_ms
        self.probe_timeout_ms = probe_timeout_ms
        self.suspicion_ms = suspicion_ms
        self.remote_period_ms = remote_period_ms
        self.revival_period_ms = revival_period_ms
        self.forget_ms = forget_ms
        self.pause_limit_ms = pause_limit_ms
        self.check_parameters()
        self.peers_by_id_ = {}
        self.incarnation_ = 1
        self.leaving_ = False
        self.unreachable_ = frozenset()
        self.heard_ms_ = 0
        self._pause = base.PauseDetector(limit_ms=pause_limit_ms)
        self._rumours = _rumours.RumourQueue(batch_size=RUMOUR_BATCH)
        self._probes_by_sequence = {}
        self._sequence = 0
        self._ring = []
        self._remote_ring = []
        self._failures_by_centre = {}
        self._next_probe_ms = 0
        self._next_remote_ms = 0
        self._next_revival_ms = 0

    # What the other machines ask.

    def state_of(self, vm_id):
        """Returns the `PeerState` of a VM; an unknown one is dead."""
        if vm_id == self.vm_id:
            if self.leaving_:
                return fleet.PeerState.LEAVING
            return fleet.PeerState.ALIVE
        peer = self.peers_by_id_.get(vm_id)
        return peer.state if peer else fleet.PeerState.DEAD

    def knows(self, vm_id):
        """Returns whether anything was ever heard or read about a VM."""
        return vm_id == self.vm_id or vm_id in self.peers_by_id_

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
        return self._ids_in((fleet.PeerState.ALIVE,), data_centre)

    def present_ids(self, data_centre=None):
        """Returns the VMs that are alive or suspect, sorted."""
        return self._ids_in(_PRESENT, data_centre)

    def is_gone(self, vm_id, absent_ms, now_ms):
        """Returns whether a VM surely ended at least `absent_ms` ago.

        That takes both: it is believed dead, and the platform's list has
        been without it, for that long.
        """
        if vm_id == self.vm_id:
            return False
        peer = self.peers_by_id_.get(vm_id)
        if peer is None:
            return True
        if peer.state is not fleet.PeerState.DEAD or peer.listed:
            return False
        return now_ms - max(peer.since_ms, peer.unlisted_ms) >= absent_ms

    def _ids_in(self, states, data_centre):
        ids = [
            peer.vm_id
            for peer in self.peers_by_id_.values()
            if peer.state in states and data_centre in (None, peer.data_centre)
        ]
        if not self.leaving_ and data_centre in (None, self.data_centre):
            ids.append(self.vm_id)
        return tuple(sorted(ids))

    # Events.

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        actions = []
        if self._pause.observe(now_ms):
            self._after_pause(now_ms)
        self._on_event(event, now_ms, actions)
        return actions

    @base.singledispatchmethod
    def _on_event(self, event, now_ms, actions):
        """Ignores events of other parts."""

    @_on_event.register
    def _(self, event: fleet.FleetListed, now_ms, actions):
        for info in event.entry_vms_by_id.values():
            if info.vm_id != self.vm_id:
                self._on_listed(info, now_ms, actions)
        for peer in tuple(self.peers_by_id_.values()):
            if peer.vm_id not in event.entry_vms_by_id:
                self._on_unlisted(peer, now_ms, actions)

    def _on_listed(self, info, now_ms, actions):
        peer = self.peers_by_id_.get(info.vm_id)
        if peer is None:
            peer = self._add(info.vm_id, info.data_centre, now_ms, actions)
        peer.listed = True
        if info.leaving and peer.state in _PRESENT:
            self._fire(peer, "leaves", now_ms, actions)

    def _on_unlisted(self, peer, now_ms, actions):
        if peer.listed:
            peer.listed = False
            peer.unlisted_ms = now_ms
        if peer.data_centre != self.data_centre:
            silent = peer.state is fleet.PeerState.SUSPECT
            if silent and peer.data_centre in self.unreachable_:
                self._fire(peer, "forgotten", now_ms, actions)
        if self.is_gone(peer.vm_id, self.forget_ms, now_ms):
            del self.peers_by_id_[peer.vm_id]

    @_on_event.register
    def _(self, event: base.StopRequested, now_ms, actions):
        if self.leaving_:
            return
        self.leaving_ = True
        self.incarnation_ += 1
        self._rumours.add(self._own_rumour())
        for peer in self._neighbours():
            self._ping(peer, now_ms, actions)

    @_on_event.register
    def _(self, event: base.PeerDelivered, now_ms, actions):
        if event.sender == self.vm_id:
            return
        self.heard_ms_ = now_ms
        peer = self.peers_by_id_.get(event.sender)
        if peer is not None:
            peer.heard_ms = now_ms
            self._on_reachable(peer.data_centre, now_ms, actions)
        self._on_message(event.message, event.sender, now_ms, actions)

    @_on_event.register
    def _(self, event: base.Tick, now_ms, actions):
        self._expire_probes(now_ms, actions)
        self._expire_suspicions(now_ms, actions)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self.probe_period_ms
            self._probe_neighbour(now_ms, actions)
            self._probe_suspect(now_ms, actions)
        if now_ms >= self._next_remote_ms:
            self._next_remote_ms = now_ms + self.remote_period_ms
            self._probe_remote(now_ms, actions)
        if now_ms >= self._next_revival_ms:
            self._next_revival_ms = now_ms + self.revival_period_ms
            self._probe_dead(now_ms, actions)

    # Messages.

    @base.singledispatchmethod
    def _on_message(self, message, sender, now_ms, actions):
        """Ignores messages of other parts."""

    @_on_message.register
    def _(self, message: _messages.Ping, sender, now_ms, actions):
        self._learn_sender(message, sender, now_ms, actions)
        self._learn_all(message.rumours, now_ms, actions)
        self._adopt_reachability(message, sender, now_ms, actions)
        peer = self.peers_by_id_.get(sender)
        if peer is None:
            return
        answer = _messages.Ack(
            sequence=message.sequence,
            subject=self.vm_id,
            data_centre=self.data_centre,
            incarnation=self.incarnation_,
            rumours=self._rumours_for(peer),
            unreachable=self._reachability_for(peer),
        )
        actions.append(base.SendToPeer(sender, answer))

    @_on_message.register
    def _(self, message: _messages.Ack, sender, now_ms, actions):
        self._learn_sender(message, message.subject, now_ms, actions)
        self._learn_all(message.rumours, now_ms, actions)
        if sender == message.subject:
            self._adopt_reachability(message, sender, now_ms, actions)
        probe = self._probes_by_sequence.get(message.sequence)
        if probe is None or probe.subject != message.subject:
            return
        del self._probes_by_sequence[message.sequence]
        if probe.origin:
            relayed = _messages.Ack(
                sequence=probe.origin_sequence,
                subject=message.subject,
                data_centre=message.data_centre,
                incarnation=message.incarnation,
            )
            actions.append(base.SendToPeer(probe.origin, relayed))

    @_on_message.register
    def _(self, message: _messages.IndirectPing, sender, now_ms, actions):
        self._learn_all(message.rumours, now_ms, actions)
        peer = self.peers_by_id_.get(message.subject)
        if peer is None:
            return
        probe = self._ping(peer, now_ms, actions)
        probe.origin = sender
        probe.origin_sequence = message.sequence

    # Probing.

    def _probe_neighbour(self, now_ms, actions):
        peer = self._next_of_ring(self._ring, self._neighbour_ids)
        if peer is not None:
            self._ping(peer, now_ms, actions)

    def _probe_suspect(self, now_ms, actions):
        suspects = self._neighbours(fleet.PeerState.SUSPECT)
        if suspects:
            peer = self.random_state.choice(suspects)
            self._ping(peer, now_ms, actions)

    def _probe_dead(self, now_ms, actions):
        dead = self._neighbours(fleet.PeerState.DEAD)
        if dead:
            peer = self.random_state.choice(dead)
            self._ping(peer, now_ms, actions)

    def _probe_remote(self, now_ms, actions):
        if not self._is_representative(self.vm_id):
            return
        peer = self._next_of_ring(self._remote_ring, self._remote_ids)
        if peer is not None:
            self._ping(peer, now_ms, actions)

    def _next_of_ring(self, ring, refill):
        if not ring:
            ring.extend(refill())
        while ring:
            peer = self.peers_by_id_.get(ring.pop())
            if peer and peer.state is not fleet.PeerState.DEAD:
                return peer
        return None

    def _neighbour_ids(self):
        ids = [peer.vm_id for peer in self._neighbours()]
        self.random_state.shuffle(ids)
        return ids

    def _remote_ids(self):
        """Returns one VM of each other data centre, in random order."""
        ids_by_centre = {}
        for peer in self.peers_by_id_.values():
            if peer.data_centre == self.data_centre:
                continue
            if peer.state is not fleet.PeerState.DEAD:
                ids = ids_by_centre.setdefault(peer.data_centre, [])
                ids.append(peer.vm_id)
        chosen = [
            self.random_state.choice(ids) for ids in ids_by_centre.values()
        ]
        self.random_state.shuffle(chosen)
        return chosen

    def _neighbours(self, state=None):
        return [
            peer
            for peer in self.peers_by_id_.values()
            if peer.data_centre == self.data_centre
            and state in (None, peer.state)
        ]

    def _ping(self, peer, now_ms, actions):
        self._sequence += 1
        probe = _peer.Probe(subject=peer.vm_id, sent_ms=now_ms)
        self._probes_by_sequence[self._sequence] = probe
        message = _messages.Ping(
            sequence=self._sequence,
            data_centre=self.data_centre,
            incarnation=self.incarnation_,
            rumours=self._rumours_for(peer),
            unreachable=self._reachability_for(peer),
        )
        actions.append(base.SendToPeer(peer.vm_id, message))
        return probe

    # Time-outs.

    def _expire_probes(self, now_ms, actions):
        for sequence, probe in tuple(self._probes_by_sequence.items()):
            if now_ms - probe.sent_ms < self.probe_timeout_ms:
                continue
            peer = self.peers_by_id_.get(probe.subject)
            if peer is None or probe.origin:
                del self._probes_by_sequence[sequence]
            elif peer.data_centre != self.data_centre:
                del self._probes_by_sequence[sequence]
                self._on_remote_failure(peer, now_ms, actions)
            elif not probe.indirect:
                probe.indirect = True
                probe.sent_ms = now_ms
                self._ask_helpers(sequence, peer, actions)
            else:
                del self._probes_by_sequence[sequence]
                if peer.state is not fleet.PeerState.SUSPECT:
                    self._fire(peer, "unanswered", now_ms, actions)

    def _ask_helpers(self, sequence, peer, actions):
        helpers = [
            other.vm_id
            for other in self._neighbours(fleet.PeerState.ALIVE)
            if other is not peer
        ]
        count = min(HELPER_COUNT, len(helpers))
        for helper in self.random_state.sample(helpers, count):
            message = _messages.IndirectPing(
                sequence=sequence,
                subject=peer.vm_id,
                rumours=(self._rumour_about(peer),),
            )
            actions.append(base.SendToPeer(helper, message))

    def _expire_suspicions(self, now_ms, actions):
        for peer in self._neighbours(fleet.PeerState.SUSPECT):
            if now_ms - peer.since_ms >= self.suspicion_ms:
                self._fire(peer, "expired", now_ms, actions)

    def _after_pause(self, now_ms):
        """Doubts itself and gives every peer a fresh chance to answer."""
        self.incarnation_ += 1
        self._rumours.add(self._own_rumour())
        self._probes_by_sequence.clear()
        for peer in self.peers_by_id_.values():
            if peer.state is fleet.PeerState.SUSPECT:
                peer.since_ms = now_ms

    # Other data centres.

    def _is_representative(self, vm_id):
        present = self.present_ids(self.data_centre)
        ranked = sorted(present, key=base.stable_hash)
        return vm_id in ranked[:REPRESENTATIVE_COUNT]

    def _on_remote_failure(self, peer, now_ms, actions):
        centre = peer.data_centre
        failures = self._failures_by_centre.get(centre, 0) + 1
        self._failures_by_centre[centre] = failures
        if failures >= UNREACHABLE_AFTER:
            unreachable = self.unreachable_ | {centre}
            self._set_unreachable(unreachable, now_ms, actions)

    def _on_reachable(self, centre, now_ms, actions):
        self._failures_by_centre.pop(centre, None)
        if centre in self.unreachable_:
            unreachable = self.unreachable_ - {centre}
            self._set_unreachable(unreachable, now_ms, actions)

    def _set_unreachable(self, unreachable, now_ms, actions):
        changed = self.unreachable_ ^ unreachable
        self.unreachable_ = frozenset(unreachable)
        for peer in tuple(self.peers_by_id_.values()):
            if peer.data_centre not in changed:
                continue
            if peer.data_centre in unreachable:
                if peer.state is fleet.PeerState.ALIVE:
                    self._fire(peer, "unanswered", now_ms, actions)
            elif peer.state is fleet.PeerState.SUSPECT:
                self._fire(peer, "refuted", now_ms, actions)

    def _reachability_for(self, peer):
        if peer.data_centre != self.data_centre:
            return None
        if not self._is_representative(self.vm_id):
            return None
        return tuple(sorted(self.unreachable_))

    def _adopt_reachability(self, message, sender, now_ms, actions):
        if message.unreachable is None:
            return
        if message.data_centre != self.data_centre:
            return
        if not self._is_representative(self.vm_id):
            unreachable = frozenset(message.unreachable)
            self._set_unreachable(unreachable, now_ms, actions)

    # News.

    def _own_rumour(self):
        return _messages.Rumour(
            vm_id=self.vm_id,
            data_centre=self.data_centre,
            state=self.state_of(self.vm_id),
            incarnation=self.incarnation_,
        )

    def _rumour_about(self, peer):
        return _messages.Rumour(
            vm_id=peer.vm_id,
            data_centre=peer.data_centre,
            state=peer.state,
            incarnation=peer.incarnation,
        )

    def _rumours_for(self, peer):
        """Returns the news for a peer, with what it may have to refute."""
        if peer.data_centre != self.data_centre:
            about = [self._rumour_about(each) for each in self._neighbours()]
            return (*about, self._own_rumour())
        group_size = len(self._neighbours()) + 1
        rumours = self._rumours.take(group_size)
        if peer.state in _DOUBTED:
            rumours = (self._rumour_about(peer), *rumours)
        return rumours

    def _learn_sender(self, message, vm_id, now_ms, actions):
        if not message.data_centre or vm_id == self.vm_id:
            return
        if vm_id not in self.peers_by_id_:
            peer = self._add(vm_id, message.data_centre, now_ms, actions)
            peer.listed = False
            peer.unlisted_ms = now_ms
        self._learn(
            _messages.Rumour(
                vm_id=vm_id,
                data_centre=message.data_centre,
                state=fleet.PeerState.ALIVE,
                incarnation=message.incarnation,
            ),
            now_ms,
            actions,
        )

    def _learn_all(self, rumours, now_ms, actions):
        for rumour in rumours:
            if rumour.vm_id == self.vm_id:
                self._refute(rumour, actions)
            else:
                self._learn(rumour, now_ms, actions)

    def _refute(self, rumour, actions):
        if rumour.state not in _DOUBTED:
            return
        if rumour.incarnation < self.incarnation_:
            return
        self.incarnation_ = rumour.incarnation + 1
        self._rumours.add(self._own_rumour())
        if rumour.state is fleet.PeerState.DEAD:
            self._notify(self.vm_id, self.data_centre, rumour.state, actions)
            state = self.state_of(self.vm_id)
            self._notify(self.vm_id, self.data_centre, state, actions)

    def _learn(self, rumour, now_ms, actions):
        peer = self.peers_by_id_.get(rumour.vm_id)
        if peer is None:
            if rumour.state is fleet.PeerState.DEAD:
                return
            peer = self._add(rumour.vm_id, rumour.data_centre, now_ms, actions)
            peer.listed = False
            peer.unlisted_ms = now_ms
        if rumour.state is fleet.PeerState.ALIVE:
            news = rumour.incarnation > peer.incarnation
        else:
            news = rumour.incarnation >= peer.incarnation
        if rumour.state is fleet.PeerState.SUSPECT:
            news = news and peer.state is fleet.PeerState.ALIVE
        if not news:
            return
        peer.incarnation = rumour.incarnation
        event = _EVENT_BY_STATE[rumour.state]
        if event == "refuted" and peer.state not in _DOUBTED:
            return
        self._fire(peer, event, now_ms, actions)

    def _add(self, vm_id, data_centre, now_ms, actions):
        peer = _peer.Peer(
            vm_id=vm_id,
            data_centre=data_centre,
            state=fleet.PeerState(_peer.CHART.initial),
            since_ms=now_ms,
            heard_ms=now_ms,
        )
        self.peers_by_id_[vm_id] = peer
        self._notify(vm_id, data_centre, peer.state, actions)
        return peer

    def _fire(self, peer, event, now_ms, actions):
        if not peer.fire(event, now_ms):
            return
        if peer.data_centre == self.data_centre:
            self._rumours.add(self._rumour_about(peer))
        self._notify(peer.vm_id, peer.data_centre, peer.state, actions)

    def _notify(self, vm_id, data_centre, state, actions):
        change = fleet.PeerStateChanged(vm_id, data_centre, state)
        actions.append(base.Notify(change))
