"""Steps about tasks that end the processes of their endpoints."""

import functools

import behave

from features.support import cells_work
from samphiregate.core import cells
from samphiregate.core.cells import _crash_history

OPTIONS_BY_KIND = {
    "job": {},
    "gang": {"gang": True},
    "speculative job": {"speculative": True},
    "long-running job": {"long_running": True},
}
RECORDS = {
    "the build before": (
        b'{"state":"running","stages":[{"occurrence":0,"step":0,"last_run":3,'
        b'"placed":[[0,3,"e1"]]}],"address_by_id":{"e1":"a"}}'
    ),
    "this build": (
        b'{"state":"running","stages":[{"occurrence":0,"step":0,"last_run":3,'
        b'"placed":[[0,3,"e1"]],"crashes":{"0":{"run_ms":[12,11]}},'
        b'"lapsed":[[1,2,"e2"]]}],"address_by_id":{"e1":"a"},'
        b'"started_unix_ms_by_id":{"e1":5}}'
    ),
    "a build with fields not known yet": (
        b'{"state":"running","stages":[{"occurrence":0,"step":0,"last_run":3,'
        b'"placed":[[0,3,"e1"]],"crashes":{"0":{"run_ms":[12,11],"at":[4]}},'
        b'"more":1}],"address_by_id":{"e1":"a"},"colour":"red"}'
    ),
}
VERDICTS = (
    ("given up", "is_crash_loop"),
    ("strongly suspected", "is_strong_suspect"),
    ("suspected", "is_suspect"),
)
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


@behave.when(
    "the owner is without the store for {span_ms:d} ms after each crash"
)
def when_store_lost(context, span_ms):
    simulation = context.simulation

    def lose_store():
        simulation.store_up = False
        simulation.at(span_ms, lambda: setattr(simulation, "store_up", True))

    simulation.crashes.listeners.append(lose_store)


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
    cells_work.submit_stream(simulation, step, JOB_GAP_MS, span_s * 1_000)
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


@behave.when("a task's runs ended in crashes after {run_ms} ms")
def when_crashed(context, run_ms):
    context.history = _crash_history.NO_CRASHES
    if run_ms != "none":
        for one in run_ms.split(", "):
            context.history = context.history.after_crash(int(one))


@behave.when("its next run works for {worked_ms:d} ms")
def when_worked(context, worked_ms):
    context.history = context.history.after_work(worked_ms)


@behave.when("an endpoint fails by itself every {every_s:d} s")
def when_failing(context, every_s):
    context.failures_per_s = 1 / every_s


@behave.when(
    'endpoint "{endpoint_id}" drains, and its process ends {delay_ms:d} ms '
    "later"
)
def when_drained_process_ends(context, endpoint_id, delay_ms):
    simulation = context.simulation
    simulation.crashes.changes_id = True
    endpoint = simulation.endpoint_by_id[endpoint_id]
    endpoint.draining = True
    simulation.deliver(endpoint.registration)
    simulation.at(
        delay_ms, functools.partial(simulation.crashes.end_process, endpoint)
    )


@behave.then("of these, only the runs lost in the first crash were counted")
def then_counted(context):
    simulation = context.simulation
    lost = [
        line.fields
        for line in simulation.log_lines
        if line.event == "run lost"
    ]
    guilty_ids = {one.job_id for one in simulation.crashes.delay_ms_by_task}
    others = [one for one in lost if one["request"] not in guilty_ids]
    assert len(others) > simulation.crashes.lost_counts[0], others
    for one in others:
        assert len(one["crashed_after_ms"]) <= 1, one


@behave.then("the task is {verdict}")
def then_verdict(context, verdict):
    told = next(
        (
            name
            for name, method in VERDICTS
            if getattr(context.history, method)(context.failures_per_s)
        ),
        "sound",
    )
    assert told == verdict, (told, context.history)


@behave.then('no crash is counted for job "{job_id}"')
def then_no_crash(context, job_id):
    entry = context.simulation.cell.cell_state.entry_by_id[job_id]
    histories = [
        task.crash_history.run_ms
        for stage in entry.stages_by_key.values()
        for task in stage.tasks
    ]
    assert len(context.simulation.starts) > len(histories), "no run was lost"
    assert not any(histories), histories


@behave.then(
    'at most {count:d} crashes are counted for each task of job "{job_id}"'
)
def then_few_crashes(context, count, job_id):
    entry = context.simulation.cell.cell_state.entry_by_id[job_id]
    for stage in entry.stages_by_key.values():
        for task in stage.tasks:
            run_ms = task.crash_history.run_ms
            assert len(run_ms) <= count, (task.task_id, run_ms)


@behave.when('another endpoint answers the order to start job "{job_id}"')
def when_other_answers(context, job_id):
    entry = context.simulation.cell.cell_state.entry_by_id[job_id]
    (booking,) = entry.bookings()
    context.task = booking.task
    context.simulation.deliver(
        cells.StartAnswered(
            booking.task.task_id,
            booking.run,
            booking.endpoint_id,
            cells.StartOutcome.WRONG_ENDPOINT,
        )
    )


@behave.then('{count:d} crashes are counted for job "{job_id}"')
def then_crashes(context, count, job_id):
    del job_id
    run_ms = context.task.crash_history.run_ms
    assert len(run_ms) == count, run_ms


@behave.given("a stored record of {build}")
def given_record(context, build):
    context.data = RECORDS[build]


@behave.when("the record is read")
def when_read(context):
    context.record = cells.decode(context.data, cells.JobRecord)


@behave.then('its run on endpoint "{endpoint_id}" is known')
def then_run_known(context, endpoint_id):
    assert context.record.stages[0].placed == ((0, 3, endpoint_id),)


@behave.then("it names {count:d} crashes of its task")
def then_crashes_named(context, count):
    crashes = context.record.stages[0].crashes
    named = crashes.get(0, _crash_history.NO_CRASHES)
    assert len(named.run_ms) == count, named
