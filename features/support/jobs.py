"""A site in virtual time: entry VMs, workers, a network and an oracle."""

import collections
import hashlib
import heapq
import itertools
import random

import attrs

from samphiregate.adapters import workers as worker_adapter
from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import jobs
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import quarantine
from samphiregate.core import queueing
from samphiregate.core import sizing
from samphiregate.core import vm
from samphiregate.core import workers
from standins import worker as worker_standin

DATA_CENTRE = "dc1"
SHARD_COUNT = 8
TICK_MS = 100
PEER_DELAY_MS = 1
WORKER_DELAY_MS = 2
EXCHANGE_TIMEOUT_MS = 2_000
FAILURE_DETECTION_MS = 3_000
LEASE_MS = 15_000
ALL_CLASSES = ("batch", "service", "gang")
CLASSES_BY_TEAM = {"slow": ("batch",)}


class FakeTokens:
    """The tokens of one entry VM: a fixed share of each team's limit."""

    def __init__(self, share_by_team):
        self.share_by_team = share_by_team
        self.used_by_team = collections.Counter()

    def acquire(self, team, now_ms, units=1):
        if self.used_by_team[team] + units > self.share_by_team.get(team, 0):
            return False
        self.used_by_team[team] += units
        return True

    def release(self, team, now_ms, units=1):
        self.used_by_team[team] -= units
        assert self.used_by_team[team] >= 0, "a token was released twice"

    def restore(self, team, units):
        self.used_by_team[team] += units
        share = self.share_by_team.get(team, 0)
        self.share_by_team[team] = share + units

    def hand_over(self, team, now_ms, units=1):
        self.release(team, now_ms, units)
        self.share_by_team[team] -= units

    def excess(self, team):
        share = self.share_by_team.get(team, 0)
        return max(0, self.used_by_team[team] - share)


class FakeOwnership:
    """One VM's view of the shard table: the shared one or a stale copy."""

    def __init__(self, site):
        self._site = site
        self.stale_table = None

    def entry_of(self, shard):
        table = self.stale_table
        if table is None:
            table = self._site.table
        return table.get(shard)

    def candidates(self, shard):
        return rendezvous(shard, self._site.alive)


class FakeMembership:
    """The entry VMs that are believed alive."""

    def __init__(self, site):
        self._site = site

    def alive_ids(self, data_centre=None):
        if data_centre not in (None, DATA_CENTRE):
            return ()
        return tuple(sorted(self._site.alive))


def rendezvous(shard, vm_ids):
    """Returns entry VMs in the order of their preference for a shard."""

    def weight(vm_id):
        text = f"{shard.number}/{vm_id}".encode()
        return hashlib.sha256(text).digest()

    return tuple(sorted(vm_ids, key=weight))


@attrs.define
class SiteVm:
    """One entry VM of the site.

    Parameters
    ----------
    paused : bool
        Whether it handles no events.
    queued_events : list of base.Event
        Events that arrived while it was paused.
    """

    vm_id: str
    machine: vm.EntryVm
    job_owner: jobs.JobOwner
    worker_owner: workers.WorkerOwner
    tokens: FakeTokens
    ownership: FakeOwnership
    paused: bool = False
    queued_events: list = attrs.field(factory=list)


