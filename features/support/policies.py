"""Random events for the policies, with a reference state to compare."""

import random

from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import quarantine
from samphiregate.core import queueing
from samphiregate.core import sizing

TEAMS = ("ash", "birch", "cedar")
CLASSES = tuple(model.WorkClass)
WORKER_COUNT = 24
CAPACITY = model.Resources(32_000, 64_000, 0)
GPU_CAPACITY = model.Resources(64_000, 128_000, 8)

POLICIES_BY_NAME = {
    **queueing.QUEUES_BY_NAME,
    **placement.PLACEMENTS_BY_NAME,
    "cheapest-victims": preemption.CheapestVictims,
    "size-learner": sizing.SizeLearner,
    "cut-back-ladder": sizing.ReclamationPolicy,
    "failure-judge": quarantine.QuarantinePolicy,
}


def make_policy(name, seed=1, **params):
    """Returns a policy of any kind by name."""
    random_state = random.Random(seed)
    return POLICIES_BY_NAME[name](random_state=random_state, **params)


def make_item(rnd, number):
    """Returns a random queued item."""
    work_class = rnd.choice(CLASSES)
    units = rnd.randint(2, 5) if work_class is model.WorkClass.GANG else 1
    return queueing.QueuedItem(
        item_id=f"item-{number}",
        team=rnd.choice(TEAMS),
        work_class=work_class,
        resources=random_need(rnd),
        units=units,
        urgent=rnd.random() < 0.1,
        enqueued_ms=number,
    )


def random_need(rnd):
    """Returns random resources of a task."""
    accelerators = rnd.choice((0, 0, 0, 1, 4))
    return model.Resources(
        rnd.randint(1, 40) * 250, rnd.randint(1, 40) * 300, accelerators
    )


def make_worker(number):
    """Returns a worker; every fourth has accelerators, four share a rack."""
    capacity = GPU_CAPACITY if number % 4 == 3 else CAPACITY
    return model.WorkerInfo(
        worker_id=f"w-{number}",
        data_centre="dc-1",
        rack=f"rack-{number // 4}",
        endpoint=f"127.0.0.1:{number}",
        capacity=capacity,
    )


