"""State machine that acquires and gives up shards."""

import attrs

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import model
from samphiregate.core.ownership import _messages
from samphiregate.core.ownership import _planner
from samphiregate.core.ownership import _rendezvous
from samphiregate.core.ownership import _table
from samphiregate.core import store
from samphiregate import parameters

KEY_PREFIX = "shards/"
CALL_TIMEOUT_MS = 10_000
MIN_BACKOFF_MS = 300
MAX_BACKOFF_MS = 5_000
RANK_DELAY_MS = 700
DIGEST_PERIOD_MS = 2_000
REMOTE_DIGEST_PERIOD_MS = 5_000


@attrs.define
class _Call:
    """The call to the store that is in flight; there is at most one."""

    call_id: int
    sent_ms: int
    proposal: dict | None = None


class Ownership(base.StateMachine, parameters.Parameterised):
    """Owns shards of one data centre on behalf of one entry VM.

    Parameters
    ----------
    vm_id : str
        This entry VM; unique for each start.
    data_centre : str
        Its data centre.
    membership : Membership
        Membership of the same VM; it must handle each event first.
    random_state : random.Random
        Source of randomness.
    shard_count : int
        Number of shards of each data centre; the same on every VM.
    unknown_grace_ms, contested_hold_ms, settle_ms : int
        See `Planner`.
    pause_limit_ms : int
        Gap between events above which this VM counts as having been paused.

    Attributes
    ----------
    version_ : int or None
        Version of the latest value received from the store.
    tables_by_centre_ : dict
        `ShardTable` of each known data centre.

    Notes
    -----
    An entry takes effect only once the store has accepted it. A VM acts as
    the owner from the moment it receives its entry until it receives one
    with a higher epoch, or detects that it was paused. Answers of the store
    are matched by key and call id; call ids rise and are never reused.
    """

    parameter_table = {
        "shard_count": parameters.Interval(int, 1, 65_536),
        "unknown_grace_ms": parameters.Interval(int, 0, 600_000),
        "contested_hold_ms": parameters.Interval(int, 0, 3_600_000),
        "settle_ms": parameters.Interval(int, 0, 3_600_000),
        "pause_limit_ms": parameters.Interval(int, 200, 600_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        membership,
        random_state,
        shard_count=64,
        unknown_grace_ms=5_000,
        contested_hold_ms=30_000,
        settle_ms=5_000,
        pause_limit_ms=2_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.membership = membership
        self.random_state = random_state
        self.shard_count = shard_count
        self.unknown_grace_ms = unknown_grace_ms
        self.contested_hold_ms = contested_hold_ms
        self.settle_ms = settle_ms
        self.pause_limit_ms = pause_limit_ms
        self.check_parameters()
        self.key = self.key_of(data_centre)
        self.version_ = None
        self.tables_by_centre_ = {}
        self._table = self._table_of(data_centre)
        self._stored = {}
        self._owned_epoch_by_number = {}
        self._dropped_epoch_by_number = {}
        self._changed_ms_by_number = {}
        self._replaced_ms_by_vm = {}
        self._rendezvous_by_centre = {}
        self._planner = _planner.Planner(
            vm_id=vm_id,
            membership=membership,
            rendezvous=self._rendezvous_of(data_centre),
            unknown_grace_ms=unknown_grace_ms,
            contested_hold_ms=contested_hold_ms,
            settle_ms=settle_ms,
        )
        self._pause = base.PauseDetector(limit_ms=pause_limit_ms)
        self._call = None
        self._next_call_id = 0
        self._watching = False
        self._must_read = True
        self._backoff_ms = 0
        self._next_call_ms = 0
        self._moves_due_since_ms = None
        self._next_digest_ms = 0
        self._next_remote_digest_ms = 0

    @staticmethod
    def key_of(data_centre):
        """Returns the store key of a data centre's table."""
        return KEY_PREFIX + data_centre

    # Queries by the other state machines.

    @property
    def owned_shards(self):
        """Epochs of the shards that this VM owns, keyed by shard."""
        return {
            model.ShardId(self.data_centre, number): epoch
            for number, epoch in self._owned_epoch_by_number.items()
        }

    def owned_epoch(self, shard):
        """Returns the epoch under which this VM owns a shard, or None."""
        if shard.data_centre != self.data_centre:
            return None
        return self._owned_epoch_by_number.get(shard.number)

    def has_owned_since(self, vm_id, since_ms):
        """Returns whether a VM owned a shard at any time since `since_ms`."""
        owns_now = any(
            entry.owner == vm_id
            for entry in self._table.entry_by_number.values()
        )
        if owns_now:
            return True
        return self._replaced_ms_by_vm.get(vm_id, since_ms) > since_ms

    def entry_of(self, shard):
        """Returns the `ShardEntry` of a shard, or None if there is none."""
        table = self.tables_by_centre_.get(shard.data_centre)
        if table is None:
            return None
        return table.entry_by_number.get(shard.number)

    def candidates(self, shard):
        """Returns the VMs in the order in which they would own a shard.

        See `Rendezvous.candidates`.
        """
        present = self.membership.present_ids(shard.data_centre)
        rendezvous = self._rendezvous_of(shard.data_centre)
        return rendezvous.candidates(shard.number, present)

    # Events.

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        actions = []
        if self._pause.observe(now_ms):
            self._drop_all(actions)
        self._on_event(event, now_ms, actions)
        return actions

    @base.singledispatchmethod
    def _on_event(self, event, now_ms, actions):
        """Ignores events for other state machines."""

    @_on_event.register
    def _(self, event: base.Tick, now_ms, actions):
        self._start_due_call(now_ms, actions)
        self._send_digests(now_ms, actions)

    @_on_event.register
    def _(self, event: base.StopRequested, now_ms, actions):
        self._next_call_ms = now_ms
        self._start_due_call(now_ms, actions)

    @_on_event.register
    def _(self, event: fleet.PeerStateChanged, now_ms, actions):
        declared_dead = event.state is fleet.PeerState.DEAD
        if event.vm_id == self.vm_id and declared_dead:
            # Other VMs may have taken over its shards.
            self._must_read = True

    @_on_event.register
    def _(self, event: base.PeerDelivered, now_ms, actions):
        self._on_message(event.message, event.sender, now_ms, actions)

    @_on_event.register
    def _(self, event: store.KeyChanged, now_ms, actions):
        if event.key == self.key:
            self._apply_value(event.version, event.value, now_ms, actions)

    @_on_event.register
    def _(self, event: store.StoreAnswered, now_ms, actions):
        call = self._call
        if event.key != self.key or call is None:
            return
        if event.call_id != call.call_id:
            return
        self._call = None
        if event.outcome is store.StoreOutcome.OK:
            self._on_ok(call, event, now_ms, actions)
        elif event.outcome is store.StoreOutcome.CONFLICT:
            self._must_read = not self._apply_value(
                event.version, event.value, now_ms, actions
            )
            self._back_off(now_ms)
        else:
            self._must_read = True
            self._back_off(now_ms)

    def _on_ok(self, call, event, now_ms, actions):
        self._backoff_ms = 0
        if call.proposal is None:
            self._must_read = False
            self._apply_value(event.version, event.value, now_ms, actions)
            return
        self._broadcast(self._table.newer_entries(call.proposal), actions)
        value = _table.encode(call.proposal)
        self._apply_value(event.version, value, now_ms, actions)

    # Calls to the store.

    def _start_due_call(self, now_ms, actions):
        """Starts the call to the store that is due, if any."""
        if not self._watching:
            self._watching = True
            actions.append(store.WatchKey(self.key))
        if self._call is not None:
            if now_ms - self._call.sent_ms < CALL_TIMEOUT_MS:
                return
            self._call = None
            self._must_read = True
        if now_ms < self._next_call_ms:
            return
        if self._must_read or self.version_ is None:
            call = self._begin_call(now_ms)
            actions.append(store.ReadKey(call.call_id, self.key))
            return
        moves = self._due_moves(now_ms)
        if moves:
            self._propose(moves, now_ms, actions)

    def _due_moves(self, now_ms):
        moves = self._planner.moves(
            self._table,
            self._owned_epoch_by_number,
            self._changed_ms_by_number,
            now_ms,
        )
        if not moves:
            self._moves_due_since_ms = None
            return moves
        if self._moves_due_since_ms is None:
            self._moves_due_since_ms = now_ms
        waited_ms = now_ms - self._moves_due_since_ms
        if self.membership.leaving_:
            # A leaving VM moves its own shards without waiting; it has no
            # rank.
            return [each for each in moves if self._moves_own_shard(each)]
        # Each VM waits longer than the one before it in the order.
        return moves if waited_ms >= self._rank() * RANK_DELAY_MS else []

    def _moves_own_shard(self, move):
        return self._table.entry(move.number).owner == self.vm_id

    def _rank(self):
        """Returns this VM's position among the VMs that change the table."""
        present = self.membership.present_ids(self.data_centre)
        ranked = sorted(present, key=base.stable_hash)
        return ranked.index(self.vm_id)

    def _propose(self, moves, now_ms, actions):
        proposal = dict(self._stored)
        proposal.update(self._table.entry_by_number)
        for move in moves:
            epoch = self._table.entry(move.number).epoch + 1
            entry = fleet.ShardEntry(owner=move.owner, epoch=epoch)
            proposal[move.number] = entry
        call = self._begin_call(now_ms)
        call.proposal = proposal
        actions.append(
            store.CompareAndSwap(
                call.call_id,
                self.key,
                self.version_,
                _table.encode(proposal),
            )
        )

    def _begin_call(self, now_ms):
        self._next_call_id += 1
        self._call = _Call(call_id=self._next_call_id, sent_ms=now_ms)
        return self._call

    def _back_off(self, now_ms):
        doubled = max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(doubled, MAX_BACKOFF_MS)
        jitter = self.random_state.uniform(0.5, 1.0)
        self._next_call_ms = now_ms + int(self._backoff_ms * jitter)

    def _apply_value(self, version, value, now_ms, actions):
        """Applies a value of the store; returns False if outdated."""
        if self.version_ is not None and version < self.version_:
            return False
        self.version_ = version
        self._stored = _table.decode(value)
        self._apply_entries(self._table, self._stored, now_ms, actions)
        return True

    def _broadcast(self, entry_by_number, actions):
        message = self._table.to_message(entry_by_number)
        for vm_id in self.membership.present_ids(self.data_centre):
            if vm_id != self.vm_id:
                actions.append(base.SendToPeer(vm_id, message))

    # Tables.

    def _table_of(self, data_centre):
        table = self.tables_by_centre_.get(data_centre)
        if table is None:
            table = _table.ShardTable(data_centre=data_centre)
            self.tables_by_centre_[data_centre] = table
        return table

    def _rendezvous_of(self, data_centre):
        rendezvous = self._rendezvous_by_centre.get(data_centre)
        if rendezvous is None:
            rendezvous = _rendezvous.Rendezvous(
                data_centre=data_centre, shard_count=self.shard_count
            )
            self._rendezvous_by_centre[data_centre] = rendezvous
        return rendezvous

    def _apply_entries(self, table, entry_by_number, now_ms, actions):
        """Applies the entries with higher epochs; returns them."""
        newer = table.newer_entries(entry_by_number)
        if not newer:
            return newer
        previous_owner_by_number = {
            number: table.entry(number).owner for number in newer
        }
        table.entry_by_number.update(newer)
        if table is self._table:
            for number, entry in sorted(newer.items()):
                previous_owner = previous_owner_by_number.get(number)
                self._replaced_ms_by_vm[previous_owner] = now_ms
                self._changed_ms_by_number[number] = now_ms
                self._on_entry(number, entry, actions)
        entries = {
            model.ShardId(table.data_centre, number): entry
            for number, entry in table.entry_by_number.items()
        }
        changed = fleet.ShardTableChanged(table.data_centre, entries)
        actions.append(base.Notify(changed))
        return newer

    def _on_entry(self, number, entry, actions):
        shard = model.ShardId(self.data_centre, number)
        if number in self._owned_epoch_by_number:
            del self._owned_epoch_by_number[number]
            actions.append(base.Notify(fleet.ShardLost(shard)))
        if entry.owner != self.vm_id:
            return
        if entry.epoch <= self._dropped_epoch_by_number.get(number, 0):
            return
        self._owned_epoch_by_number[number] = entry.epoch
        gained = fleet.ShardGained(shard, entry.epoch)
        actions.append(base.Notify(gained))

    def _drop_all(self, actions):
        """Gives up every shard after a pause.

        Only a higher epoch restores one.
        """
        self._must_read = True
        for number, entry in self._table.entry_by_number.items():
            self._dropped_epoch_by_number[number] = entry.epoch
        for number in sorted(self._owned_epoch_by_number):
            shard = model.ShardId(self.data_centre, number)
            actions.append(base.Notify(fleet.ShardLost(shard)))
        self._owned_epoch_by_number.clear()

    # Exchange of tables with peers.

    @base.singledispatchmethod
    def _on_message(self, message, sender, now_ms, actions):
        """Ignores messages for other state machines."""

    @_on_message.register
    def _(self, message: _messages.ShardTableNews, sender, now_ms, actions):
        entries = {
            record.number: fleet.ShardEntry(record.owner, record.epoch)
            for record in message.records
        }
        table = self._table_of(message.data_centre)
        self._apply_entries(table, entries, now_ms, actions)

    @_on_message.register
    def _(self, message: _messages.ShardTableDigest, sender, now_ms, actions):
        received_by_centre = {
            each.data_centre: each for each in message.digests
        }
        differs = False
        for table in self.tables_by_centre_.values():
            own = table.digest()
            received = received_by_centre.pop(table.data_centre, None)
            if own == received:
                continue
            if table.entry_by_number:
                actions.append(base.SendToPeer(sender, table.to_message()))
            differs = differs or received is not None
        if (differs or received_by_centre) and not message.answering:
            actions.append(base.SendToPeer(sender, self._digest(True)))

    def _digest(self, answering):
        return _messages.ShardTableDigest(
            digests=tuple(
                table.digest() for table in self.tables_by_centre_.values()
            ),
            answering=answering,
        )

    def _send_digests(self, now_ms, actions):
        if now_ms >= self._next_digest_ms:
            self._next_digest_ms = now_ms + DIGEST_PERIOD_MS
            peers = self.membership.present_ids(self.data_centre)
            self._send_digest(peers, actions)
        if now_ms >= self._next_remote_digest_ms:
            self._next_remote_digest_ms = now_ms + REMOTE_DIGEST_PERIOD_MS
            peers = [
                peer.vm_id
                for peer in self.membership.peers_by_id_.values()
                if peer.data_centre != self.data_centre
                and peer.state is fleet.PeerState.ALIVE
            ]
            self._send_digest(peers, actions)

    def _send_digest(self, peers, actions):
        others = [vm_id for vm_id in peers if vm_id != self.vm_id]
        if others:
            recipient = self.random_state.choice(others)
            message = self._digest(False)
            actions.append(base.SendToPeer(recipient, message))
