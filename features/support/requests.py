"""Simulated entry VMs, runners and links, for the tests of requests."""

import collections
import heapq
import itertools
import random

import attrs

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import model
from samphiregate.core import requests
from samphiregate.core import vm
from samphiregate import errors

DATA_CENTRE = "north-1"
SHARD_COUNT = 4
SERVICE = "booking"
QUEUE = "holds"
TICK_MS = 50
LINK_LATENCY_MS = 1
DEADLINE_MS = 5_000
LATE_EXECUTION_DELAY_MS = 500


class FakeReplica:
    """Configuration and keys that a test can change.

    Each team has the key hash ``hash-<team>``.
    """

    def __init__(self, teams=("huts", "maps", "parks"), open_to_all=False):
        plan = model.Plan("standard", 1.0, 100, (QUEUE, "idle"))
        other = model.Plan("other", 1.0, 100, ())
        by_name = {team: model.Team(team, "standard") for team in teams}
        by_name["strangers"] = model.Team("strangers", "other")
        self.configuration = model.Configuration(
            revision=1,
            teams_by_name=by_name,
            plans_by_name={"standard": plan, "other": other},
            queues_by_name={
                QUEUE: model.Queue(QUEUE, SERVICE),
                "open": model.Queue("open", SERVICE, open_to_all=True),
                "idle": model.Queue("idle", "nobody"),
            },
        )
        self.withdrawn = set()
        self.settled = True

    @property
    def can_verify_keys(self):
        """Whether keys can be checked."""
        return self.settled

    def team_for_key_hash(self, key_hash):
        team = key_hash.removeprefix("hash-")
        exists = team in self.configuration.teams_by_name
        return team if exists and key_hash not in self.withdrawn else None


class FakeTokens:
    """Tokens of teams with a limit; `max_held_by_team` is the peak."""

    def __init__(self, limit=1_000):
        self.limit_by_team = collections.defaultdict(lambda: limit)
        self.held_by_team = collections.Counter()
        self.max_held_by_team = collections.Counter()

    def acquire(self, team, now_ms, units=1):
        if self.held_by_team[team] + units > self.limit_by_team[team]:
            return False
        self.held_by_team[team] += units
        self.max_held_by_team[team] = max(
            self.max_held_by_team[team], self.held_by_team[team]
        )
        return True

    def release(self, team, now_ms, units=1):
        assert self.held_by_team[team] >= units, (
            "released more tokens than held"
        )
        self.held_by_team[team] -= units


class FakeMembership:
    """The entry VMs that are alive; shared by all of them."""

    def __init__(self):
        self.data_centre_by_vm = {}

    def alive_ids(self, data_centre=None):
        return tuple(
            vm_id
            for vm_id, vm_data_centre in self.data_centre_by_vm.items()
            if data_centre in (None, vm_data_centre)
        )


class FakeRunner:
    """A runner with slots, a list of executed requests, and faults.

    Attributes
    ----------
    fault : str
        ``none``, ``hang``, ``cut``, ``refuse``, ``down``, ``error``,
        ``leaving``, ``slow``, or ``late``: the connection breaks, and the
        request is executed `LATE_EXECUTION_DELAY_MS` afterwards.
    """

    def __init__(self, info, work_ms=20):
        self.info = info
        self.work_ms = work_ms
        self.fault = "none"
        self.active = set()
        self.max_active = 0
        self.executed = []
        self.hung = set()
        self.received_count = 0

    def restart_hung(self):
        """Ends the hung requests and clears the fault."""
        self.fault = "none"
        self.active -= self.hung


