"""Slopes of the machines alone: exact, and without sockets."""

import functools
import gc
import statistics
import tracemalloc

import attrs
import orjson

from bench.capacity import _fleet
from bench.capacity import _slopes
from bench.decisions import _cost
from samphiregate.core import base
from samphiregate.core.jobs import _peer
from samphiregate.core import model

SETTLE_MS = 8_000
IDLE_MS = 10_000
NS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000
KIB = 1_024
WORKERS = 170
TASK_MS = 500
RUN_MS = 20_000


def slopes(settings):
    """Returns all slopes of this module."""
    makers = (
        decisions_by_workers,
        decisions_by_queued,
        idle_by_workers,
        idle_by_tasks,
        idle_by_teams,
        task_by_workers,
        memory_by_workers,
        memory_by_tasks,
        memory_by_queued,
        memory_by_teams,
        memory_by_copies,
        list_bytes,
        list_time,
    )
    return [make(settings) for make in makers]


def _sizes(settings, *, quick, full):
    return quick if settings.quick else full


def decisions_by_workers(settings):
    """Median time of one decision against the workers."""
    sizes = _sizes(settings, quick=(28, 170), full=(28, 170, 700, 2_000))
    return _slopes.fit(
        "decision, median, us",
        "workers of the VM",
        [(size, _decision_us(size, 1_000, settings)) for size in sizes],
    )


def decisions_by_queued(settings):
    """Median time of one decision against the queued tasks."""
    sizes = _sizes(settings, quick=(100, 1_000), full=(100, 10_000, 100_000))
    return _slopes.fit(
        "decision, median, us, by queue",
        "queued tasks",
        [(size, _decision_us(WORKERS, size, settings)) for size in sizes],
    )


def _decision_us(workers, queued, settings):
    count = 300 if settings.quick else 2_000
    loop = _cost.make_loop("ours", workers, queued, settings.seed)
    return statistics.median(_cost.times(loop, count))


def idle_by_workers(settings):
    """Processor time of idle machines against the owned workers."""
    sizes = _sizes(settings, quick=(0, 85, 170), full=(0, 85, 170, 340, 680))
    return _slopes.fit(
        "machines idle, ms a second",
        "owned workers",
        [(size, _idle_ms(settings, workers=size)) for size in sizes],
    )


def idle_by_tasks(settings):
    """Processor time of machines against running services' tasks."""
    sizes = _sizes(settings, quick=(0, 500), full=(0, 500, 1_000, 2_000))
    return _slopes.fit(
        "machines with services, ms a second",
        "running tasks on 170 workers",
        [
            (size, _idle_ms(settings, workers=WORKERS, tasks=size))
            for size in sizes
        ],
    )


def idle_by_teams(settings):
    """Processor time of idle machines against the teams."""
    sizes = _sizes(settings, quick=(1, 380), full=(1, 95, 190, 380))
    return _slopes.fit(
        "machines idle, ms a second, by teams",
        "teams",
        [(size, _idle_ms(settings, teams=size)) for size in sizes],
    )


def _idle_ms(settings, *, tasks=0, **sizes):
    one = _fleet.Fleet(seed=settings.seed, **{"teams": 380, **sizes})
    one.settle(SETTLE_MS)
    if tasks:
        one.submit(one.first, tasks=tasks)
        one.settle(SETTLE_MS)
    one.run(IDLE_MS)
    seconds = IDLE_MS / MS_PER_SECOND
    return one.first.handled_ns / NS_PER_MS / seconds


def task_by_workers(settings):
    """Processor time of the machines for one task, from start to end."""
    sizes = _sizes(settings, quick=(85, 170), full=(85, 170, 340, 680))
    return _slopes.fit(
        "machines, ms a task",
        "owned workers",
        [(size, _task_ms(settings, size)) for size in sizes],
    )


def _task_ms(settings, workers):
    tasks = 500 if settings.quick else 2_000
    one = _fleet.Fleet(seed=settings.seed, teams=380, workers=workers)
    one.settle(SETTLE_MS)
    one.run(RUN_MS)
    idle_ns = one.first.handled_ns
    one.reset()
    one.submit(one.first, tasks=tasks, run_time_ms=TASK_MS)
    one.run(RUN_MS)
    busy_ns = one.first.handled_ns - idle_ns
    return busy_ns / NS_PER_MS / tasks


