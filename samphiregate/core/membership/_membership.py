"""State machine that probes other entry VMs and tracks their states."""

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.membership import _messages
from samphiregate.core.membership import _prober
from samphiregate.core.membership import _view
from samphiregate import parameters


class Membership(base.StateMachine, parameters.Parameterised):
    """States of all other entry VMs, as seen by one entry VM.

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
        Time to wait for an answer, once directly and once indirectly.
    suspicion_ms : int
        Time in which a suspect VM can refute.
    remote_period_ms : int
        Time between a representative's probes of other data centres.
    revival_period_ms : int
        Time between probes of VMs that were declared dead.
    forget_ms : int
        Time for which a VM of this data centre must be dead and missing
        from the platform's list before it is removed.
    remote_forget_ms : int
        Time for which a VM of another data centre must be missing from the
        platform's list before it is removed, whatever its state.
    pause_limit_ms : int
        Gap between events above which this VM counts as having been paused.

    Attributes
    ----------
    received_ms_ : int
        When a message from another VM was last received.

    Notes
    -----
    A VM is declared dead only by VMs of its own data centre. In the others
    it is also reported dead when it is removed because it is missing from
    the platform's list. When a whole data centre is unreachable, its VMs
    are suspect in the others.
    """

    parameter_table = {
        "probe_period_ms": parameters.Interval(int, 50, 60_000),
        "probe_timeout_ms": parameters.Interval(int, 50, 60_000),
        "suspicion_ms": parameters.Interval(int, 100, 600_000),
        "remote_period_ms": parameters.Interval(int, 50, 60_000),
        "revival_period_ms": parameters.Interval(int, 100, 600_000),
        "forget_ms": parameters.Interval(int, 1_000, 86_400_000),
        "remote_forget_ms": parameters.Interval(int, 1_000, 86_400_000),
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
        remote_forget_ms=30_000,
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
        self.remote_forget_ms = remote_forget_ms
        self.pause_limit_ms = pause_limit_ms
        self.check_parameters()
        self.received_ms_ = 0
        self._pause = base.PauseDetector(limit_ms=pause_limit_ms)
        self._view = _view.MembershipView(vm_id=vm_id, data_centre=data_centre)
        self._prober = _prober.Prober(
            view=self._view,
            random_state=random_state,
            probe_timeout_ms=probe_timeout_ms,
        )
        self._next_probe_ms = 0
        self._next_remote_ms = 0
        self._next_revival_ms = 0

    # Queries by the other state machines.

    @property
    def peers_by_id_(self):
        """`Peer` records, keyed by VM id; this VM is not among them."""
        return self._view.peers_by_id

    @property
    def leaving_(self):
        """Whether this VM is stopping."""
        return self._view.leaving

    def state_of(self, vm_id):
        """Returns the `PeerState` of a VM; dead if it is not a member."""
        return self._view.state_of(vm_id)

    def has_member(self, vm_id):
        """Returns whether a VM is this one or in the member list."""
        return self._view.has_member(vm_id)

    def alive_ids(self, data_centre=None):
        """Returns the VMs that are alive; see `MembershipView.alive_ids`."""
        return self._view.alive_ids(data_centre)

    def present_ids(self, data_centre=None):
        """Returns the VMs that are alive or suspect.

        See `MembershipView.present_ids`.
        """
        return self._view.present_ids(data_centre)

    def is_confirmed_dead(self, vm_id, absent_ms, now_ms):
        """Returns whether a VM is known to have ended.

        See `MembershipView.is_confirmed_dead`.
        """
        return self._view.is_confirmed_dead(vm_id, absent_ms, now_ms)

    # Events.

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        actions = []
        if self._pause.observe(now_ms):
            self._reset_after_pause(now_ms)
        self._on_event(event, now_ms, actions)
        return actions

    @base.singledispatchmethod
    def _on_event(self, event, now_ms, actions):
        """Ignores events for other state machines."""

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
            peer = self._view.add(
                info.vm_id, info.data_centre, now_ms, actions
            )
        peer.listed = True
        if info.leaving and peer.state in _view.PRESENT:
            self._view.fire(peer, "leaves", now_ms, actions)

    def _on_unlisted(self, peer, now_ms, actions):
        if peer.listed:
            peer.listed = False
            peer.unlisted_ms = now_ms
        if peer.data_centre != self.data_centre:
            if now_ms - peer.unlisted_ms >= self.remote_forget_ms:
                self._view.fire(peer, "forgotten", now_ms, actions)
                del self.peers_by_id_[peer.vm_id]
            return
        if self.is_confirmed_dead(peer.vm_id, self.forget_ms, now_ms):
            del self.peers_by_id_[peer.vm_id]

    @_on_event.register
    def _(self, event: base.StopRequested, now_ms, actions):
        if self._view.leaving:
            return
        self._view.leaving = True
        self._view.incarnation += 1
        self._view.update_queue.add(self._view.own_update())
        for peer in self._view.local_peers():
            self._prober.ping(peer, now_ms, actions)

    @_on_event.register
    def _(self, event: base.PeerDelivered, now_ms, actions):
        if event.sender == self.vm_id:
            return
        self.received_ms_ = now_ms
        peer = self.peers_by_id_.get(event.sender)
        if peer is not None:
            peer.received_ms = now_ms
            self._view.record_reachable(peer.data_centre, now_ms, actions)
        self._on_message(event.message, event.sender, now_ms, actions)

    @_on_event.register
    def _(self, event: base.Tick, now_ms, actions):
        self._prober.expire_probes(now_ms, actions)
        self._expire_suspicions(now_ms, actions)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self.probe_period_ms
            self._prober.probe_local(now_ms, actions)
            self._prober.probe_suspect(now_ms, actions)
        if now_ms >= self._next_remote_ms:
            self._next_remote_ms = now_ms + self.remote_period_ms
            self._prober.probe_remote(now_ms, actions)
        if now_ms >= self._next_revival_ms:
            self._next_revival_ms = now_ms + self.revival_period_ms
            self._prober.probe_dead(now_ms, actions)

    # Messages.

    @base.singledispatchmethod
    def _on_message(self, message, sender, now_ms, actions):
        """Ignores messages for other state machines."""

    @_on_message.register
    def _(self, message: _messages.Ping, sender, now_ms, actions):
        self._view.apply_contact(message, sender, now_ms, actions)
        self._view.apply_updates(
            message.rumours, message.data_centre, now_ms, actions
        )
        self._view.apply_reachability(message, sender, now_ms, actions)
        peer = self.peers_by_id_.get(sender)
        if peer is None:
            return
        answer = _messages.Ack(
            sequence=message.sequence,
            subject=self.vm_id,
            data_centre=self.data_centre,
            incarnation=self._view.incarnation,
            rumours=self._view.updates_for(peer),
            unreachable=self._view.reachability_for(peer),
        )
        actions.append(base.SendToPeer(sender, answer))

    @_on_message.register
    def _(self, message: _messages.Ack, sender, now_ms, actions):
        self._view.apply_contact(message, message.subject, now_ms, actions)
        self._view.apply_updates(
            message.rumours, message.data_centre, now_ms, actions
        )
        if sender == message.subject:
            self._view.apply_reachability(message, sender, now_ms, actions)
        probe = self._prober.pop_answered(message)
        if probe is not None and probe.origin:
            relayed = _messages.Ack(
                sequence=probe.origin_sequence,
                subject=message.subject,
                data_centre=message.data_centre,
                incarnation=message.incarnation,
            )
            actions.append(base.SendToPeer(probe.origin, relayed))

    @_on_message.register
    def _(self, message: _messages.IndirectPing, sender, now_ms, actions):
        # An `IndirectPing` is sent only within a data centre.
        self._view.apply_updates(
            message.rumours, self.data_centre, now_ms, actions
        )
        peer = self.peers_by_id_.get(message.subject)
        if peer is None:
            return
        probe = self._prober.ping(peer, now_ms, actions)
        probe.origin = sender
        probe.origin_sequence = message.sequence

    def _expire_suspicions(self, now_ms, actions):
        for peer in self._view.local_peers(fleet.PeerState.SUSPECT):
            if now_ms - peer.since_ms >= self.suspicion_ms:
                self._view.fire(peer, "expired", now_ms, actions)

    def _reset_after_pause(self, now_ms):
        """Raises the incarnation and restarts all suspicion timeouts.

        Others may have declared this VM dead meanwhile, and answers that
        were missed during the pause are no evidence against a peer.
        """
        self._view.incarnation += 1
        self._view.update_queue.add(self._view.own_update())
        self._prober.clear_probes()
        for peer in self.peers_by_id_.values():
            if peer.state is fleet.PeerState.SUSPECT:
                peer.since_ms = now_ms