class Site:
    """Runs entry VMs and workers step by step.

    Parameters
    ----------
    vm_count, worker_count : int
        Number of entry VMs and workers.
    capacity : model.Resources
        Capacity of each worker.
    limit_by_team : dict of str to int
        Upper limits; each VM holds an equal share, rounded down.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    peer_filter : callable
        Returns the delays in ms, one for each delivery of a message to an
        entry VM; none if it is lost.
    lost_successes : set of tuple
        Tasks that succeeded, but started again because the result was lost.
    exchange_filter : callable
        Decides what happens to an exchange with a worker: "deliver",
        "never-send", "lose", "lose-answer", or the delay in ms of one whose
        answer is lost.
    """

    def __init__(
        self, *, vm_count, worker_count, capacity, limit_by_team, seed=1
    ):
        self.now_ms = 0
        self.random = random.Random(seed)
        self.capacity = capacity
        self.limit_by_team = dict(limit_by_team)
        self.alive = set()
        self.vms_by_id = {}
        self.table = {}
        self.answers_by_call = {}
        self.recorded_actions = []
        self.max_running_by_team = collections.Counter()
        self.successes_by_task = collections.Counter()
        self.starts_by_task = collections.Counter()
        self.worker_by_succeeded_task = {}
        self.lost_successes = set()
        self.peer_filter = lambda sender, recipient, message: (0,)
        self.exchange_filter = lambda vm_id, exchange: "deliver"
        self.down_workers = set()
        self.paused_until_by_worker = {}
        self.clock_rate_by_worker = {}
        self._heap = []
        self._order = itertools.count()
        self._silenced_senders = set()
        self._history_read = collections.Counter()
        self._vm_count = vm_count
        self.workers_by_id = {}
        for index in range(worker_count):
            worker_id = f"w{index}"
            self.workers_by_id[worker_id] = worker_standin.Worker(
                worker_id,
                attrs.astuple(capacity),
                incarnation=f"{worker_id}.1",
            )
        for index in range(vm_count):
            self.add_vm(f"vm{index}")
        self._assign(self.alive)
        self._announce_fleet()

    def add_vm(self, vm_id):
        """Adds an entry VM without shards."""
        self.alive.add(vm_id)
        ownership = FakeOwnership(self)
        membership = FakeMembership(self)
        shares = {
            team: limit // self._vm_count
            for team, limit in self.limit_by_team.items()
        }
        tokens = FakeTokens(dict(shares))
        common = {
            "vm_id": vm_id,
            "data_centre": DATA_CENTRE,
            "ownership": ownership,
            "membership": membership,
            "shard_count": SHARD_COUNT,
        }

        def seeded():
            return random.Random(self.random.random())

        job_owner = jobs.JobOwner(
            queue=queueing.make_queue("fair-share"),
            quarantine_policy=quarantine.QuarantinePolicy(
                random_state=seeded()
            ),
            random_state=seeded(),
            **common,
        )
        worker_owner = workers.WorkerOwner(
            tokens=tokens,
            placement_policy=placement.make_placement(
                "indexed-best-fit", random_state=seeded()
            ),
            sizing_policy=sizing.SizeLearner(random_state=seeded()),
            quarantine_policy=quarantine.QuarantinePolicy(
                random_state=seeded()
            ),
            preemption_policy=preemption.CheapestVictims(),
            overuse_policy=sizing.ReclamationPolicy(),
            random_state=seeded(),
            lease_ms=LEASE_MS,
            **common,
        )
        machine = vm.EntryVm(vm_id=vm_id, machines=(job_owner, worker_owner))
        self.vms_by_id[vm_id] = SiteVm(
            vm_id, machine, job_owner, worker_owner, tokens, ownership
        )
        self._schedule(TICK_MS, lambda: self._tick(vm_id))

    def crash(self, vm_id, *, lose_sent=False):
        """Ends a VM at once; the others take over once they detect it.

        With `lose_sent`, its messages in flight are lost, except answers to
        callers.
        """
        self.vms_by_id.pop(vm_id)
        if lose_sent:
            self._silenced_senders.add(vm_id)
        self._schedule(FAILURE_DETECTION_MS, lambda: self.declare_dead(vm_id))

    def declare_dead(self, vm_id):
        """Makes the other VMs believe a VM dead and take over its shards."""
        self.alive.discard(vm_id)
        death = fleet.PeerStateChanged(
            vm_id, DATA_CENTRE, fleet.PeerState.DEAD
        )
        self._to_all(death)
        self._assign({vm_id})
        self._announce_fleet()

    def stop(self, vm_id):
        """Stops a VM gracefully; its shards are handed over first."""
        self.deliver(vm_id, base.StopRequested())
        self.alive.discard(vm_id)
        self._assign({vm_id})
        self._schedule(1_000, lambda: self.vms_by_id.pop(vm_id))
        self._schedule(1_100, self._announce_fleet)

    def pause(self, vm_id):
        """Pauses a VM; its shard table does not change any more."""
        paused = self.vms_by_id[vm_id]
        paused.paused = True
        paused.ownership.stale_table = dict(self.table)

    def resume(self, vm_id):
        """Resumes a paused VM; it first handles the queued events."""
        paused = self.vms_by_id[vm_id]
        paused.paused = False
        queued_events, paused.queued_events = paused.queued_events, []
        for event in queued_events:
            self.deliver(vm_id, event)

    def update_table(self, vm_id):
        """Notifies a VM with a stale table of the shards that it lost."""
        stale_vm = self.vms_by_id[vm_id]
        stale, stale_vm.ownership.stale_table = (
            stale_vm.ownership.stale_table,
            None,
        )
        for shard, entry in stale.items():
            if entry.owner == vm_id and self.table[shard].owner != vm_id:
                self.deliver(vm_id, fleet.ShardLost(shard))

    def configure(self):
        """Sends the operators' lists to every VM."""
        teams, plans = {}, {}
        for team, limit in self.limit_by_team.items():
            teams[team] = model.Team(team, team)
            plans[team] = model.Plan(
                team,
                1.0,
                limit,
                work_classes=CLASSES_BY_TEAM.get(team, ALL_CLASSES),
                urgent=team not in CLASSES_BY_TEAM,
            )
        configuration = model.Configuration(
            1, teams_by_name=teams, plans_by_name=plans
        )
        self._to_all(fleet.ConfigurationChanged(configuration))

    def run_for(self, duration_ms):
        """Runs the site for a duration; checks it after each step."""
        end_ms = self.now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            at_ms, _order, step = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, at_ms)
            step()
            self.check()
        self.now_ms = end_ms

    def run_until(self, condition, limit_ms):
        """Runs until `condition()` is true; returns whether it became so."""
        end_ms = self.now_ms + limit_ms
        while not condition() and self.now_ms < end_ms:
            self.run_for(TICK_MS)
        return condition()

    def call(self, vm_id, event):
        """Delivers a caller's call; `answers_by_call` gets its answer."""
        self.deliver(vm_id, event)

    def deliver(self, vm_id, event):
        """Delivers an event now, or once the VM is no longer paused."""
        receiver = self.vms_by_id.get(vm_id)
        if receiver is None:
            return
        if receiver.paused:
            receiver.queued_events.append(event)
            return
        for action in receiver.machine.handle(event, self.now_ms):
            self._perform(receiver, action)

    def submit(self, vm_id, call_id, work_class, count, **fields):
        """Submits a job, by default of tasks of 1 core."""
        key = fields.pop("key", "")
        values = {
            "job_id": "",
            "team": "a",
            "work_class": model.WorkClass(work_class),
            "task_count": count,
            "resources": model.Resources(1_000, 1_000, 0),
            "run_time_ms": 0 if work_class == "service" else 6_000,
            **fields,
        }
        spec = model.JobSpec(**values)
        self.deliver(vm_id, jobs.SubmitJob(call_id, spec, key))

    def job_of(self, call_id):
        """Returns the id of the job that a submission created."""
        return self.answers_by_call[call_id].jobs[0].job_id

    def record_of(self, job_id):
        """Returns the record of a job from its owner, or None."""
        for one in self.vms_by_id.values():
            record = one.job_owner._find_job(job_id)
            if record is not None and not one.paused:
                return record
        return None

    def has_ended(self, job_id):
        """Returns whether a job has ended according to its owner."""
        record = self.record_of(job_id)
        return record is not None and record.ended_ms is not None

    def held_tokens(self):
        """Returns how many tokens are held on VMs that are believed alive."""
        return sum(
            sum(one.tokens.used_by_team.values())
            for one in self.vms_by_id.values()
            if one.vm_id in self.alive
        )

    def check(self):
        """Checks the invariants on the workers themselves.

        No worker runs more than its capacity, no task runs twice at a time,
        and no team runs more than its limit.
        """
        running_by_task = collections.Counter()
        running_by_team = collections.Counter()
        for worker in self.workers_by_id.values():
            if worker.worker_id in self.down_workers:
                continue
            worker.advance(self.clock_of(worker.worker_id))
            assert min(worker.room()) >= 0, f"{worker.worker_id} overbooked"
            for attempt in worker.attempts_by_key.values():
                if attempt.state == "running":
                    running_by_task[attempt.key[:2]] += 1
                    running_by_team[attempt.document["team"]] += 1
            self._count_history(worker)
        for task, count in running_by_task.items():
            assert count == 1, f"{task} runs {count} times"
        for team, count in running_by_team.items():
            limit = self.limit_by_team[team]
            assert count <= limit, f"{team} runs {count} of {limit}"
            maximum = max(self.max_running_by_team[team], count)
            self.max_running_by_team[team] = maximum

    def running(self, job_id=None):
        """Returns the (job id, index) of the tasks that run on the workers."""
        return sorted(
            attempt.key[:2]
            for worker_id, worker in self.workers_by_id.items()
            if worker_id not in self.down_workers
            for attempt in worker.attempts_by_key.values()
            if attempt.state == "running" and job_id in (None, attempt.key[0])
        )

    def workers_of(self, job_id):
        """Returns the ids of the workers that run tasks of a job."""
        return sorted(
            worker_id
            for worker_id, worker in self.workers_by_id.items()
            for attempt in worker.attempts_by_key.values()
            if attempt.state == "running" and attempt.key[0] == job_id
        )

    def clock_of(self, worker_id):
        """Returns the time in ms on the worker's own clock."""
        rate = self.clock_rate_by_worker.get(worker_id, 1.0)
        return 1_000_000 + int(self.now_ms * rate)

    def _count_history(self, worker):
        key = (worker.worker_id, worker.incarnation)
        history = list(worker.history)
        for _at_ms, what, attempt in history[self._history_read[key] :]:
            task = attempt[:2]
            if what == "start":
                self.starts_by_task[task] += 1
                self._check_start(task)
            if what == "succeeded":
                self.successes_by_task[task] += 1
                self.worker_by_succeeded_task.setdefault(task, worker)
        self._history_read[key] = len(history)

    def _check_start(self, task):
        """Checks that a task which succeeded starts again with a reason.

        It may only if its worker restarted, is down, or its lease lapsed
        before the result was reported.
        """
        worker = self.worker_by_succeeded_task.get(task)
        if worker is None:
            return
        worker_id = worker.worker_id
        lost = worker_id in self.down_workers
        lost |= self.workers_by_id[worker_id] is not worker
        lost |= self.clock_of(worker_id) >= worker.lease_until_ms
        assert lost, f"{task} started again after it succeeded"
        self.lost_successes.add(task)

    def restart_worker(self, worker_id):
        """Restarts a worker; its tasks and its memory are lost."""
        old = self.workers_by_id[worker_id]
        number = int(old.incarnation.rpartition(".")[2]) + 1
        self.workers_by_id[worker_id] = worker_standin.Worker(
            worker_id, old.capacity, incarnation=f"{worker_id}.{number}"
        )
        self.down_workers.discard(worker_id)

    def _schedule(self, delay_ms, step):
        entry = (self.now_ms + delay_ms, next(self._order), step)
        heapq.heappush(self._heap, entry)

    def _tick(self, vm_id):
        if vm_id in self.vms_by_id:
            if not self.vms_by_id[vm_id].paused:
                self.deliver(vm_id, base.Tick())
            self._schedule(TICK_MS, lambda: self._tick(vm_id))

    def _to_all(self, event):
        for vm_id in tuple(self.vms_by_id):
            self.deliver(vm_id, event)

    def _assign(self, old_owners):
        gained = []
        for number in range(SHARD_COUNT):
            shard = model.ShardId(DATA_CENTRE, number)
            entry = self.table.get(shard, fleet.ShardEntry("", 0))
            if entry.owner and entry.owner not in old_owners:
                continue
            owner = rendezvous(shard, self.alive)[0]
            self.table[shard] = fleet.ShardEntry(owner, entry.epoch + 1)
            gained.append((shard, entry.owner, owner))
        changed = fleet.ShardTableChanged(DATA_CENTRE, dict(self.table))
        for shard, old_owner, _owner in gained:
            old_vm = self.vms_by_id.get(old_owner)
            if old_vm is not None and old_vm.ownership.stale_table is None:
                self.deliver(old_owner, fleet.ShardLost(shard))
        self._to_all(changed)
        for shard, _old_owner, owner in gained:
            epoch = self.table[shard].epoch
            self.deliver(owner, fleet.ShardGained(shard, epoch))

    def _announce_fleet(self):
        entry_vms = {
            vm_id: model.EntryVmInfo(vm_id, DATA_CENTRE, "")
            for vm_id in self.vms_by_id
        }
        infos = {
            worker_id: model.WorkerInfo(
                worker_id,
                DATA_CENTRE,
                f"rack{int(worker_id[1:]) // 4}",
                worker_id,
                self.capacity,
            )
            for worker_id in self.workers_by_id
        }
        self._to_all(fleet.FleetListed(entry_vms, infos, {}))

    def _perform(self, sender, action):
        if isinstance(action, base.SendToPeer):
            self._send(sender.vm_id, action)
        elif isinstance(action, workers.ExchangeWithWorker):
            self._exchange(sender.vm_id, action)
        elif isinstance(action, jobs.JobAnswer):
            assert action.call_id not in self.answers_by_call, "two answers"
            self.answers_by_call[action.call_id] = action
        else:
            self.recorded_actions.append(action)

    def _send(self, sender, action):
        event = base.PeerDelivered(sender, action.message)
        recipient = action.recipient
        delays = self.peer_filter(sender, recipient, action.message)
        for delay_ms in delays:
            self._schedule(
                PEER_DELAY_MS + delay_ms,
                lambda: self._arrive(sender, recipient, event),
            )

    def _arrive(self, sender, recipient, event):
        is_answer = hasattr(event.message, "answer")
        if is_answer or sender not in self._silenced_senders:
            self.deliver(recipient, event)

    def _exchange(self, vm_id, exchange):
        worker_id = exchange.worker_id
        delivery = self.exchange_filter(vm_id, exchange)
        if worker_id in self.down_workers or delivery == "never-send":
            self._fail(vm_id, exchange, model.AttemptOutcome.NEVER_SENT, 1)
            return
        document = worker_adapter.encode_exchange(exchange)
        if delivery == "deliver":
            self._schedule(
                WORKER_DELAY_MS,
                lambda: self._answer(vm_id, exchange, document, False),
            )
            return
        # "lose", "lose-answer" or a delay: the VM gets no answer.
        unknown = model.AttemptOutcome.UNKNOWN
        self._fail(vm_id, exchange, unknown, EXCHANGE_TIMEOUT_MS)
        if delivery == "lose-answer":
            self._schedule(
                WORKER_DELAY_MS,
                lambda: self._answer(vm_id, exchange, document, True),
            )
        elif isinstance(delivery, int):
            self._schedule(
                delivery, lambda: self._answer(vm_id, exchange, document, True)
            )

    def _answer(self, vm_id, exchange, document, lost):
        worker_id = exchange.worker_id
        if worker_id in self.down_workers:
            if not lost:
                unknown = model.AttemptOutcome.UNKNOWN
                self._fail(vm_id, exchange, unknown, EXCHANGE_TIMEOUT_MS)
            return
        worker = self.workers_by_id[worker_id]
        answer = worker.exchange(document, self.clock_of(worker_id))
        if lost:
            return
        event = workers.WorkerAnswered(
            worker_id,
            exchange.epoch,
            exchange.sequence,
            worker_adapter.decode_report(answer),
        )
        self._schedule(WORKER_DELAY_MS, lambda: self.deliver(vm_id, event))

    def _fail(self, vm_id, exchange, outcome, delay_ms):
        event = workers.WorkerUnreachable(
            exchange.worker_id, exchange.epoch, exchange.sequence, outcome
        )
        self._schedule(delay_ms, lambda: self.deliver(vm_id, event))
