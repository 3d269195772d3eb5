"""The real machines of whole entry VMs in virtual time."""

import collections
import gc
import heapq
import itertools
import time

import attrs
import cappa

from bench.capacity import _workers
from samphiregate.adapters import peers
from samphiregate.core import base
from samphiregate.core import configuration
from samphiregate.core import fleet
from samphiregate.core import jobs
from samphiregate.core import model
from samphiregate.core import store
from samphiregate.core import workers
from samphiregate import daemon
from samphiregate.daemon import _machines

TICK_MS = 100
LIST_MS = 1_000
STORE_MS = 2
WORKER_MS = 2
INSIDE_MS = 1
BETWEEN_MS = 10
RACK_SIZE = 40
OPERATOR = "operator"
CAPACITY = model.Resources(64_000, 131_072, 0)


def base_settings():
    """Returns the daemon's settings with its defaults."""
    argv = ["--data-centre", "dc-0", "--platform", "127.0.0.1:1"]
    argv += ["--secret", "a secret for the bench"]
    return cappa.parse(daemon.Settings, argv=argv)


def make_configuration(teams, *, running=1_000_000):
    """Returns a configuration with so many teams, one key each."""
    plan = model.Plan(
        "plan",
        1.0,
        running,
        queues=("queue",),
        work_classes=("batch", "gang", "service"),
        urgent=True,
    )
    names = [f"team-{number}" for number in range(teams)]
    keys = {
        f"{number:064x}": model.KeyRecord(f"{number:064x}", f"k{number}", name)
        for number, name in enumerate(names)
    }
    return model.Configuration(
        revision=1,
        teams_by_name={name: model.Team(name, "plan") for name in names},
        plans_by_name={"plan": plan},
        queues_by_name={"queue": model.Queue("queue", "service")},
        keys_by_hash=keys,
    )


class Node:
    """One entry VM: its machines, and what they cost.

    Attributes
    ----------
    handled_ns : int
        Processor time spent in the machines.
    """

    def __init__(self, settings):
        self.settings = settings
        self.machines = _machines.build(settings)
        self.alive = True
        self.handled_ns = 0
        self.events = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.answers = []

    def handle(self, event, now_ms):
        """Hands an event to the machines and returns their actions."""
        begun_ns = time.thread_time_ns()
        actions = self.machines.entry_vm.handle(event, now_ms)
        self.handled_ns += time.thread_time_ns() - begun_ns
        self.events += 1
        return actions

    def reset(self):
        """Sets all counts to 0."""
        self.handled_ns = self.events = 0
        self.bytes_sent = self.bytes_received = self.messages_sent = 0


