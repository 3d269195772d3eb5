"""Steps about the drain of data centres in a simulated cell."""

import behave

from features.support import cells as cells_support
from features.support import cells_drains
from features.support import cells_restart
from features.support import cells_work
from samphiregate.core import cells
from samphiregate import logs


def _names(text):
    return text.split(", ")


def _add_endpoints(context, count, cores, name):
    simulation = context.simulation
    first = sum(
        one.data_centre == name for one in simulation.endpoint_by_id.values()
    )
    for number in range(first, first + count):
        simulation.add_endpoint(
            f"{name}{number}", cpu=cores * 1_000, data_centre=name
        )


def _endpoints_in(context, name):
    return [
        one
        for one in context.simulation.endpoint_by_id.values()
        if one.data_centre == name
    ]


@behave.given('{count:d} endpoints of {cores:d} cores in data centre "{name}"')
def given_endpoints(context, count, cores, name):
    if getattr(context, "simulation", None) is None:
        context.simulation = cells_support.CellSimulation()
    _add_endpoints(context, count, cores, name)


@behave.when(
    '{count:d} endpoints of {cores:d} cores are added in data centre "{name}"'
)
def when_endpoints_added(context, count, cores, name):
    _add_endpoints(context, count, cores, name)


@behave.given("the store takes {span_ms:d} ms for a write")
def given_slow_store(context, span_ms):
    context.simulation.store_write_ms = span_ms


@behave.given(
    'endpoint "{endpoint_id}" executes starts {late_ms:d} ms late, without '
    "answering"
)
def given_late(context, endpoint_id, late_ms):
    endpoint = context.simulation.endpoint_by_id[endpoint_id]
    endpoint.start_delay_ms = late_ms


@behave.given('endpoint "{endpoint_id}" is {factor:d} times slower')
def given_slow(context, endpoint_id, factor):
    context.simulation.endpoint_by_id[endpoint_id].slowness = factor


