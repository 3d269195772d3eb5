"""Packing of a static mix against an offline bound."""

import math
import random

from samphiregate.core import model
from samphiregate.core import placement

from bench.decisions import _traces

Resources = model.Resources


class Bin:
    """Places tasks one by one and keeps the rooms.

    Parameters
    ----------
    policy : Policy
        Placement policy.
    workers : tuple of model.WorkerInfo
        All workers.
    """

    def __init__(self, policy, workers):
        self.policy = policy
        self.workers_by_id = {each.worker_id: each for each in workers}
        self.room_by_worker = {}
        self.racks = []
        for worker in workers:
            self._set_room(worker.worker_id, worker.capacity)

    def _set_room(self, worker_id, room):
        self.room_by_worker[worker_id] = room
        worker = self.workers_by_id[worker_id]
        event = placement.WorkerRoomChanged(worker, room)
        self.policy.observe(event, 0)

    def place(self, need, work_class=model.WorkClass.BATCH, job_id="job"):
        """Places a task; returns whether there was room."""
        question = placement.PlaceTask(job_id, work_class, need)
        worker_id = self.policy.choose(question, 0)
        if worker_id is None:
            return False
        room = self.room_by_worker[worker_id] - need
        self._set_room(worker_id, room)
        self.policy.observe(placement.TaskPlaced(job_id, worker_id), 0)
        self.racks.append(self.workers_by_id[worker_id].rack)
        return True

    def used(self):
        """Returns how many workers have a task."""
        return sum(
            1
            for worker_id, room in self.room_by_worker.items()
            if room != self.workers_by_id[worker_id].capacity
        )


def make_mix(rnd, workers):
    """Returns tasks that fill two thirds of the site."""
    left = _traces.cores_of(workers) * _traces.CORE * 2 / 3
    tasks = []
    while left > 0:
        cores = rnd.choice((1, 2, 4, 8, 16))
        memory = cores * rnd.choice((1, 2, 3)) * _traces.GIB
        need = Resources(cores * _traces.CORE, memory)
        tasks.append(need)
        left -= need.cpu_millis
    return tasks


def bound(tasks, capacity):
    """Returns a lower bound of the workers that any packing needs."""
    return max(
        math.ceil(
            sum(each.cpu_millis for each in tasks) / capacity.cpu_millis
        ),
        math.ceil(
            sum(each.memory_mib for each in tasks) / capacity.memory_mib
        ),
    )


def workers_over_bound(name, seed):
    """Returns used workers over the offline bound for a static mix."""
    rnd = random.Random(seed)
    workers = _traces.make_site(plain=300, gpu=0)
    tasks = make_mix(rnd, workers)
    policy = placement.make_placement(name, random_state=rnd)
    site = Bin(policy, workers)
    for need in tasks:
        site.place(need)
    return site.used() / bound(tasks, _traces.PLAIN_CAPACITY)


def accelerators_left(name, seed):
    """Returns how many of 64 accelerators find work after CPU work came."""
    rnd = random.Random(seed)
    workers = _traces.make_site()
    workers = tuple(rnd.sample(workers, len(workers)))
    policy = placement.make_placement(name, random_state=rnd)
    site = Bin(policy, workers)
    left = _traces.cores_of(workers) * 0.5
    while left > 0:
        cores = rnd.choice((1, 2, 4, 8))
        site.place(Resources(cores * _traces.CORE, cores * _traces.GIB))
        left -= cores
    need = Resources(8 * _traces.CORE, 16 * _traces.GIB, 1)
    placed = 0
    while site.place(need):
        placed += 1
    return placed


def racks_of_service(name, seed, replicas=8):
    """Returns on how many racks the replicas of a service are."""
    rnd = random.Random(seed)
    workers = _traces.make_site()
    policy = placement.make_placement(name, random_state=rnd)
    site = Bin(policy, workers)
    for _number in range(150):
        cores = rnd.choice((1, 2, 4))
        site.place(Resources(cores * _traces.CORE, cores * _traces.GIB))
    site.racks.clear()
    need = Resources(2 * _traces.CORE, 4 * _traces.GIB)
    for _replica in range(replicas):
        site.place(need, model.WorkClass.SERVICE, "service")
    return len(set(site.racks))
