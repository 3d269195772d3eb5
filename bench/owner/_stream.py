"""A stream of jobs of five queues for a cell of two services."""

import random

import attrs

from samphiregate.core import cells

PLAIN = "plain"
ACCELERATED = "accelerated"
PLAIN_SHARE = 0.72  # of the endpoints
PLAIN_SIZES = (1.0, 1.0, 0.5, 2.0)
PLAIN_CAPACITY = cells.Resources(64_000, 131_072)
ACCELERATED_CAPACITY = cells.Resources(128_000, 262_144, 8)
ENDPOINTS_PER_RACK = 20
STREAM_ENDPOINTS = 180  # for which the rates below are given


@attrs.frozen
class Kind:
    """Jobs of one queue, as means over many.

    Parameters
    ----------
    queue : Queue
    per_s : float
        Jobs a second in the full stream.
    steps, width : float
        Steps of a job, and tasks of a step.
    work_ms : float
        Run time of a task.
    cpu_millis, memory_mb, gpus : int
    allowed_share : float
        Share of the endpoints that the policy service allows.
    most_per_endpoint : int
    gang, lasts : bool
    """

    queue: cells.Queue
    per_s: float
    steps: float
    width: float
    work_ms: float
    cpu_millis: int
    memory_mb: int
    gpus: int = 0
    allowed_share: float = 0.5
    most_per_endpoint: int = 0
    gang: bool = False
    lasts: bool = False


def _queue(name, service, priority, stretch, advice):
    decide_ms, each_ms = advice
    return cells.Queue(
        name,
        service,
        priority,
        max_attempts=4,
        stretch=stretch,
        advice=cells.PolicyTimings(decide_ms, each_ms, 2_000),
    )


KINDS = (
    Kind(
        _queue("urgent", PLAIN, 0, 1.5, (17, 0.24)),
        per_s=17.5,
        steps=1.5,
        width=9.5,
        work_ms=700,
        cpu_millis=11_000,
        memory_mb=11_000,
        allowed_share=0.7,
    ),
    Kind(
        _queue("batch", PLAIN, 2, 4.0, (160, 2.3)),
        per_s=1.05,
        steps=2,
        width=28,
        work_ms=3_600,
        cpu_millis=18_000,
        memory_mb=34_000,
    ),
    Kind(
        _queue("gangs", ACCELERATED, 1, 2.2, (550, 7.9)),
        per_s=2.0,
        steps=1,
        width=5,
        work_ms=3_600,
        cpu_millis=62_000,
        memory_mb=130_000,
        gpus=4,
        gang=True,
    ),
    Kind(
        _queue("lasting", PLAIN, 1, 2.2, (560, 8.0)),
        per_s=0.6,
        steps=1,
        width=15,
        work_ms=620,
        cpu_millis=18_000,
        memory_mb=33_000,
        most_per_endpoint=2,
        lasts=True,
    ),
    Kind(
        _queue("images", ACCELERATED, 2, 4.0, (150, 2.1)),
        per_s=2.3,
        steps=1,
        width=13,
        work_ms=3_800,
        cpu_millis=11_000,
        memory_mb=16_000,
        gpus=1,
    ),
)


def endpoints(count):
    """Returns the registrations of a cell's endpoints."""
    return [_endpoint(number, count) for number in range(count)]


def _endpoint(number, count):
    service, capacity = ACCELERATED, ACCELERATED_CAPACITY
    if number < count * PLAIN_SHARE:
        size = PLAIN_SIZES[number % len(PLAIN_SIZES)]
        service = PLAIN
        capacity = cells.Resources(
            round(PLAIN_CAPACITY.cpu_millis * size),
            round(PLAIN_CAPACITY.memory_mb * size),
        )
    rack = f"r{number // ENDPOINTS_PER_RACK}"
    name = f"e{number}"
    return cells.EndpointRegistered(
        name, service, name, "north", capacity, ("a", rack)
    )


def jobs(endpoint_count, length_ms, seed):
    """Yields the arrival time, the kind and the job of each arrival."""
    rnd = random.Random(seed)
    scale = endpoint_count / STREAM_ENDPOINTS
    arrivals = []
    for kind in KINDS:
        at_ms = rnd.expovariate(kind.per_s * scale) * 1_000
        while at_ms < length_ms:
            arrivals.append((at_ms, len(arrivals), kind))
            at_ms += rnd.expovariate(kind.per_s * scale) * 1_000
    for at_ms, number, kind in sorted(arrivals):
        yield round(at_ms), kind, _job(f"j{number}", kind, rnd)


def _job(job_id, kind, rnd):
    count = 1 + (rnd.random() < kind.steps - 1)
    steps = tuple(_step(kind, number, rnd) for number in range(count))
    return cells.Job(job_id, kind.queue, "", "text", steps)


def _step(kind, number, rnd):
    demand = cells.Resources(kind.cpu_millis, kind.memory_mb, kind.gpus)
    return cells.Step(
        count=max(1, round(kind.width * rnd.uniform(0.3, 1.7))),
        demand=demand,
        estimate_ms=round(kind.work_ms * rnd.uniform(0.6, 1.4)),
        after=(number - 1,) if number else (),
        gang=kind.gang,
        most_per_endpoint=kind.most_per_endpoint,
        long_running=kind.lasts,
    )
