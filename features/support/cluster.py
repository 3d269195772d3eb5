"""Cluster of entry VMs in virtual time, with workers and a platform.

A node holds state machines with a `handle(event, now_ms)` method; further
ones are added through `machine_factories`.
"""

import functools
import random

from features.support import oracle as oracle_module
from features.support import virtual_network
from features.support import virtual_store
from features.support import virtual_time
from features.support import virtual_work
from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import limits
from samphiregate.core import membership
from samphiregate.core import model
from samphiregate.core import ownership
from samphiregate.core.ownership import _table
from samphiregate.core import store
from samphiregate.core import vm

TICK_MS = 100
LIST_PERIOD_MS = 1_000
LIST_LAG_MS = 2_000
LIST_DETECTION_MS = 3_000
CHECK_PERIOD_MS = 500
DRAIN_MS = 12_000
LAPSE_MS = 8_000
ISOLATION_MS = 5_000
SETTLE_MS = 20_000
SHARD_COUNT = 8
PLAN = "plan-of-"


class _Watcher(base.StateMachine):
    """Reports the shards that a node gains to the oracle."""

    def __init__(self, node):
        self.node = node

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        if isinstance(event, fleet.ShardGained):
            oracle = self.node.cluster.oracle
            oracle.on_gained(self.node.vm_id, event.shard, event.epoch)
        return []


class Node:
    """One entry VM.

    Parameters
    ----------
    cluster : Cluster
        Cluster to which it belongs.
    vm_id : str
        Its id.
    data_centre : str
        Its data centre.
    """

    def __init__(self, *, cluster, vm_id, data_centre):
        self.cluster = cluster
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.alive = True
        self.paused = False
        self.leaving = False
        self.hidden = False
        self.paused_ms = 0
        self.rate = 1.0
        self.offset_ms = cluster.random_state.randint(0, 1_000_000)
        self._inbox = []
        self._checked_epochs = {}
        seed = cluster.random_state.randint(0, 2**31)
        own_random = random.Random(seed)
        self.membership = membership.Membership(
            vm_id=vm_id, data_centre=data_centre, random_state=own_random
        )
        self.ownership = ownership.Ownership(
            vm_id=vm_id,
            data_centre=data_centre,
            membership=self.membership,
            random_state=own_random,
            shard_count=cluster.shard_count,
        )
        self.tokens = limits.TokenHolder(
            vm_id=vm_id,
            data_centre=data_centre,
            membership=self.membership,
            ownership=self.ownership,
            random_state=own_random,
            lapse_ms=LAPSE_MS,
            isolation_ms=ISOLATION_MS,
        )
        self.load = virtual_work.LoadMachine(
            vm_id=vm_id, tokens=self.tokens, random_state=own_random
        )
        extra = [make(self) for make in cluster.machine_factories]
        self.machine = vm.EntryVm(
            vm_id=vm_id,
            machines=[
                self.membership,
                self.ownership,
                self.tokens,
                self.load,
                _Watcher(self),
                *extra,
            ],
        )

    def local_ms(self):
        """Returns the node's own monotonic time in milliseconds."""
        return self.offset_ms + int(self.cluster.loop.now_ms * self.rate)

    def deliver(self, event):
        """Delivers an event to the node, or queues it while it is paused."""
        if not self.alive:
            return
        if self.paused:
            self._inbox.append(event)
            return
        actions = self.machine.handle(event, self.local_ms())
        for action in actions:
            self.cluster.execute(self, action)

    def tick(self):
        """Sends a tick every `TICK_MS`."""
        if not self.alive:
            return
        if not self.paused:
            self.deliver(base.Tick())
        self.cluster.loop.after(TICK_MS, self.tick)

    def resume(self):
        """Ends a pause; a tick or the queued events are handled first."""
        self.paused = False
        self.cluster.oracle.on_resumed(
            self.vm_id,
            self.ownership.owned_shards,
            self.cluster.loop.now_ms - self.paused_ms,
        )
        inbox, self._inbox = self._inbox, []
        if self.cluster.random_state.random() < 0.5:
            inbox.insert(0, base.Tick())
        for event in inbox:
            self.deliver(event)

    def check_table(self, oracle):
        """Passes the epochs of all shard tables of the node to the oracle."""
        epochs = {
            (centre, number): entry.epoch
            for centre, table in self.ownership.tables_by_centre_.items()
            for number, entry in table.entry_by_number.items()
        }
        oracle.on_table(self.vm_id, epochs, self._checked_epochs)
        self._checked_epochs = epochs

    def token_count(self, team):
        """Returns the tokens that this VM holds or may grant."""
        holding = self.tokens._holdings_by_team.get(team)
        count = holding.held - holding.forfeited if holding else 0
        if self.tokens._granter is not None:
            count += max(0, self.tokens._granter.pool(team))
        return count


