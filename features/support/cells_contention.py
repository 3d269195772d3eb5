"""Loads on a cell with too little room, and what their callers get."""

import collections
import functools
import random
from unittest import mock

import attrs

from features.support import cells as cells_simulation
from features.support import cells_work
from samphiregate.core import cells
from samphiregate.core.cells import _order
from samphiregate.core.cells import _run_times

SETTLE_MS = 500
LATE_CREDIT = 0.2  # of the credit for a job in time


@attrs.frozen
class Stream:
    """Jobs that one account sends.

    Parameters
    ----------
    account : str
    begin_ms, end_ms, gap_ms : int
        When they are sent.
    estimate_ms : tuple of int
        Least and largest estimate of a task.
    width : tuple of int
        Least and largest number of tasks.
    step_count : int
        Number of steps, one after the other.
    demand : Resources
        Of a task.
    gang : bool
    priority, stretch, target_ms
        Of its queue.
    """

    account: str
    begin_ms: int
    end_ms: int
    gap_ms: int
    estimate_ms: tuple = (300, 1_200)
    width: tuple = (1, 8)
    step_count: int = 1
    demand: cells.Resources = cells.Resources(1_000, 1_000)
    gang: bool = False
    priority: int = 0
    stretch: float = 1.5
    target_ms: float = 250.0

    def make_job(self, job_id, rand):
        """Returns a job of random width and length."""
        estimate_ms = rand.randint(*self.estimate_ms)
        steps = [
            cells.Step(
                rand.randint(*self.width),
                self.demand,
                estimate_ms,
                after=(number - 1,) if number else (),
                gang=self.gang,
            )
            for number in range(self.step_count)
        ]
        return cells_work.make_job(
            job_id,
            *steps,
            account=self.account,
            name=f"queue-{self.priority}",
            priority=self.priority,
            stretch=self.stretch,
            target_ms=self.target_ms,
        )


@attrs.frozen
class Load:
    """A load, and the cell that it meets.

    Parameters
    ----------
    streams : tuple of Stream
    weight_by_account : dict
    endpoint_count : int
    cpu, memory_mb, gpus : int
        Of each endpoint.
    span_ms : int
    shortest, longest : float
        Run time as a multiple of the estimate.
    owner_away_ms : tuple of int or None
        From when to when there is no owner.
    """

    streams: tuple
    weight_by_account: dict
    endpoint_count: int = 8
    cpu: int = 4_000
    memory_mb: int = 1_000_000
    gpus: int = 0
    span_ms: int = 16_000
    shortest: float = 1.0
    longest: float = 1.0
    owner_away_ms: tuple | None = None

    @property
    def capacity(self):
        """Resources of all endpoints."""
        one = cells.Resources(self.cpu, self.memory_mb, self.gpus)
        return one.scaled_by(self.endpoint_count)


@attrs.define
class Outcome:
    """What callers got for the work that they sent.

    Attributes
    ----------
    credit_by_account : dict
        Work of jobs in time, and `LATE_CREDIT` of that of late ones, as a
        part of all work.
    credit : float
        The same over the accounts, by their work.
    done_share : float
        Part of the jobs that ended at all.
    bound : float
        Credit that no order of starts can exceed: the room of all endpoints
        over the work of the jobs.
    """

    credit_by_account: dict
    credit: float
    done_share: float
    bound: float


def _pair(gap_ms, **kwargs):
    """Returns streams of the accounts "a" and "b"."""
    kwargs = {"width": (1, 4), **kwargs}
    return tuple(
        Stream(account, 37 * number, 4_000, gap_ms, **kwargs)
        for number, account in enumerate("ab")
    )


AMPLE_WEIGHTS = {name: 100.0 for name in ("a", "b", "wide", "hot")}
LONG = {"priority": 2, "stretch": 4.0, "target_ms": 3_000.0}
GANGS = {
    "gang": True,
    "width": (1, 1),
    "estimate_ms": (500, 1_000),
    "priority": 1,
    "stretch": 2.2,
    "target_ms": 1_000.0,
}
BURSTING = (
    Stream("hot", 0, 1_000, 700),
    Stream("hot", 1_000, 3_500, 100),
)
_load = functools.partial(
    Load,
    weight_by_account=AMPLE_WEIGHTS,
    endpoint_count=2,
    span_ms=7_000,
)
LOADS = {
    "a wide urgent burst": _load(
        _pair(700)
        + (
            Stream("wide", 1_000, 2_000, 100, width=(3, 8)),
            Stream(
                "wide",
                0,
                4_000,
                800,
                width=(2, 4),
                estimate_ms=(1_000, 2_000),
                **LONG,
            ),
        )
    ),
    "an account at seven times its usual": _load(
        _pair(500) + BURSTING,
        weight_by_account={**AMPLE_WEIGHTS, "hot": 2.0},
    ),
    "the same within its count": _load(_pair(500) + BURSTING),
    "memory full": _load(
        _pair(250, demand=cells.Resources(200, 8_000)), memory_mb=32_000
    ),
    "accelerators of 2 to 8 among singles": _load(
        (
            Stream(
                "a",
                0,
                4_000,
                700,
                demand=cells.Resources(200, 100, 2),
                **GANGS,
            ),
            Stream(
                "b",
                50,
                4_000,
                900,
                demand=cells.Resources(200, 100, 8),
                **GANGS,
            ),
            Stream(
                "wide",
                20,
                4_000,
                150,
                demand=cells.Resources(200, 100, 1),
                estimate_ms=(500, 1_000),
                **LONG,
            ),
        ),
        gpus=8,
        span_ms=9_000,
    ),
    "runs half their estimates": _load(_pair(250), shortest=0.5, longest=0.5),
    "runs twice their estimates": _load(
        _pair(400), shortest=2.0, longest=2.0, span_ms=8_000
    ),
    "a backlog after 8 s without owner": _load(
        tuple(
            Stream(account, 37 * number, 11_000, 700, width=(1, 4))
            for number, account in enumerate("ab")
        ),
        owner_away_ms=(500, 8_500),
        span_ms=14_000,
    ),
}


