"""Steps about tasks that end the processes of their endpoints."""

import functools

import behave

from features.support import cells_work
from samphiregate.core import cells

OPTIONS_BY_KIND = {
    "job": {},
    "gang": {"gang": True},
    "speculative job": {"speculative": True},
    "long-running job": {"long_running": True},
}
JOB_GAP_MS = 250
OWNER_AWAY_MS = 300


@behave.given(
    "endpoints whose process ends are back after {away_ms:d} ms under {which} "
    "id"
)
def given_away(context, away_ms, which):
    crashes = context.simulation.crashes
    crashes.away_ms = away_ms
    crashes.changes_id = which == "another"


@behave.when(
    'a {kind} "{job_id}" of {count:d} tasks is submitted whose first task '
    "ends its endpoint's process after {crash_ms:d} ms"
)
def when_crashing(context, kind, job_id, count, crash_ms):
    simulation = context.simulation
    task_id = cells.TaskId(job_id, 0, 0, 0)
    simulation.crashes.delay_ms_by_task[task_id] = crash_ms
    step = cells_work.make_step(count, **OPTIONS_BY_KIND[kind])
    simulation.submit(cells_work.make_job(job_id, step))


@behave.when("the owner stays")
def when_owner_stays(_context):
    """Changes nothing."""


@behave.when("the owner is lost {delay_ms:d} ms after each crash")
def when_owner_lost(context, delay_ms):
    simulation = context.simulation

    def lose():
        simulation.kill_owner()
        simulation.at(OWNER_AWAY_MS, simulation.take_over)

    simulation.crashes.listeners.append(
        functools.partial(simulation.at, delay_ms, lose)
    )


@behave.then('job "{job_id}" is failed within {max_ms:d} ms')
def then_failed(context, job_id, max_ms):
    simulation = context.simulation
    simulation.run_until(
        lambda: simulation.cell.state_of(job_id) is cells.JobState.FAILED,
        max_ms,
    )
    state = simulation.cell.state_of(job_id)
    assert state is cells.JobState.FAILED, (
        state,
        simulation.crashes.count_by_task,
    )


@behave.then(
    "each task that ends processes was started at most {count:d} times"
)
def then_few_starts(context, count):
    simulation = context.simulation
    for task_id in simulation.crashes.delay_ms_by_task:
        starts = [row for row in simulation.starts if row[0] == task_id]
        assert len(starts) <= count, starts


@behave.then(
    "its endpoint crashed {count:d} times, and other runs were lost in the "
    "first {harmful:d} crashes only"
)
def then_harmless(context, count, harmful):
    lost_counts = context.simulation.crashes.lost_counts
    assert len(lost_counts) == count, lost_counts
    assert not any(lost_counts[harmful:]), lost_counts


@behave.when(
    "{count:d} streams of tasks of {task_ms:d} ms fill the endpoints for "
    "{span_s:d} s"
)
def when_streams(context, count, task_ms, span_s):
    """Submits the next task of each stream when the last one is done."""
    simulation = context.simulation
    step = cells_work.make_step(1, estimate_ms=task_ms)
    end_ms = simulation.now_ms + span_s * 1_000

    def submit(stream, number):
        job_id = f"stream-{stream}-{number}"
        simulation.submit(cells_work.make_job(job_id, step))
        wait(stream, number, job_id)

    def wait(stream, number, job_id):
        if simulation.now_ms >= end_ms:
            return
        if job_id in simulation.done_ms_by_job:
            submit(stream, number + 1)
        else:
            simulation.at(10, functools.partial(wait, stream, number, job_id))

    for stream in range(count):
        simulation.at(
            stream * task_ms // count, functools.partial(submit, stream, 0)
        )


@behave.when(
    "jobs of {count:d} tasks of {task_ms:d} ms come for {span_s:d} s while a "
    "process ends every {gap_ms:d} ms, with seed {seed:d}"
)
def when_endpoints_crash(context, count, task_ms, span_s, gap_ms, seed):
    simulation = context.simulation
    simulation.random.seed(seed)
    end_ms = simulation.now_ms + span_s * 1_000
    step = cells_work.make_step(count, estimate_ms=task_ms)
    for number in range(span_s * 1_000 // JOB_GAP_MS):
        job = cells_work.make_job(f"j{number}", step)
        simulation.at(
            number * JOB_GAP_MS, functools.partial(simulation.submit, job)
        )
    while simulation.now_ms < end_ms:
        reachable = [
            one for one in simulation.endpoint_by_id.values() if one.reachable
        ]
        if reachable:
            endpoint = simulation.random.choice(reachable)
            simulation.crashes.end_process(endpoint)
        simulation.run_for(gap_ms)


@behave.then(
    'the log tells that {count:d} runs of job "{job_id}" were lost after '
    '{least_ms:d} to {most_ms:d} ms of work, as "{reason}"'
)
def then_losses_told(context, count, job_id, least_ms, most_ms, reason):
    told = [
        line.fields
        for line in context.simulation.log_lines
        if line.event == "run lost" and line.fields["request"] == job_id
    ]
    assert len(told) == count, told
    for fields in told:
        assert fields["reason"] == reason, fields
        assert least_ms <= fields["survived_ms"] <= most_ms, fields