class Cluster:
    """Entry VMs of some data centres, with the systems around them.

    Parameters
    ----------
    seed : int
        Seed of all randomness; the same seed repeats a run exactly.
    centres : tuple of str
        Data centres.
    vms_per_centre : int
        Initial entry VMs of each data centre.
    limit_by_team : dict
        Initial limits, keyed by team.
    demand_by_team : dict
        Units that each VM demands to have running of each team.
    machine_factories : tuple of callable
        Each creates a further state machine of a node.
    """

    def __init__(
        self,
        *,
        seed,
        centres=("a", "b"),
        vms_per_centre=3,
        limit_by_team=None,
        demand_by_team=None,
        shard_count=SHARD_COUNT,
        machine_factories=(),
        fenced=True,
    ):
        self.random_state = random.Random(seed)
        self.loop = virtual_time.VirtualLoop()
        self.oracle = oracle_module.Oracle(loop=self.loop, settle_ms=SETTLE_MS)
        self.network = virtual_network.VirtualNetwork(
            loop=self.loop, random_state=self.random_state
        )
        self.store = virtual_store.VirtualStore(
            loop=self.loop,
            random_state=self.random_state,
            reaches=self.reaches_platform,
        )
        self.store.listeners.append(self._on_stored)
        self.shard_count = shard_count
        self.machine_factories = machine_factories
        self.centres = centres
        self.demand_by_team = demand_by_team or {}
        self.nodes_by_id = {}
        self.network.nodes_by_id = self.nodes_by_id
        self.cut_from_platform = set()
        self.list_lag_ms = LIST_LAG_MS
        self.work_loss = 0.0
        self.revision = 0
        self.configuration = model.Configuration()
        self._fleet_history = []
        self._workers_by_shard = {}
        self._fenced = fenced
        self._next_vm = 0
        for team, limit in (limit_by_team or {}).items():
            self.set_limit(team, limit)
        for centre in centres:
            for _ in range(vms_per_centre):
                self.start_node(centre)
        self._fleet_history[0] = (-60_000, self._fleet_now())
        self.loop.after(0, self._send_lists)
        self.loop.after(CHECK_PERIOD_MS, self._check)

    # Nodes.

    def start_node(self, centre):
        """Starts another entry VM; returns its node."""
        self._next_vm += 1
        vm_id = f"{centre}-{self._next_vm}"
        node = Node(cluster=self, vm_id=vm_id, data_centre=centre)
        self.nodes_by_id[vm_id] = node
        self.reset_demand(node)
        self.record_fleet()
        self.loop.after(self.random_state.randint(0, TICK_MS), node.tick)
        self.send_configuration(node, self.configuration)
        return node

    def reset_demand(self, node):
        """Gives a node the initial demand."""
        node.load.demand_by_team = dict(self.demand_by_team)

    def nodes(self, centre=None):
        """Returns the live nodes, of one data centre or of all."""
        return [
            node
            for node in self.nodes_by_id.values()
            if node.alive and centre in (None, node.data_centre)
        ]

    def owner(self, centre, number):
        """Returns the live owner of a shard in the store, or None."""
        key = ownership.Ownership.key_of(centre)
        entries = _table.decode(self.store.current(key)[1])
        entry = entries.get(number)
        node = self.nodes_by_id.get(entry.owner) if entry else None
        return node if node is not None and node.alive else None

    def crash(self, node):
        """Ends a node at once; the platform detects it later."""
        node.alive = False
        self.loop.after(LIST_DETECTION_MS, self.record_fleet)

    def pause(self, node, duration_ms):
        """Pauses a node; the platform's list leaves it out meanwhile."""
        node.paused = True
        node.paused_ms = self.loop.now_ms
        self.hide(node, duration_ms)
        self.loop.after(duration_ms, node.resume)

    def hide(self, node, duration_ms):
        """Leaves a live node out of the platform's list for a time."""
        self.loop.after(LIST_DETECTION_MS, self._set_hidden, node, True)
        end_ms = max(duration_ms, LIST_DETECTION_MS)
        self.loop.after(end_ms, self._set_hidden, node, False)

    def _set_hidden(self, node, hidden):
        node.hidden = hidden
        self.record_fleet()

    def drain(self, node):
        """Stops a node gracefully."""
        node.leaving = True
        self.record_fleet()
        node.deliver(base.StopRequested())
        self.loop.after(DRAIN_MS, self._end_drain, node)

    def _end_drain(self, node):
        node.alive = False
        self.record_fleet()

    # Platform.

    def reaches_platform(self, vm_id):
        """Returns whether a VM reaches the store and the list."""
        return vm_id not in self.cut_from_platform

    def _fleet_now(self):
        return {
            node.vm_id: model.EntryVmInfo(
                vm_id=node.vm_id,
                data_centre=node.data_centre,
                peer_endpoint="",
                leaving=node.leaving,
            )
            for node in self.nodes_by_id.values()
            if node.alive and not node.hidden
        }

    def record_fleet(self):
        """Records the current VMs; lists show them after a lag."""
        entry = (self.loop.now_ms, self._fleet_now())
        self._fleet_history.append(entry)

    def _send_lists(self):
        seen_ms = self.loop.now_ms - self.list_lag_ms
        listed = next(
            vms for t, vms in reversed(self._fleet_history) if t <= seen_ms
        )
        event = fleet.FleetListed(listed, {}, {})
        for node in self.nodes():
            if self.reaches_platform(node.vm_id):
                delay_ms = self.random_state.randint(0, 500)
                self.loop.after(delay_ms, node.deliver, event)
        self.loop.after(LIST_PERIOD_MS, self._send_lists)

    def set_limit(self, team, limit):
        """Accepts an edit of a team's limit; nodes receive it later."""
        self.revision += 1
        self.oracle.set_limit(team, limit)
        plan = model.Plan(name=PLAN + team, share=1.0, max_running=limit)
        old = self.configuration
        self.configuration = model.Configuration(
            revision=self.revision,
            teams_by_name={
                **old.teams_by_name,
                team: model.Team(name=team, plan=plan.name),
            },
            plans_by_name={**old.plans_by_name, plan.name: plan},
        )
        for node in self.nodes():
            delay_ms = self.random_state.randint(10, 1_500)
            self.loop.after(
                delay_ms, self.send_configuration, node, self.configuration
            )

    def send_configuration(self, node, configuration):
        """Sends a node a configuration, once it reaches the platform."""
        if not self.reaches_platform(node.vm_id):
            self.loop.after(500, self.send_configuration, node, configuration)
            return
        node.deliver(fleet.ConfigurationChanged(configuration))

    def _on_stored(self, key, value):
        if key.startswith("shards/"):
            self.oracle.on_stored(key, _table.decode(value))

    # Actions.

    def execute(self, node, action):
        """Executes an action of a node."""
        _execute(action, self, node)

    def exchange(self, node, action):
        """Delivers an exchange to a worker, and its answer to the node."""
        answer = self.worker(action.shard).exchange(action)
        self._deliver_soon(node, answer)

    def start_request(self, node, action):
        """Starts a request on a runner."""
        self.oracle.on_start(action.request_id, action.team)
        self.loop.after(action.run_ms, self._end_request, node, action)

    def _end_request(self, node, action):
        self.oracle.on_end(action.request_id, action.team)
        answer = virtual_work.RequestAnswered(action.request_id)
        self._deliver_soon(node, answer)

    def _deliver_soon(self, node, event):
        if self.random_state.random() >= self.work_loss:
            delay_ms = self.random_state.randint(1, 300)
            self.loop.after(delay_ms, node.deliver, event)

    def _check(self):
        for node in self.nodes():
            node.check_table(self.oracle)
        for team in self.configuration.teams_by_name:
            self.oracle.check_tokens(team, self.token_count(team))
        self.loop.after(CHECK_PERIOD_MS, self._check)

    def token_count(self, team):
        """Returns the tokens of the VMs that are running and listed.

        Those of a paused or isolated VM are forfeited before it acts again.
        """
        return sum(
            node.token_count(team)
            for node in self.nodes()
            if not node.paused and not node.hidden
        )

    def worker(self, shard):
        """Returns the worker of a shard."""
        worker = self._workers_by_shard.get(shard)
        if worker is None:
            worker = virtual_work.VirtualWorker(
                loop=self.loop,
                random_state=self.random_state,
                oracle=self.oracle,
                fenced=self._fenced,
            )
            self._workers_by_shard[shard] = worker
        return worker


@functools.singledispatch
def _execute(action, cluster, node):
    """Ignores actions that the virtual cluster doesn't model."""


@_execute.register
def _(action: base.SendToPeer, cluster, node):
    event = base.PeerDelivered(node.vm_id, action.message)
    cluster.network.send(node.vm_id, action.recipient, event)


@_execute.register(store.ReadKey)
@_execute.register(store.CompareAndSwap)
@_execute.register(store.WatchKey)
def _(action, cluster, node):
    cluster.store.call(node, action)


@_execute.register
def _(action: virtual_work.Exchange, cluster, node):
    cluster.oracle.on_sent(action)
    if cluster.random_state.random() >= cluster.work_loss:
        delay_ms = cluster.random_state.randint(1, 300)
        cluster.loop.after(delay_ms, cluster.exchange, node, action)


@_execute.register
def _(action: virtual_work.SendRequest, cluster, node):
    if cluster.random_state.random() >= cluster.work_loss:
        delay_ms = cluster.random_state.randint(1, 20)
        cluster.loop.after(delay_ms, cluster.start_request, node, action)