class World:
    """Entry VMs with their runners, simulated in virtual time."""

    def __init__(self, vms=2, runners=2, slots=2, seed=1, **owner_params):
        self.random_state = random.Random(seed)
        self.now_ms = 0
        self.sequence = itertools.count()
        self.heap = []
        self.replica = FakeReplica()
        self.membership = FakeMembership()
        self.tokens = FakeTokens()
        self.machines_by_vm = {}
        self.vms_by_id = {}
        self.dead = set()
        self.dropped_links = set()
        self.answers_by_id = collections.defaultdict(list)
        self.answered_ms_by_id = {}
        self.arrivals_by_id = {}
        self.edge_by_id = {}
        self.repeat_messages = False
        self.runners_by_id = {}
        self.owner_params = owner_params
        self.probes = 0
        self.links_broken = 0
        self.sent_by_vm = collections.Counter()
        self.max_running_by_team = collections.Counter()
        for number in range(runners):
            self.add_runner(f"runner-{number}", slots)
        for number in range(vms):
            self.add_vm(f"vm-{number}")
        self.list_fleet()
        self.share_shards()
        self.run(TICK_MS)

    def add_runner(self, runner_id, slots):
        info = model.RunnerInfo(
            runner_id, SERVICE, DATA_CENTRE, "rack-1", runner_id, slots
        )
        self.runners_by_id[runner_id] = FakeRunner(info)

    def add_vm(self, vm_id, data_centre=DATA_CENTRE):
        self.membership.data_centre_by_vm[vm_id] = data_centre
        edge = requests.RequestEdge(
            vm_id=vm_id,
            data_centre=data_centre,
            configuration_replica=self.replica,
            membership=self.membership,
            random_state=random.Random(self.random_state.random()),
            gossip_ms=100,
        )
        owner = requests.RunnerOwner(
            vm_id=vm_id,
            data_centre=data_centre,
            tokens=self.tokens,
            random_state=random.Random(self.random_state.random()),
            shard_count=SHARD_COUNT,
            **self.owner_params,
        )
        self.machines_by_vm[vm_id] = (edge, owner)
        self.vms_by_id[vm_id] = vm.EntryVm(vm_id=vm_id, machines=(edge, owner))
        self.deliver(vm_id, fleet.ConfigurationChanged(self.configuration))
        self.schedule(TICK_MS, self.tick, vm_id)

    @property
    def configuration(self):
        return self.replica.configuration

    def edge(self, vm_id):
        return self.machines_by_vm[vm_id][0]

    def owner(self, vm_id):
        return self.machines_by_vm[vm_id][1]

    def list_fleet(self):
        listed = {
            runner_id: runner.info
            for runner_id, runner in self.runners_by_id.items()
        }
        self.deliver_to_all(fleet.FleetListed({}, {}, listed))

    def share_shards(self):
        """Assigns the shards to the live entry VMs in rotation."""
        vm_ids = sorted(set(self.machines_by_vm) - self.dead)
        for number in range(SHARD_COUNT):
            self.assign_shard(vm_ids[number % len(vm_ids)], number)

    def assign_shard(self, vm_id, number):
        shard = model.ShardId(DATA_CENTRE, number)
        self.deliver(vm_id, fleet.ShardGained(shard, 1))

    def revoke_shard(self, vm_id, number):
        shard = model.ShardId(DATA_CENTRE, number)
        self.deliver(vm_id, fleet.ShardLost(shard))

    def move_shard(self, number, vm_id):
        """Moves a shard from its current owner to an entry VM."""
        for other in self.machines_by_vm:
            if other != vm_id:
                self.revoke_shard(other, number)
        self.assign_shard(vm_id, number)

    def set_leaving(self, runner):
        """Marks a runner as leaving in the platform's list of runners."""
        runner.info = attrs.evolve(runner.info, leaving=True)
        self.list_fleet()

    def break_link(self, vm_id, other):
        """Breaks the link between two entry VMs for an instant."""
        if vm_id != other:
            self.links_broken += 1
            self.deliver(vm_id, base.PeerUnreachable(other))
            self.deliver(other, base.PeerUnreachable(vm_id))

    def tokens_held_by_dead(self):
        """Returns the number of tokens that dead entry VMs held."""
        return sum(
            len(self.owner(vm_id).running_by_key_)
            + sum(
                len(runner.unknown_by_key)
                for pool in self.owner(vm_id).pools_by_service_.values()
                for runner in pool.runners_by_id.values()
            )
            for vm_id in self.dead
        )

    def schedule(self, delay_ms, call, *args):
        entry = (self.now_ms + delay_ms, next(self.sequence), call, args)
        heapq.heappush(self.heap, entry)

    def run(self, duration_ms):
        """Runs all calls that are due in the next `duration_ms`."""
        end_ms = self.now_ms + duration_ms
        while self.heap and self.heap[0][0] <= end_ms:
            self.now_ms, _order, call, args = heapq.heappop(self.heap)
            call(*args)
        self.now_ms = end_ms

    def tick(self, vm_id):
        self.deliver(vm_id, base.Tick())
        if vm_id not in self.dead:
            self.schedule(TICK_MS, self.tick, vm_id)

    def deliver_to_all(self, event):
        for vm_id in list(self.machines_by_vm):
            self.deliver(vm_id, event)

    def deliver(self, vm_id, event):
        if vm_id in self.dead or vm_id not in self.vms_by_id:
            return
        for action in self.vms_by_id[vm_id].handle(event, self.now_ms):
            self.carry_out(vm_id, action)

    def carry_out(self, vm_id, action):
        if isinstance(action, base.SendToPeer):
            self.send(vm_id, action)
        elif isinstance(action, requests.AnswerCaller):
            self.answers_by_id[action.request_id].append(action)
            self.answered_ms_by_id[action.request_id] = self.now_ms
        elif isinstance(action, requests.SendToRunner):
            self.schedule(LINK_LATENCY_MS, self.reach_runner, vm_id, action)
        elif isinstance(action, requests.ProbeRunner):
            self.schedule(LINK_LATENCY_MS, self.probe, vm_id, action)
        else:
            raise AssertionError(f"unexpected action {action}")

    def send(self, vm_id, action):
        delivered = base.PeerDelivered(vm_id, action.message)
        if (vm_id, action.recipient) in self.dropped_links:
            return
        for _ in range(2 if self.repeat_messages else 1):
            self.schedule(
                LINK_LATENCY_MS, self.deliver, action.recipient, delivered
            )

    def kill(self, vm_id):
        """Stops an entry VM at once; the others are notified of its death."""
        self.dead.add(vm_id)
        del self.membership.data_centre_by_vm[vm_id]
        self.deliver_to_all(base.PeerUnreachable(vm_id))
        changed = fleet.PeerStateChanged(
            vm_id, DATA_CENTRE, fleet.PeerState.DEAD
        )
        self.deliver_to_all(changed)

    def probe(self, vm_id, action):
        self.probes += 1
        runner = self.runners_by_id[action.runner_id]
        used = None if runner.fault == "down" else len(runner.active)
        event = requests.RunnerProbed(
            action.runner_id, used, runner.fault == "leaving"
        )
        self.schedule(LINK_LATENCY_MS, self.deliver, vm_id, event)

    def reach_runner(self, vm_id, action):
        runner = self.runners_by_id[action.runner_id]
        runner.received_count += 1
        self.sent_by_vm[vm_id] += 1
        if runner.fault == "late":
            self.fail(vm_id, action, model.AttemptOutcome.UNKNOWN)
            # No entry VM has this id, so the answer is dropped.
            self.schedule(
                LATE_EXECUTION_DELAY_MS, self.execute, "nobody", action, runner
            )
        elif runner.fault == "down":
            self.fail(vm_id, action, model.AttemptOutcome.NEVER_SENT)
        elif runner.fault == "leaving":
            self.fail(vm_id, action, model.AttemptOutcome.REFUSED, True)
        elif runner.fault == "refuse" or (
            len(runner.active) >= runner.info.slots
        ):
            self.fail(vm_id, action, model.AttemptOutcome.REFUSED)
        else:
            self.execute(vm_id, action, runner)

    def execute(self, vm_id, action, runner):
        key = (action.request_id, action.attempt)
        runner.active.add(key)
        runner.max_active = max(runner.max_active, len(runner.active))
        runner.executed.append(action.request_id)
        self.record_running()
        if runner.fault == "hang":
            runner.hung.add(key)
            unknown = model.AttemptOutcome.UNKNOWN
            self.schedule(action.timeout_ms, self.fail, vm_id, action, unknown)
            return
        slowdown = 10 if runner.fault == "slow" else 1
        self.schedule(
            runner.work_ms * slowdown, self.end_work, vm_id, action, runner
        )

    def record_running(self):
        """Updates the peak of running requests by team.

        Counted at the runners, independently of the state machines.
        """
        running = collections.Counter(
            self.arrivals_by_id[request_id].key_hash.removeprefix("hash-")
            for runner in self.runners_by_id.values()
            for request_id, _attempt in runner.active
            if request_id in self.arrivals_by_id
        )
        self.max_running_by_team |= running

    def end_work(self, vm_id, action, runner):
        runner.active.discard((action.request_id, action.attempt))
        if runner.fault == "cut":
            self.fail(vm_id, action, model.AttemptOutcome.UNKNOWN)
            return
        event = requests.RunnerAnswered(
            request_id=action.request_id,
            attempt=action.attempt,
            runner_id=action.runner_id,
            status=500 if runner.fault == "error" else 200,
            body=b"answer to " + action.body,
            slots_used=len(runner.active),
        )
        self.schedule(LINK_LATENCY_MS, self.deliver, vm_id, event)

    def fail(self, vm_id, action, outcome, leaving=False):
        runner = self.runners_by_id[action.runner_id]
        has_report = outcome is model.AttemptOutcome.REFUSED
        event = requests.RunnerFailed(
            request_id=action.request_id,
            attempt=action.attempt,
            runner_id=action.runner_id,
            outcome=outcome,
            slots_used=len(runner.active) if has_report else None,
            leaving=leaving,
        )
        self.schedule(LINK_LATENCY_MS, self.deliver, vm_id, event)

    def arrive(self, request_id, vm_id="vm-0", team="huts", **fields):
        """Delivers a request to an edge."""
        wait_ms = fields.pop("deadline_in_ms", DEADLINE_MS)
        event = requests.RequestArrived(
            request_id=request_id,
            queue=fields.pop("queue", QUEUE),
            key_hash=f"hash-{team}" if team else "",
            deadline_ms=self.now_ms + wait_ms,
            body=request_id.encode(),
            **fields,
        )
        self.arrivals_by_id[request_id] = event
        self.edge_by_id[request_id] = vm_id
        self.deliver(vm_id, event)

    def answer(self, request_id):
        """Returns the answer to a request; there must be exactly one."""
        answers = self.answers_by_id[request_id]
        assert len(answers) == 1, answers
        return answers[0]

    def result(self, request_id):
        """Returns how a request ended, or ``pending``."""
        if not self.answers_by_id[request_id]:
            return "pending"
        answer = self.answer(request_id)
        if answer.refusal is None:
            expected = b"answer to " + request_id.encode()
            assert answer.body == expected, answer
            return f"answered {answer.status}"
        refusal = answer.refusal
        return f"{refusal.code.value} {refusal.ran.value}"

    def executions(self, request_id):
        """Returns the number of times that a request was executed."""
        return sum(
            runner.executed.count(request_id)
            for runner in self.runners_by_id.values()
        )

    def check(self):
        """Checks the invariants of every run, counted at the runners.

        No runner exceeds its slots. Only idempotent requests are executed
        more than once. Every request at a live edge has one answer, and one
        reported as not executed was executed by no runner.
        """
        for runner in self.runners_by_id.values():
            assert runner.max_active <= runner.info.slots, runner.info
        for request_id, event in self.arrivals_by_id.items():
            times = self.executions(request_id)
            assert event.idempotent or times <= 1, (request_id, times)
            if self.edge_by_id[request_id] in self.dead:
                continue
            refusal = self.answer(request_id).refusal
            if refusal and refusal.ran is errors.Ran.NO:
                assert not times, (request_id, refusal, times)
            self.result(request_id)