def memory_by_workers(settings):
    """Memory of the machines against the owned workers."""
    sizes = _sizes(settings, quick=(0, 170), full=(0, 170, 340, 680))
    return _memory(
        "machines, KB, by workers",
        "owned workers",
        sizes,
        lambda size: _settled(workers=size),
    )


def memory_by_tasks(settings):
    """Memory of the machines against running tasks."""
    sizes = _sizes(settings, quick=(0, 500), full=(0, 500, 1_000, 2_000))
    return _memory(
        "machines, KB, by running tasks",
        "running tasks, job and worker's side",
        sizes,
        functools.partial(_with_tasks, workers=WORKERS),
    )


def memory_by_queued(settings):
    """Memory of the machines against queued tasks of one-task jobs."""
    sizes = _sizes(settings, quick=(0, 200), full=(0, 500, 1_000, 2_000))
    return _memory(
        "machines, KB, by queued jobs",
        "queued jobs of one task",
        sizes,
        _with_queued_jobs,
    )


def memory_by_teams(settings):
    """Memory of the machines against teams, one key each."""
    sizes = _sizes(settings, quick=(1, 380), full=(1, 190, 380, 760))
    return _memory(
        "machines, KB, by teams",
        "teams with one key each",
        sizes,
        lambda size: _settled(teams=size),
    )


def memory_by_copies(settings):
    """Memory of the machines against jobs kept for peers."""
    sizes = _sizes(settings, quick=(0, 500), full=(0, 500, 1_000, 2_000))
    return _memory(
        "machines, KB, by copies", "copies of jobs", sizes, _with_copies
    )


def _memory(name, size_name, sizes, make):
    pairs = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = make(size)
        gc.collect()
        now_bytes, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        pairs.append((size, now_bytes / KIB))
        del kept
    return _slopes.fit(name, size_name, pairs)


def _settled(**sizes):
    one = _fleet.Fleet(**{"teams": 1, **sizes})
    one.run(SETTLE_MS)
    return _only_machines(one)


def _with_tasks(tasks, workers):
    one = _fleet.Fleet(teams=1, workers=workers)
    one.run(SETTLE_MS)
    if tasks:
        one.submit(one.first, tasks=tasks)
        one.run(SETTLE_MS)
    return _only_machines(one)


def _with_queued_jobs(count):
    one = _fleet.Fleet(teams=1)
    one.run(SETTLE_MS)
    for _job in range(count):
        one.submit(one.first, tasks=1, run_time_ms=TASK_MS)
    one.run(MS_PER_SECOND)
    return _only_machines(one)


def _only_machines(one):
    machines = one.first.machines
    del one
    return machines


def _with_copies(count):
    one = _fleet.Fleet(teams=1)
    one.run(SETTLE_MS)
    shard_count = one.first.settings.shard_count
    for number in range(count):
        job_id = f"dc-0-{number:020x}"
        shard = model.shard_of(job_id, "dc-0", shard_count)
        spec = model.JobSpec(
            job_id,
            "team-0",
            model.WorkClass.BATCH,
            1,
            model.Resources(100, 64),
            TASK_MS,
        )
        message = _peer.KeepJobs(
            shard.number, 1_000, number + 1, (_peer.JobCopy(spec, 1),)
        )
        one.deliver(one.first, base.PeerDelivered("peer", message))
    return _only_machines(one)


def list_bytes(settings):
    """Size of the platform's list as one data centre reads it."""
    sizes = (0, 2_000) if settings.quick else (0, 500, 1_000, 2_000)
    return _slopes.fit(
        "the list of machines, bytes",
        "workers of the data centre",
        [(size, len(_list_document(size))) for size in sizes],
    )


def _list_document(workers):
    one = _fleet.Fleet(vms=11, centres=11, workers=workers, teams=0)
    listed = one.listed_for(one.first)
    document = [
        [attrs.asdict(info) for info in infos.values()]
        for infos in (listed.entry_vms_by_id, listed.workers_by_id)
    ]
    return orjson.dumps(document)


def list_time(settings):
    """Processor time of the machines to take in a list without changes."""
    sizes = (0, 2_000) if settings.quick else (0, 500, 1_000, 2_000)
    return _slopes.fit(
        "machines, ms to take in the list",
        "workers of the data centre, all owned",
        [(size, _list_ms(settings, size)) for size in sizes],
    )


def _list_ms(settings, workers):
    one = _fleet.Fleet(seed=settings.seed, teams=1, workers=workers)
    one.settle(SETTLE_MS)
    one.list_again()
    return one.first.handled_ns / NS_PER_MS
