"""Sends probes to other entry VMs and suspects those that don't answer."""

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.membership import _messages
from samphiregate.core.membership import _peer

INDIRECT_PROBE_COUNT = 2


class Prober:
    """Sends probes and tracks those in flight.

    Parameters
    ----------
    view : MembershipView
        This VM's view of the membership.
    random_state : random.Random
        Source of randomness.
    probe_timeout_ms : int
        Time to wait for an answer, once directly and once indirectly.
    """

    def __init__(self, *, view, random_state, probe_timeout_ms):
        self.view = view
        self.random_state = random_state
        self.probe_timeout_ms = probe_timeout_ms
        self._probes_by_sequence = {}
        self._sequence = 0
        self._local_ring = []
        self._remote_ring = []

    def clear_probes(self):
        """Drops the probes in flight."""
        self._probes_by_sequence.clear()

    def pop_answered(self, message):
        """Removes and returns the probe that an `Ack` answers, or None."""
        probe = self._probes_by_sequence.get(message.sequence)
        if probe is None or probe.subject != message.subject:
            return None
        return self._probes_by_sequence.pop(message.sequence)

    def probe_local(self, now_ms, actions):
        """Probes the next VM in the ring of this data centre."""
        peer = self._next_of_ring(self._local_ring, self._shuffled_local_ids)
        if peer is not None:
            self.ping(peer, now_ms, actions)

    def probe_suspect(self, now_ms, actions):
        """Probes a suspect VM, so that it can refute the suspicion."""
        suspects = self.view.local_peers(fleet.PeerState.SUSPECT)
        if suspects:
            peer = self.random_state.choice(suspects)
            self.ping(peer, now_ms, actions)

    def probe_dead(self, now_ms, actions):
        """Probes a VM that was declared dead, in case it is alive."""
        dead = self.view.local_peers(fleet.PeerState.DEAD)
        if dead:
            peer = self.random_state.choice(dead)
            self.ping(peer, now_ms, actions)

    def probe_remote(self, now_ms, actions):
        """Probes another data centre, if this VM is a representative."""
        if not self.view.is_representative(self.view.vm_id):
            return
        peer = self._next_of_ring(
            self._remote_ring, self._shuffled_ids_one_per_centre
        )
        if peer is not None:
            self.ping(peer, now_ms, actions)

    def _next_of_ring(self, ring, shuffled_ids):
        if not ring:
            ring.extend(shuffled_ids())
        while ring:
            peer = self.view.peers_by_id.get(ring.pop())
            if peer and peer.state is not fleet.PeerState.DEAD:
                return peer
        return None

    def _shuffled_local_ids(self):
        ids = [peer.vm_id for peer in self.view.local_peers()]
        self.random_state.shuffle(ids)
        return ids

    def _shuffled_ids_one_per_centre(self):
        """Returns one VM of each other data centre, in random order."""
        ids_by_centre = {}
        for peer in self.view.peers_by_id.values():
            if peer.data_centre == self.view.data_centre:
                continue
            if peer.state is not fleet.PeerState.DEAD:
                ids = ids_by_centre.setdefault(peer.data_centre, [])
                ids.append(peer.vm_id)
        chosen = [
            self.random_state.choice(ids) for ids in ids_by_centre.values()
        ]
        self.random_state.shuffle(chosen)
        return chosen

    def ping(self, peer, now_ms, actions):
        """Sends a probe; returns its record."""
        self._sequence += 1
        probe = _peer.Probe(subject=peer.vm_id, sent_ms=now_ms)
        self._probes_by_sequence[self._sequence] = probe
        message = _messages.Ping(
            sequence=self._sequence,
            data_centre=self.view.data_centre,
            incarnation=self.view.incarnation,
            rumours=self.view.updates_for(peer),
            unreachable=self.view.reachability_for(peer),
        )
        actions.append(base.SendToPeer(peer.vm_id, message))
        return probe

    def expire_probes(self, now_ms, actions):
        """Handles the probes that timed out.

        A VM of this data centre is first probed indirectly; if that times
        out too, its chart gets `unanswered`, unless it is suspect. For a VM
        of another data centre, a failure of that data centre is recorded. A
        probe on another VM's behalf, or of a removed VM, is dropped.
        """
        for sequence, probe in tuple(self._probes_by_sequence.items()):
            if now_ms - probe.sent_ms < self.probe_timeout_ms:
                continue
            peer = self.view.peers_by_id.get(probe.subject)
            if peer is None or probe.origin:
                del self._probes_by_sequence[sequence]
            elif peer.data_centre != self.view.data_centre:
                del self._probes_by_sequence[sequence]
                self.view.record_remote_failure(peer, now_ms, actions)
            elif not probe.indirect:
                probe.indirect = True
                probe.sent_ms = now_ms
                self._send_indirect_probes(sequence, peer, actions)
            else:
                del self._probes_by_sequence[sequence]
                if peer.state is not fleet.PeerState.SUSPECT:
                    self.view.fire(peer, "unanswered", now_ms, actions)

    def _send_indirect_probes(self, sequence, peer, actions):
        relays = [
            other.vm_id
            for other in self.view.local_peers(fleet.PeerState.ALIVE)
            if other is not peer
        ]
        count = min(INDIRECT_PROBE_COUNT, len(relays))
        for relay in self.random_state.sample(relays, count):
            message = _messages.IndirectPing(
                sequence=sequence,
                subject=peer.vm_id,
                rumours=(self.view.update_about(peer),),
            )
            actions.append(base.SendToPeer(relay, message))