@behave.when(
    "jobs of {tasks:d} {kind} tasks are submitted every {gap_ms:d} ms for "
    "{span_ms:d} ms"
)
def when_stream(context, tasks, kind, gap_ms, span_ms):
    simulation = context.simulation
    advice = None
    if kind == "ticketed":
        advice = cells.PolicyTimings(simulation.policy_query_ms, 0.1, 2_000)
    step = cells_work.make_step(tasks, speculative=kind == "speculative")
    for number in range(span_ms // gap_ms):
        job = cells_work.make_job(f"s{number}", step, advice=advice)
        simulation.at(number * gap_ms, lambda job=job: simulation.submit(job))


@behave.when(
    'a gang "{job_id}" of {count:d} tasks of {task_ms:d} ms is submitted'
)
def when_gang_of_length(context, job_id, count, task_ms):
    step = cells_work.make_step(count, estimate_ms=task_ms, gang=True)
    context.simulation.submit(cells_work.make_job(job_id, step))


@behave.when(
    'data centre "{name}" is drained, of which the owner learns after '
    "{notice_ms:d} ms"
)
def when_drained_later(context, name, notice_ms):
    context.simulation.drains.drain([name], notice_ms)


@behave.when('data centre "{name}" is drained')
def when_drained(context, name):
    context.simulation.drains.drain([name])


@behave.when("data centres {names} are drained")
def when_all_drained(context, names):
    context.simulation.drains.drain(_names(names))


@behave.when('data centre "{name}" is taken back')
def when_taken_back(context, name):
    context.simulation.drains.take_back([name])


@behave.when("data centres {names} are taken back")
def when_all_taken_back(context, names):
    context.simulation.drains.take_back(_names(names))


@behave.when("the store is away for {span_ms:d} ms")
def when_store_away(context, span_ms):
    """An owner starts nothing meanwhile, as its lease is not renewed."""
    simulation = context.simulation
    simulation.store_up = False
    simulation.owner_may_start = False

    def restore():
        simulation.store_up = True
        simulation.owner_may_start = True

    simulation.at(span_ms, restore)


@behave.when('data centre "{name}" is cut off for {span_ms:d} ms')
def when_cut_off(context, name, span_ms):
    for endpoint in _endpoints_in(context, name):
        endpoint.is_partitioned = True
        context.simulation.at(
            span_ms,
            lambda one=endpoint: setattr(one, "is_partitioned", False),
        )


def _starts_in(context, name):
    return [
        start
        for start in context.simulation.drains.starts
        if start.data_centre == name
    ]


@behave.then(
    'no task started in data centre "{name}" later than {late_ms:d} ms after '
    "it was drained"
)
def then_none_late(context, name, late_ms):
    late = [one for one in _starts_in(context, name) if one.late_ms > late_ms]
    assert not late, (len(late), late[:5])


@behave.then(
    'tasks started in data centre "{name}" in the last {span_ms:d} ms'
)
def then_started_again(context, name, span_ms):
    since_ms = context.simulation.now_ms - span_ms
    recent = [
        one for one in _starts_in(context, name) if one.at_ms >= since_ms
    ]
    assert recent


@behave.then("each task was started once")
def then_started_once(context):
    started = [row[0] for row in context.simulation.starts]
    assert len(started) == len(set(started)), started


@behave.then('each task of job "{job_id}" ended in data centre "{name}"')
def then_ended_in(context, job_id, name):
    done = {
        task_id
        for endpoint in _endpoints_in(context, name)
        for task_id in endpoint.done_tasks
    }
    expected = context.simulation.job_by_id[job_id].steps[0].count
    assert len(done) == expected, done


@behave.then("{count:d} jobs are completed")
def then_jobs_completed(context, count):
    done = context.simulation.done_ms_by_job
    assert len(done) == count, done


@behave.then("no run was stopped")
def then_none_stopped(context):
    assert not context.simulation.stops, context.simulation.stops


@behave.then("{count:d} runs were stopped")
def then_stopped(context, count):
    assert len(context.simulation.stops) == count, context.simulation.stops


@behave.then('no policy query named an endpoint in data centre "{name}"')
def then_not_queried(context, name):
    queries = context.simulation.sent_queries
    named = {one for query in queries for one in query.endpoint_ids}
    assert queries
    assert not named & {
        one.endpoint_id for one in _endpoints_in(context, name)
    }


@behave.given("each order to stop takes {span_ms:d} ms")
def given_stop_time(context, span_ms):
    for endpoint in context.simulation.endpoint_by_id.values():
        endpoint.stop_ms = span_ms


def _submit_service(context, job_id, count, kind, limit):
    step = cells_work.make_step(
        count, long_running=True, max_unavailable=limit
    )
    advice = cells_restart.policy_timings(context.simulation, kind)
    context.simulation.submit(cells_work.make_job(job_id, step, advice=advice))


@behave.when(
    'a long-running job "{job_id}" of {count:d} tasks that {kind} is '
    "submitted, of which {limit:d} may be unavailable"
)
def when_service(context, job_id, count, kind, limit):
    _submit_service(context, job_id, count, kind, limit)


@behave.when('a long-running gang "{job_id}" of {count:d} tasks is submitted')
def when_service_gang(context, job_id, count):
    step = cells_work.make_step(count, long_running=True, gang=True)
    context.simulation.submit(cells_work.make_job(job_id, step))


@behave.when("{count:d} urgent tasks are submitted at once")
def when_urgent(context, count):
    if count:
        step = cells_work.make_step(count, estimate_ms=3_000)
        job = cells_work.make_job("urgent", step, priority=0)
        context.simulation.submit(job)


@behave.when("its tasks are watched for {span_ms:d} ms")
def when_watched(context, span_ms):
    context.watch = cells_drains.AwayWatch(context.simulation)
    context.watch.start()
    context.simulation.run_for(span_ms)


@behave.then('{count:d} tasks of job "{job_id}" run in data centre "{name}"')
def then_tasks_in(context, count, job_id, name):
    running = [
        run
        for endpoint in _endpoints_in(context, name)
        for run in endpoint.run_by_key.values()
        if run.job_id == job_id
    ]
    assert len(running) == count, running


@behave.then(
    '{count:d} tasks of long-running jobs run in data centre "{name}"'
)
def then_long_running_in(context, count, name):
    runs = cells_restart.long_running_runs(context.simulation)
    there = [run for one, run in runs if one.data_centre == name]
    assert len(there) == count, there


@behave.then("at most {count:d} of its tasks were away at once")
def then_away(context, count):
    assert 0 < context.watch.max_away <= count, context.watch.max_away


@behave.then("each task was away for at most {span_ms:d} ms")
def then_away_for(context, span_ms):
    assert context.watch.max_away_ms <= span_ms, context.watch.max_away_ms


@behave.then("each long-running task was stopped at most once")
def then_stopped_once(context):
    stopped = [
        task_id
        for task_id, _run, _endpoint_id in context.simulation.stops
        if task_id.job_id != "urgent"
    ]
    assert stopped
    assert len(stopped) == len(set(stopped)), stopped


@behave.then("{least:d} to {most:d} runs were stopped")
def then_some_stopped(context, least, most):
    count = len(context.simulation.stops)
    assert least <= count <= most, context.simulation.stops


@behave.then("the log tells of the drain")
def then_told(context):
    told = [
        (line.event, line.fields["data_centre"], line.fields.get("runs"))
        for line in context.simulation.log_lines
        if "data_centre" in line.fields
    ]
    expected = [
        (row["event"], row["data_centre"], int(row["runs"] or -1))
        for row in context.table
    ]
    assert [(*row[:2], -1 if row[2] is None else row[2]) for row in told] == (
        expected
    ), told


@behave.then('the story of job "{job_id}" contains {count:d} lines "{event}"')
def then_story(context, job_id, count, event):
    story = logs.tell(context.simulation.log_lines, job_id)
    lines = [line for line in story.lines if line.event == event]
    assert len(lines) == count, story.lines
