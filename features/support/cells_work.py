"""Jobs for simulations of a cell."""

import functools

from samphiregate.core import cells

SERVICE = "svc"


def make_queue(**kwargs):
    """Returns a queue of the service that the simulated endpoints run."""
    return cells.Queue(**{"name": "queue", "service": SERVICE, **kwargs})


def make_job(job_id, *steps, account="", **queue):
    """Returns a job with the given steps."""
    return cells.Job(job_id, make_queue(**queue), account, "text", steps)


def make_step(count=1, cpu=1_000, estimate_ms=500, **kwargs):
    """Returns a step."""
    demand = cells.Resources(cpu, 1_000, kwargs.pop("gpus", 0))
    return cells.Step(count, demand, estimate_ms, **kwargs)


def submit_stream(simulation, step, gap_ms, span_ms):
    """Submits a job of one step every `gap_ms` from now on, for a time."""
    for number in range(span_ms // gap_ms):
        job = make_job(f"j{number}", step)
        simulation.at(
            number * gap_ms, functools.partial(simulation.submit, job)
        )