class PolicyFuzzer:
    """Sends random events and questions to a policy of any kind.

    Parameters
    ----------
    policy : Policy
        The policy under test.
    seed : int
        Seed of the events, independent of the policy's own.
    """

    def __init__(self, policy, seed):
        self.policy = policy
        self.rnd = random.Random(seed)
        self.now_ms = 0
        self.number = 0
        self.queued_by_id = {}
        self.running = []
        self.room_by_worker = {}
        self.workers_by_id = {}
        self.tasks = []

    def run(self, steps):
        """Runs steps and returns the answer to one question after each."""
        answers = []
        for _step in range(steps):
            self.now_ms += self.rnd.randint(0, 200)
            self.number += 1
            for event in self.events():
                self.policy.observe(event, self.now_ms)
            answers.append(self.query())
        return answers

    def events(self):
        """Yields the events of one step, for every kind of policy."""
        yield from self.queue_events()
        yield from self.placement_events()
        yield from self.task_events()

    def queue_events(self):
        """Yields events about queued and running items."""
        rnd = self.rnd
        item = make_item(rnd, self.number)
        self.queued_by_id[item.item_id] = item
        yield queueing.ItemQueued(item)
        if rnd.random() < 0.6:
            item_id = rnd.choice(list(self.queued_by_id))
            item = self.queued_by_id.pop(item_id)
            yield queueing.ItemRemoved(item_id)
            if rnd.random() < 0.5:
                started = (item.team, item.resources, item.work_class)
                self.running.append(started)
                yield queueing.ItemStarted(*started)
        if self.running and rnd.random() < 0.3:
            position = rnd.randrange(len(self.running))
            yield queueing.ItemEnded(*self.running.pop(position))
        if rnd.random() < 0.05:
            weights = {team: rnd.choice((0, 1, 2.5)) for team in TEAMS}
            yield queueing.WeightsChanged(weights)
        if rnd.random() < 0.05:
            yield queueing.CapacityChanged(model.Resources(10**6, 10**6, 40))

    def placement_events(self):
        """Yields events about the free resources of workers."""
        rnd = self.rnd
        worker = make_worker(rnd.randrange(WORKER_COUNT))
        self.workers_by_id[worker.worker_id] = worker
        if rnd.random() < 0.1:
            self.room_by_worker.pop(worker.worker_id, None)
            yield placement.WorkerRemoved(worker.worker_id)
            return
        capacity = worker.capacity
        part = rnd.choice((0, 0.1, 0.3, 0.5, 1))
        room = model.Resources(
            int(capacity.cpu_millis * part),
            int(capacity.memory_mib * rnd.choice((part, 1))),
            rnd.randint(0, capacity.accelerators),
        )
        if part == 1:
            room = capacity
        self.room_by_worker[worker.worker_id] = room
        yield placement.WorkerRoomChanged(worker, room)
        yield placement.TaskPlaced("job-1", worker.worker_id)

    def task_events(self):
        """Yields events about running and ended tasks."""
        rnd = self.rnd
        worker_id = f"w-{rnd.randrange(WORKER_COUNT)}"
        task_id = model.TaskId(f"job-{rnd.randrange(9)}", self.number)
        self.tasks.append(task_id)
        need = random_need(rnd)
        yield preemption.TaskRunning(
            task_id=task_id,
            team=rnd.choice(TEAMS),
            worker_id=worker_id,
            resources=need,
            work_class=rnd.choice(CLASSES),
            started_ms=self.now_ms,
            checkpointable=rnd.random() < 0.5,
            urgent=rnd.random() < 0.2,
        )
        if rnd.random() < 0.5:
            position = rnd.randrange(len(self.tasks))
            yield preemption.TaskNotPreemptible(self.tasks.pop(position))
        yield quarantine.TaskStarting(worker_id, task_id.job_id)
        yield quarantine.TaskEnded(
            worker_id, task_id.job_id, rnd.random() < 0.5
        )
        used = need.scaled(rnd.choice((0.1, 1, 10)))
        work_class = rnd.choice(CLASSES)
        yield sizing.UsageObserved("ash", work_class, need, used)
        yield sizing.WorkerExcess(worker_id, random_need(rnd))

    def query(self):
        """Returns the answer to one random question."""
        return self.policy.choose(self.question(), self.now_ms)

    def question(self):
        """Returns a random question for this kind of policy."""
        rnd = self.rnd
        need = random_need(rnd)
        if hasattr(queueing, type(self.policy).__name__):
            return rnd.choice((queueing.NextItem(), queueing.ItemToShed()))
        if isinstance(self.policy, preemption.CheapestVictims):
            return preemption.SelectVictims(rnd.choice(TEAMS), need)
        if isinstance(self.policy, sizing.SizeLearner):
            work_class = rnd.choice(CLASSES)
            return sizing.ComputeBooking("ash", work_class, need)
        if isinstance(self.policy, sizing.ReclamationPolicy):
            return self._reclaim_question(need)
        if isinstance(self.policy, quarantine.QuarantinePolicy):
            worker_id = f"w-{rnd.randrange(WORKER_COUNT)}"
            return quarantine.MayUseWorker(worker_id)
        if rnd.random() < 0.3:
            return placement.PlaceGang("gang-1", need, rnd.randint(1, 30))
        work_class = rnd.choice(CLASSES)
        return placement.PlaceTask("job-1", work_class, need)

    def _reclaim_question(self, need):
        task = sizing.TaskUsage(
            task_id=model.TaskId("job-1", self.number),
            work_class=model.WorkClass.BATCH,
            booked=need,
            used=need.scaled(2),
        )
        worker_id = f"w-{self.rnd.randrange(WORKER_COUNT)}"
        return sizing.SelectReclaimAction(worker_id, need, (task,))