class Fleet:
    """Entry VMs, their workers, a store and a network, in virtual time.

    Parameters
    ----------
    vms, centres, workers : int
        Entry VMs, data centres, and workers of each data centre.
    teams : int
        Teams of the configuration; 0 for no configuration.
    seed : int
        Seed of all randomness.
    count_bytes : bool
        Whether to encode each message for its size.
    """

    def __init__(
        self, *, vms=1, centres=1, workers=0, teams=1, seed=1, count_bytes=True
    ):
        self.now_ms = 0
        self.count_bytes = count_bytes
        self.store_calls = collections.Counter()
        self.store_bytes = 0
        self.bytes_by_kind = collections.Counter()
        self._values = {}
        self._heap = []
        self._order = itertools.count()
        self._watchers = collections.defaultdict(set)
        self.workers_by_id = {}
        self._infos_by_id = {}
        self.nodes_by_id = {}
        for centre in range(centres):
            self._add_workers(f"dc-{centre}", workers)
        template = base_settings()
        for number in range(vms):
            centre = f"dc-{number % centres}"
            vm_id = f"{centre}-vm-{number:03}"
            settings = attrs.evolve(
                template, vm_id=vm_id, data_centre=centre, seed=seed + number
            )
            self.nodes_by_id[vm_id] = Node(settings)
        for number, node in enumerate(self.nodes_by_id.values()):
            offset_ms = number * 37 % TICK_MS
            self.at(offset_ms, self._list, node)
            self.at(offset_ms + 1, self._tick, node)
            if teams:
                self.at(offset_ms + 2, self.configure, node, teams)

    def _add_workers(self, centre, count):
        for number in range(count):
            worker_id = f"{centre}-worker-{number:05}"
            self._infos_by_id[worker_id] = model.WorkerInfo(
                worker_id,
                centre,
                f"{centre}-rack-{number // RACK_SIZE}",
                f"127.0.0.1:1/workers/{worker_id}",
                CAPACITY,
            )
            self.workers_by_id[worker_id] = _workers.FakeWorker(worker_id)

    @property
    def first(self):
        """The first entry VM."""
        return next(iter(self.nodes_by_id.values()))

    def at(self, delay_ms, call, *arguments):
        """Calls later."""
        entry = (self.now_ms + delay_ms, next(self._order), call, arguments)
        heapq.heappush(self._heap, entry)

    def run(self, span_ms):
        """Lets virtual time pass."""
        end_ms = self.now_ms + span_ms
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _order, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
        self.now_ms = end_ms

    def settle(self, span_ms=8_000):
        """Lets time pass, then sets all counts to 0."""
        self.run(span_ms)
        self.reset()

    def reset(self):
        """Sets all counts to 0."""
        gc.collect()
        gc.freeze()
        self.store_calls.clear()
        self.bytes_by_kind.clear()
        self.store_bytes = 0
        for node in self.nodes_by_id.values():
            node.reset()

    def kill(self, vm_id):
        """Ends an entry VM without notice; the list drops it later."""
        self.nodes_by_id.pop(vm_id).alive = False

    def configure(self, node, teams):
        """Hands a configuration to one entry VM."""
        snapshot = configuration.ConfigurationSnapshot(
            make_configuration(teams)
        )
        self.deliver(node, base.PeerDelivered(OPERATOR, snapshot))

    def submit(self, node, *, tasks, team="team-0", run_time_ms=0, **fields):
        """Submits one batch job, or a service if it has no run time."""
        service = model.WorkClass.SERVICE
        spec = model.JobSpec(
            job_id="",
            team=team,
            work_class=model.WorkClass.BATCH if run_time_ms else service,
            task_count=tasks,
            resources=model.Resources(100, 64),
            run_time_ms=run_time_ms,
            **fields,
        )
        call = jobs.SubmitJob(f"call-{next(self._order)}", spec)
        self.deliver(node, call)

    def deliver(self, node, event):
        """Hands an event to a node and carries out what it asks for."""
        if not node.alive:
            return
        for action in node.handle(event, self.now_ms):
            self._perform(node, action)

    def _perform(self, node, action):
        if isinstance(action, base.SendToPeer):
            self._send(node, action)
        elif isinstance(action, workers.ExchangeWithWorker):
            self.at(WORKER_MS, self._exchange, node, action)
        elif isinstance(action, store.WatchKey):
            self._watch(node, action)
        elif isinstance(action, (store.ReadKey, store.CompareAndSwap)):
            self.at(STORE_MS, self._serve, node, action)
        elif isinstance(action, jobs.JobAnswer):
            node.answers.append(action)

    def _tick(self, node):
        if node.alive:
            self.deliver(node, base.Tick())
            self.at(TICK_MS, self._tick, node)

    def listed_for(self, node):
        """Returns the list as a node reads it."""
        infos = {
            one.settings.vm_id: model.EntryVmInfo(
                one.settings.vm_id, one.settings.data_centre, "127.0.0.1:1"
            )
            for one in self.nodes_by_id.values()
        }
        return fleet.FleetListed(
            infos,
            {
                worker_id: info
                for worker_id, info in self._infos_by_id.items()
                if info.data_centre == node.settings.data_centre
            },
            {},
        )

    def _list(self, node):
        self.deliver(node, self.listed_for(node))

    def list_again(self):
        """Hands the present list to every node."""
        for node in tuple(self.nodes_by_id.values()):
            self._list(node)

    def _exchange(self, node, action):
        worker = self.workers_by_id[action.worker_id]
        answered = worker.exchange(action, self.now_ms)
        self.at(WORKER_MS, self.deliver, node, answered)

    def _send(self, node, action):
        recipient = self.nodes_by_id.get(action.recipient)
        node.messages_sent += 1
        size = 0
        if self.count_bytes:
            size = peers.size_on_link(action.message)
            self.bytes_by_kind[type(action.message).__name__] += size
        node.bytes_sent += size
        if recipient is None:
            return
        recipient.bytes_received += size
        same = recipient.settings.data_centre == node.settings.data_centre
        event = base.PeerDelivered(node.settings.vm_id, action.message)
        delay_ms = INSIDE_MS if same else BETWEEN_MS
        self.at(delay_ms, self.deliver, recipient, event)

    def _watch(self, node, action):
        if not action.active:
            self._watchers[action.key].discard(node.settings.vm_id)
            return
        self.store_calls["watches"] += 1
        self._watchers[action.key].add(node.settings.vm_id)

    def _serve(self, node, action):
        version, value = self._values.get(action.key, (0, b""))
        outcome = store.StoreOutcome.OK
        if isinstance(action, store.ReadKey):
            self.store_calls["reads"] += 1
        elif version == action.expected_version:
            self.store_calls["writes"] += 1
            self._write(action, version + 1)
            version, value = version + 1, b""
        else:
            self.store_calls["writes"] += 1
            outcome = store.StoreOutcome.CONFLICT
        self.store_bytes += len(value)
        answered = store.StoreAnswered(
            action.call_id, action.key, outcome, version, value
        )
        self.deliver(node, answered)

    def _write(self, action, version):
        self._values[action.key] = (version, action.value)
        self.store_bytes += len(action.value)
        changed = store.KeyChanged(action.key, version, action.value)
        for vm_id in self._watchers[action.key]:
            self.store_calls["watches"] += 1
            node = self.nodes_by_id.get(vm_id)
            if node is not None:
                self.at(STORE_MS, self.deliver, node, changed)
