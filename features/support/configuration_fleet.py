"""Replicas of the configuration in virtual time, with a fake store."""

import functools
import heapq
import itertools
import math
import random

import attrs
import cattrs
import orjson

from samphiregate.core import base
from samphiregate.core import configuration as configurations
from samphiregate.core import model
from samphiregate.core import store

TICK_MS = 250
# A watch is a series of long polls: the pause after an answered poll, and the
# time after which an unanswered one is repeated.
WATCH_INTERVAL_MS = 250
WATCH_WAIT_MS = 20_000
STORE_DELAY_MS = 2
INTRA_CENTRE_DELAY_MS = 1
INTER_CENTRE_DELAY_MS = 20


class FakeMembership:
    """Membership of one VM, which lists the VMs not detected as dead."""

    def __init__(self, fleet, vm_id):
        self._fleet = fleet
        self._vm_id = vm_id

    def alive_ids(self, data_centre=None):
        """Returns the sorted ids of the VMs not detected as dead."""
        return tuple(
            vm_id
            for vm_id in self._fleet.presumed_alive_ids(self._vm_id)
            if data_centre in (None, self._fleet.data_centre_by_vm[vm_id])
        )


@attrs.define
class Counts:
    """Counters of messages, store calls and bytes."""

    messages: int = 0
    message_bytes: int = 0
    store_calls: int = 0
    store_bytes: int = 0
    bytes_by_vm: dict = attrs.field(factory=dict)
    store_calls_by_second: dict = attrs.field(factory=dict)