def first_come(stages, now_ms, fair_shares):
    """Sorts stages by the accept of their jobs."""
    del now_ms, fair_shares
    return sorted(stages, key=lambda one: one.entry.accepted_ms)


def earlier(stages, now_ms, fair_shares):
    """Sorts stages as commit 080fa3d7 does."""
    del fair_shares

    def key(stage):
        entry = stage.entry
        lateness = (now_ms > entry.due_ms) + (now_ms > entry.useful_until_ms)
        priority = entry.job.queue.priority
        return (
            not entry.within_share,
            priority,
            lateness,
            entry.due_ms,
            stage.key,
        )

    return sorted(stages, key=key)


ORDERS = {
    "first come": first_come,
    "earlier": earlier,
    "present": _order.sort_stages,
}


@functools.cache
def play(load_name, order, seed):
    """Plays one of `LOADS` with one of `ORDERS`; returns the `Outcome`."""
    load = LOADS[load_name]
    rand = random.Random(seed)
    simulation = cells_simulation.CellSimulation(seed=seed)
    simulation.underestimate_factor = load.longest
    simulation.max_overestimate_share = 1 - load.shortest / load.longest
    for number in range(load.endpoint_count):
        simulation.add_endpoint(
            f"e{number}", load.cpu, load.gpus, load.memory_mb
        )
    simulation.accounts = tuple(
        cells.Account(name, weight)
        for name, weight in load.weight_by_account.items()
    )
    simulation.take_over()
    jobs, sent_ms_by_id = _schedule(load, simulation, rand)
    if load.owner_away_ms:
        away_ms, back_ms = load.owner_away_ms
        simulation.at(SETTLE_MS + away_ms, simulation.kill_owner)
        simulation.at(SETTLE_MS + back_ms, simulation.take_over)
    with mock.patch.object(_order, "sort_stages", ORDERS[order]):
        simulation.run_for(SETTLE_MS + load.span_ms)
    assert not simulation.violations, simulation.violations[:3]
    return _judge(load, simulation, jobs, sent_ms_by_id)


def _schedule(load, simulation, rand):
    jobs = []
    sent_ms_by_id = {}
    for number, stream in enumerate(load.streams):
        for at_ms in range(stream.begin_ms, stream.end_ms, stream.gap_ms):
            job = stream.make_job(f"j{number}-{at_ms}", rand)
            jobs.append(job)
            sent_ms_by_id[job.job_id] = SETTLE_MS + at_ms
            submit = functools.partial(simulation.submit, job)
            simulation.at(SETTLE_MS + at_ms, submit)
    return jobs, sent_ms_by_id


def _judge(load, simulation, jobs, sent_ms_by_id):
    work = collections.Counter()
    earned = collections.Counter()
    run_times = _run_times.RunTimes()
    for job in jobs:
        objective_ms = _order.objective_ms(job, run_times)
        work[job.account] += _work_of(load, job)
        done_ms = simulation.done_ms_by_job.get(job.job_id)
        if done_ms is None:
            continue
        took_ms = done_ms - sent_ms_by_id[job.job_id]
        if took_ms <= objective_ms:
            earned[job.account] += _work_of(load, job)
        elif took_ms <= objective_ms * _order.LATE_FACTOR:
            earned[job.account] += LATE_CREDIT * _work_of(load, job)
    return Outcome(
        {account: earned[account] / work[account] for account in work},
        sum(earned.values()) / sum(work.values()),
        len(simulation.done_ms_by_job) / len(jobs),
        bound=min(1.0, load.span_ms / sum(work.values())),
    )


def _work_of(load, job):
    """Returns the time for which a job would need all endpoints."""
    mean = (load.shortest + load.longest) / 2
    return sum(
        step.demand.scaled_by(step.count).dominant_share(load.capacity)
        * step.estimate_ms
        * mean
        for step in job.steps
    )
