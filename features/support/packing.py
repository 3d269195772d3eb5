"""Workers to place tasks on, and events of a worker's allocation."""

import random

from samphiregate.core import model
from samphiregate.core import placement

CORE = 1_000
GIB = 1_024
RACK_SIZE = 4
CAPACITY = model.Resources(16 * CORE, 32 * GIB, 0)
GPU_CAPACITY = model.Resources(16 * CORE, 32 * GIB, 8)


def make_worker(cores):
    """Returns a plain worker with a number of cores."""
    capacity = model.Resources(cores * CORE, cores * GIB, 0)
    return _worker("w-1", "rack-1", capacity)


def _worker(worker_id, rack, capacity):
    return model.WorkerInfo(
        worker_id=worker_id,
        data_centre="dc-1",
        rack=rack,
        endpoint="127.0.0.1:1",
        capacity=capacity,
    )


def _need(cores, accelerators=0):
    return model.Resources(cores * CORE, cores * GIB, accelerators)


class WorkerPool:
    """Workers whose room is tracked by the test.

    Parameters
    ----------
    plain, gpu : int
        Number of workers of each kind, with 16 cores each, four per rack.
    policy : str
        Name of the placement policy.
    """

    def __init__(self, plain, gpu, policy):
        self.policy = placement.make_placement(
            policy, random_state=random.Random(1)
        )
        self.workers_by_id = {}
        self.room_by_worker = {}
        self.tasks = []
        self.services = []
        for kind, count, capacity in (
            ("gpu", gpu, GPU_CAPACITY),
            ("plain", plain, CAPACITY),
        ):
            for number in range(count):
                rack = f"{kind}-rack-{number // RACK_SIZE}"
                worker = _worker(f"{kind}-{number}", rack, capacity)
                self.workers_by_id[worker.worker_id] = worker
                self._set_room(worker.worker_id, capacity)

    def observe(self, event):
        """Passes an event to the policy."""
        self.policy.observe(event, 0)

    def choose_worker(
        self,
        cores,
        *,
        work_class=None,
        run_time_ms=0,
        now_ms=0,
        accelerators=0,
    ):
        """Returns the policy's worker for a task, without placing it."""
        work_class = work_class or model.WorkClass.BATCH
        question = placement.PlaceTask(
            f"job-{work_class.value}",
            work_class,
            _need(cores, accelerators),
            run_time_ms=run_time_ms,
        )
        return self.policy.choose(question, now_ms)

    def place(self, cores, *, work_class=None, end_ms=0, accelerators=0):
        """Places a task if there is room."""
        worker_id = self.choose_worker(
            cores, work_class=work_class, accelerators=accelerators
        )
        if worker_id is None:
            return
        self._set_room(
            worker_id,
            self.room_by_worker[worker_id] - _need(cores, accelerators),
        )
        work_class = work_class or model.WorkClass.BATCH
        job_id = f"job-{work_class.value}"
        self.observe(placement.TaskPlaced(job_id, worker_id, end_ms))
        task = (worker_id, cores, job_id, len(self.tasks))
        self.tasks.append(task)
        if work_class is model.WorkClass.SERVICE:
            self.services.append(task)

    def remove(self, task):
        """Ends a task."""
        worker_id, cores, job_id, _number = task
        self.tasks.remove(task)
        if task in self.services:
            self.services.remove(task)
        self.observe(placement.TaskRemoved(job_id, worker_id))
        self._set_room(
            worker_id, self.room_by_worker[worker_id] + _need(cores)
        )

    def report_starved_gang(self, gang, count, cores, now_ms=0):
        """Reports a starved gang to the policy."""
        event = placement.GangStarved(gang, _need(cores), count)
        self.policy.observe(event, now_ms)

    def choose_gang_workers(self, gang, count, cores):
        """Returns the policy's workers for a gang."""
        question = placement.PlaceGang(gang, _need(cores), count)
        return self.policy.choose(question, 0)

    def used(self):
        """Returns the ids of workers with a task."""
        return [
            worker_id
            for worker_id, room in self.room_by_worker.items()
            if room != self.workers_by_id[worker_id].capacity
        ]

    def empty(self, kind):
        """Returns the ids of workers of a kind without a task."""
        used = set(self.used())
        return [
            worker_id
            for worker_id in self.room_by_worker
            if kind in worker_id and worker_id not in used
        ]

    def _set_room(self, worker_id, room):
        self.room_by_worker[worker_id] = room
        worker = self.workers_by_id[worker_id]
        self.observe(placement.WorkerRoomChanged(worker, room))


def apply_event(allocation, event):
    """Applies one event of an examples table to a worker's allocation.

    Notes
    -----
    ``R total/ours@ms`` is a report, where ours is 0 or a task and its use,
    for example ``a10``; ``B task cores`` sets a booking, ``D task`` releases
    it, and ``X cores@ms`` is a refused start.
    """
    kind, _blank, rest = event.partition(" ")
    if kind == "R":
        _apply_report(allocation, rest)
    elif kind == "B":
        task, cores = rest.split()
        allocation.set_booking(task, _need(int(cores)))
    elif kind == "D":
        allocation.release(rest)
    elif kind == "X":
        cores, at_ms = rest.split("@")
        allocation.record_refused_start(_need(int(cores)), int(at_ms))
    else:
        raise ValueError(event)


def _apply_report(allocation, text):
    amounts, at_ms = text.split("@")
    total, ours = amounts.split("/")
    used_by_task = {}
    if ours != "0":
        used_by_task[ours[0]] = _need(int(ours[1:]))
    allocation.observe_report(
        _need(int(total)), used_by_task, int(at_ms), int(at_ms)
    )
