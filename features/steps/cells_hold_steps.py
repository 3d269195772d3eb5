"""Steps about room that is held for tasks that need much of it."""

import functools
import itertools

import behave

from features.support import cells_work

MAX_WAIT_MS = 60_000
KINDS = {
    "job": {},
    "gang": {"gang": True},
    "long-running job": {"long_running": True},
}


@behave.given("{count:d} large endpoints of {cores:d} cores")
def given_large(context, count, cores):
    if not hasattr(context, "simulation"):
        context.execute_steps(f"Given 0 endpoints of {cores} cores")
    for number in range(count):
        context.simulation.add_endpoint(f"large{number}", cpu=cores * 1_000)


@behave.given("tasks take {factor:g} times as long as estimated")
def given_factor(context, factor):
    context.simulation.underestimate_factor = factor


def _submit(context, job_id, priority, count, cores, task_ms, **fields):
    step = cells_work.make_step(
        count, cpu=cores * 1_000, estimate_ms=task_ms, **fields
    )
    job = cells_work.make_job(job_id, step, priority=priority)
    context.simulation.submit(job)


@behave.when(
    "a long-running job of {count:d} tasks of {cores:d} cores, {most:d} on an "
    "endpoint, is submitted"
)
def when_spread(context, count, cores, most):
    _submit(
        context,
        "lasting",
        1,
        count,
        cores,
        1_000,
        long_running=True,
        most_per_endpoint=most,
    )


@behave.when(
    'a {kind} "{job_id}" of {count:d} tasks of {cores:d} cores that last '
    "{task_ms:d} ms is submitted with priority {priority:d}"
)
def when_kind(context, kind, job_id, count, cores, task_ms, priority):
    _submit(context, job_id, priority, count, cores, task_ms, **KINDS[kind])


@behave.when(
    'a job "{job_id}" of {count:d} tasks of {cores:d} cores, {most:d} on an '
    "endpoint, that last {task_ms:d} ms is submitted with priority "
    "{priority:d}"
)
def when_job_spread(context, job_id, count, cores, most, task_ms, priority):
    _submit(
        context,
        job_id,
        priority,
        count,
        cores,
        task_ms,
        most_per_endpoint=most,
    )


@behave.when(
    "a task of {cores:d} cores that lasts {task_ms:d} ms is submitted every "
    "{gap_ms:d} ms for {span_s:d} s with priority {priority:d}"
)
def when_stream(context, cores, task_ms, gap_ms, span_s, priority):
    simulation = context.simulation
    numbers = itertools.count()

    def submit():
        job_id = f"stream{next(numbers)}"
        _submit(context, job_id, priority, 1, cores, task_ms)

    for number in range(span_s * 1_000 // gap_ms):
        simulation.at(number * gap_ms, functools.partial(submit))


@behave.then('job "{job_id}" has started within {span_ms:d} ms')
def then_started(context, job_id, span_ms):
    simulation = context.simulation
    submitted_ms = simulation.job_by_id[job_id].accepted_unix_ms

    def start_ms():
        return max(
            (
                at_ms
                for task_id, at_ms in simulation.start_ms_by_task.items()
                if task_id.job_id == job_id
            ),
            default=None,
        )

    simulation.run_until(lambda: start_ms() is not None, MAX_WAIT_MS)
    context.large_ms = start_ms()
    assert context.large_ms is not None, "it has not started"
    waited_ms = context.large_ms - submitted_ms
    assert waited_ms <= span_ms, waited_ms


@behave.then('job "{job_id}" waits for "{reason}"')
def then_waits_for(context, job_id, reason):
    entry = context.simulation.cell.cell_state.entry_by_id[job_id]
    (stage,) = entry.stages_by_key.values()
    assert stage.waits_for.value == reason, stage.waits_for


@behave.then("{count:d} small tasks or more have started before it")
def then_small(context, count):
    started = sum(
        task_id.job_id.startswith("stream") and at_ms < context.large_ms
        for task_id, at_ms in context.simulation.start_ms_by_task.items()
    )
    assert started >= count, started
