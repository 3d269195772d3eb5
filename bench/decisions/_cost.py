"""What one decision costs, in time, in calls and in memory."""

import gc
import random
import sys
import time
import tracemalloc

from bench.decisions import _analysis
from bench.decisions import _traces
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import queueing

Resources = model.Resources
TEAMS = 380
FULL_PART = 0.85
NEEDS = tuple(
    Resources(cores * _traces.CORE, cores * _traces.GIB * 2)
    for cores in (1, 2, 4)
)


class DecisionLoop:
    """Starts and ends tasks on a site that is nearly full.

    Parameters
    ----------
    queue, places : Policy
        Queue and placement policy.
    workers : int
        Workers of the site.
    queued : int
        Items that wait at first.
    seed : int
        Seed of sizes and teams.
    """

    def __init__(self, queue, places, workers, queued, seed):
        self.queue = queue
        self.places = places
        self.rnd = random.Random(seed)
        self.now_ms = 0
        self.started = []
        self.workers_by_id = {}
        self.room_by_worker = {}
        self._number = 0
        self._fill_site(workers)
        total = Resources(workers * 64_000, workers * 128 * _traces.GIB, 0)
        queue.observe(queueing.CapacityChanged(total), 0)
        for _item in range(queued):
            self.enqueue()

    def _fill_site(self, count):
        workers = _traces.make_site(plain=count, gpu=0)
        for number, worker in enumerate(workers):
            cores = self.rnd.randint(0, 24)
            if number < count * FULL_PART:
                cores = 0
            room = Resources(cores * _traces.CORE, 48 * _traces.GIB)
            self.workers_by_id[worker.worker_id] = worker
            self._set_room(worker.worker_id, room)

    def _set_room(self, worker_id, room):
        self.room_by_worker[worker_id] = room
        worker = self.workers_by_id[worker_id]
        event = placement.WorkerRoomChanged(worker, room)
        self.places.observe(event, self.now_ms)

    def enqueue(self):
        """Queues one more item."""
        self._number += 1
        item = queueing.QueuedItem(
            item_id=f"item-{self._number}",
            team=f"team-{self.rnd.randrange(TEAMS)}",
            work_class=model.WorkClass.BATCH,
            resources=self.rnd.choice(NEEDS),
        )
        self.queue.observe(queueing.ItemQueued(item), self.now_ms)

    def decide(self):
        """Chooses an item and a worker, and takes the start in."""
        now_ms = self.now_ms
        item = self.queue.choose(queueing.NextItem(), now_ms)
        need = item.resources
        question = placement.PlaceTask(item.item_id, item.work_class, need)
        worker_id = self.places.choose(question, now_ms)
        self.queue.observe(queueing.ItemRemoved(item.item_id), now_ms)
        if worker_id is None:
            return
        event = queueing.ItemStarted(item.team, need, item.work_class)
        self.queue.observe(event, now_ms)
        event = placement.TaskPlaced(item.item_id, worker_id)
        self.places.observe(event, now_ms)
        self._set_room(worker_id, self.room_by_worker[worker_id] - need)
        self.started.append((item, worker_id))

    def end_one(self):
        """Ends a random one of the started tasks."""
        if not self.started:
            return
        position = self.rnd.randrange(len(self.started))
        item, worker_id = self.started[position]
        self.started[position] = self.started[-1]
        self.started.pop()
        event = queueing.ItemEnded(item.team, item.resources, item.work_class)
        self.queue.observe(event, self.now_ms)
        event = placement.TaskRemoved(item.item_id, worker_id)
        self.places.observe(event, self.now_ms)
        room = self.room_by_worker[worker_id] + item.resources
        self._set_room(worker_id, room)

    def step(self, measure):
        """Decides once within `measure`, at 5,000 decisions a second."""
        if self._number % 5 == 0:
            self.now_ms += 1
        measure(self.decide)
        self.end_one()
        self.enqueue()


def make_loop(kind, workers, queued, seed):
    """Returns a loop over ours, or over first come, first fit."""
    names = {
        "ours": ("fair-share", "indexed-best-fit"),
        "sampled": ("fair-share", "sampled-best-fit"),
        "first-come": ("first-come", "first-fit"),
    }
    queue_name, placement_name = names[kind]
    queue = queueing.make_queue(queue_name)
    state = random.Random(seed)
    places = placement.make_placement(placement_name, random_state=state)
    return DecisionLoop(queue, places, workers, queued, seed)


def times(loop, decisions):
    """Returns microseconds of each decision, after some to warm up."""
    elapsed = []

    def measure(call):
        begun_ns = time.perf_counter_ns()
        call()
        elapsed.append((time.perf_counter_ns() - begun_ns) / 1_000)

    for _warm in range(decisions // 5):
        loop.step(lambda call: call())
    gc.collect()
    for _decision in range(decisions):
        loop.step(measure)
    return elapsed


def calls(loop, decisions):
    """Returns the median count of function calls in a decision."""
    counts = []

    def measure(call):
        count = 0

        def profile(_frame, event, _argument):
            nonlocal count
            if event in ("call", "c_call"):
                count += 1

        sys.setprofile(profile)
        try:
            call()
        finally:
            sys.setprofile(None)
        counts.append(count)

    for _decision in range(decisions):
        loop.step(measure)
    return _analysis.quantile(counts, 0.5)


def bytes_per_item(kind, count, seed):
    """Returns the memory of one queued item, in bytes."""
    loop = make_loop(kind, 10, 0, seed)
    gc.collect()
    tracemalloc.start()
    for _item in range(count):
        loop.enqueue()
    gc.collect()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


def bytes_per_worker(kind, count, seed):
    """Returns the memory of one worker in the placement, in bytes.

    The records of the measurement itself are counted too.
    """
    gc.collect()
    tracemalloc.start()
    loop = make_loop(kind, count, 0, seed)
    gc.collect()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(loop.workers_by_id) == count
    return size / count