class FakeStore:
    """Store of the two documents, with stale reads and outages."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.down = False
        self.stale_reads = False
        self.cut_off = set()
        # Number of accepted edits; stands for the version of both keys.
        self.version = 0
        self.values = {}
        self.previous = {}
        self.configuration = model.Configuration()
        self.head = configurations.Head()
        self.watch_by_vm = {}

    def accept(self, **changes):
        """Accepts one edit, as the command line makes it."""
        if configurations.needs_snapshot(self.head):
            self._put(
                configurations.SNAPSHOT_KEY,
                configurations.encode(self.configuration),
            )
            self.head = configurations.with_snapshot(
                self.head, self.head.revision
            )
        revision = self.head.revision + 1
        edit = configurations.Edit(
            revision=revision,
            edit_id=f"{revision:032x}",
            operator="operator",
            note="a change of the lists",
            time_ms=1_700_000_000_000 + self.fleet.now_ms,
            **changes,
        )
        self.configuration = configurations.apply_edit(
            self.configuration, edit
        )
        self.head = configurations.append_edit(self.head, edit)
        self._put(configurations.HEAD_KEY, configurations.encode(self.head))
        self.version += 1
        for vm_id in list(self.watch_by_vm):
            self._answer_watch(vm_id)
        return edit

    def read(self, vm_id, call):
        """Answers a read by a VM."""
        self._count(vm_id)
        if not self.reachable(vm_id):
            outcome, value = store.StoreOutcome.UNAVAILABLE, b""
        else:
            values = self.previous if self.stale_reads else self.values
            outcome, value = store.StoreOutcome.OK, values.get(call.key, b"")
        self._count_bytes(vm_id, len(value))
        answered = store.StoreAnswered(
            call.call_id, call.key, outcome, self.version, value
        )
        self.fleet.deliver_later(STORE_DELAY_MS, vm_id, answered)

    def watch(self, vm_id, active):
        """Starts or ends the watch of a VM."""
        if active:
            self._poll(vm_id, 0)
        else:
            self.watch_by_vm.pop(vm_id, None)

    def reachable(self, vm_id):
        """Returns whether the store answers a VM."""
        return not self.down and vm_id not in self.cut_off

    def _poll(self, vm_id, after_version):
        self._count(vm_id)
        # The time only distinguishes this poll from others of the VM.
        poll = (after_version, self.fleet.now_ms)
        self.watch_by_vm[vm_id] = poll
        self._answer_watch(vm_id)
        if self.watch_by_vm.get(vm_id) == poll:
            self.fleet.call(WATCH_WAIT_MS, self._poll_again, vm_id, poll)

    def _poll_again(self, vm_id, poll):
        if self.watch_by_vm.get(vm_id) == poll:
            self._poll(vm_id, poll[0])

    def _answer_watch(self, vm_id):
        after_version, _since_ms = self.watch_by_vm[vm_id]
        if self.version <= after_version or not self.reachable(vm_id):
            return
        value = self.values[configurations.HEAD_KEY]
        self._count_bytes(vm_id, len(value))
        changed = store.KeyChanged(
            configurations.HEAD_KEY, self.version, value
        )
        self.fleet.deliver_later(STORE_DELAY_MS, vm_id, changed)
        next_poll = (self.version, self.fleet.now_ms)
        # No poll is pending until the next one.
        self.watch_by_vm[vm_id] = (math.inf, self.fleet.now_ms)
        self.fleet.call(
            WATCH_INTERVAL_MS, self._poll_if_watching, vm_id, next_poll[0]
        )

    def _poll_if_watching(self, vm_id, after_version):
        if vm_id in self.watch_by_vm:
            self._poll(vm_id, after_version)

    def _put(self, key, value):
        self.previous[key] = self.values.get(key, b"")
        self.values[key] = value

    def _count(self, vm_id):
        counts = self.fleet.counts
        counts.store_calls += 1
        second = self.fleet.now_ms // 1_000
        by_second = counts.store_calls_by_second
        by_second[second] = by_second.get(second, 0) + 1

    def _count_bytes(self, vm_id, size):
        counts = self.fleet.counts
        counts.store_bytes += size
        counts.bytes_by_vm[vm_id] = counts.bytes_by_vm.get(vm_id, 0) + size


class Fleet:
    """Replicas on many VMs, connected by a network with faults.

    Parameters
    ----------
    data_centres : int
        Number of data centres; VMs are assigned to them round robin.
    vms : int
        Number of entry VMs.
    seed : int
        Seed of the random number generators.
    loss, duplication : float
        Probability that a message is lost, or delivered twice.
    jitter_ms : int
        Maximum extra delay of a message, which reorders messages.
    """

    def __init__(
        self,
        *,
        data_centres,
        vms,
        seed=0,
        loss=0.0,
        duplication=0.0,
        jitter_ms=0,
        **replica_parameters,
    ):
        self.now_ms = 0
        self.counts = Counts()
        self.loss = loss
        self.duplication = duplication
        self.jitter_ms = jitter_ms
        self.cut_pairs = set()
        self.paused = set()
        self.dead = set()
        self.detected_dead = set()
        self.reverted = []
        self.revision_times = {}
        self._random = random.Random(seed)
        self._make_replica = functools.partial(
            configurations.ConfigurationReplica, **replica_parameters
        )
        self._heap = []
        self._sequence = itertools.count()
        self._alive = None
        self.data_centre_by_vm = {
            f"vm-{number:03d}": f"dc-{number % data_centres:02d}"
            for number in range(vms)
        }
        self.store = FakeStore(self)
        self.replica_by_vm = {}
        self._highest_by_vm = {}
        for vm_id in self.data_centre_by_vm:
            self.start(vm_id)

    def start(self, vm_id):
        """Starts a VM with an empty replica.

        A VM that already runs loses its state but keeps its id.
        """
        self.dead.discard(vm_id)
        self.detected_dead.discard(vm_id)
        self._alive = None
        self.replica_by_vm[vm_id] = self._make_replica(
            vm_id=vm_id,
            data_centre=self.data_centre_by_vm[vm_id],
            membership=FakeMembership(self, vm_id),
            random_state=random.Random(self._random.random()),
        )
        self._highest_by_vm[vm_id] = 0
        replica = self.replica_by_vm[vm_id]
        self.call(self._random.randrange(TICK_MS), self._tick, vm_id, replica)

    def kill(self, vm_id, *, detected):
        """Ends a VM; with `detected`, its death is detected at once."""
        self.dead.add(vm_id)
        self.store.watch_by_vm.pop(vm_id, None)
        if detected:
            self.detected_dead.add(vm_id)
        self._alive = None

    def mark_dead(self, vm_id):
        """Removes a VM from the membership of all VMs."""
        self.detected_dead.add(vm_id)
        self._alive = None

    def cut(self, first, second):
        """Cuts two data centres off from each other."""
        self.cut_pairs |= {(first, second), (second, first)}

    def heal(self):
        """Ends every cut."""
        self.cut_pairs.clear()
        self.store.cut_off.clear()

    def vms_of(self, data_centre):
        """Returns the ids of the VMs of a data centre."""
        return [
            vm_id
            for vm_id, name in self.data_centre_by_vm.items()
            if name == data_centre
        ]

    def presumed_alive_ids(self, vm_id):
        """Returns the sorted ids of the VMs not detected as dead.

        They are the same for each `vm_id`.
        """
        if self._alive is None:
            self._alive = tuple(
                other
                for other in sorted(self.data_centre_by_vm)
                if other not in self.detected_dead
            )
        return self._alive

    def run(self, duration_ms):
        """Advances the virtual time."""
        end_ms = self.now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _sequence, callback = heapq.heappop(self._heap)
            callback()
        self.now_ms = end_ms

    def call(self, delay_ms, callback, *arguments):
        """Schedules a callback after a delay."""
        due = functools.partial(callback, *arguments)
        entry = (self.now_ms + delay_ms, next(self._sequence), due)
        heapq.heappush(self._heap, entry)

    def deliver_later(self, delay_ms, vm_id, event):
        """Delivers an event after a delay, unless the VM restarts first."""
        replica = self.replica_by_vm[vm_id]
        self.call(delay_ms, self._deliver, vm_id, replica, event)

    def send(self, sender, recipient, message):
        """Sends a message through the network, subject to its faults."""
        self._count(sender, recipient, message)
        ends = (
            self.data_centre_by_vm[sender],
            self.data_centre_by_vm[recipient],
        )
        if ends in self.cut_pairs or recipient in self.dead:
            return
        delay_ms = (
            INTRA_CENTRE_DELAY_MS
            if ends[0] == ends[1]
            else INTER_CENTRE_DELAY_MS
        )
        copies = 1 + (self._random.random() < self.duplication)
        for _copy in range(copies):
            if self._random.random() >= self.loss:
                extra_ms = self._random.uniform(0, self.jitter_ms)
                delivered = base.PeerDelivered(sender, message)
                self.deliver_later(delay_ms + extra_ms, recipient, delivered)

    def revisions(self):
        """Returns the revision of each VM that is not dead."""
        return {
            vm_id: replica.configuration.revision
            for vm_id, replica in self.replica_by_vm.items()
            if vm_id not in self.dead
        }

    def _tick(self, vm_id, replica):
        if vm_id in self.dead or self.replica_by_vm[vm_id] is not replica:
            return
        self._deliver(vm_id, replica, base.Tick())
        self.call(TICK_MS, self._tick, vm_id, replica)

    def _deliver(self, vm_id, replica, event):
        if vm_id in self.dead or self.replica_by_vm[vm_id] is not replica:
            return
        if vm_id in self.paused:
            self.call(TICK_MS, self._deliver, vm_id, replica, event)
            return
        actions = replica.handle(event, int(self.now_ms))
        self._record_revision(vm_id, replica.configuration.revision)
        for action in actions:
            self._perform(vm_id, action)

    def _record_revision(self, vm_id, revision):
        before = self._highest_by_vm[vm_id]
        if revision < before:
            self.reverted.append((vm_id, before, revision))
        for reached in range(before + 1, revision + 1):
            times = self.revision_times.setdefault(reached, {})
            times[vm_id] = self.now_ms
        self._highest_by_vm[vm_id] = max(before, revision)

    def _perform(self, vm_id, action):
        if isinstance(action, base.SendToPeer):
            self.send(vm_id, action.recipient, action.message)
        elif isinstance(action, store.ReadKey):
            self.store.read(vm_id, action)
        elif isinstance(action, store.WatchKey):
            self.store.watch(vm_id, action.active)

    def _count(self, sender, recipient, message):
        size = message_bytes(message)
        self.counts.messages += 1
        self.counts.message_bytes += size
        by_vm = self.counts.bytes_by_vm
        for vm_id in (sender, recipient):
            by_vm[vm_id] = by_vm.get(vm_id, 0) + size


def message_bytes(message):
    """Returns the size of a message as JSON, in bytes."""
    if isinstance(message, configurations.ConfigurationDigest):
        return len(orjson.dumps(cattrs.unstructure(message)))
    return _size_by_identity(message)


_SIZES = {}


def _size_by_identity(message):
    # The same message is sent to many VMs. The cache holds a reference to
    # it, so that its id is not reused.
    if id(message) not in _SIZES:
        if len(_SIZES) > 256:
            _SIZES.clear()
        size = len(orjson.dumps(cattrs.unstructure(message)))
        _SIZES[id(message)] = (message, size)
    return _SIZES[id(message)][1]
