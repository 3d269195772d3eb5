"""Steps about what callers and endpoints get from the owner of a cell."""

import behave

from samphiregate.core import cells


@behave.then("the jobs sent last are completed within {most:d} ms")
def then_last_completed(context, most):
    simulation = context.simulation
    simulation.run_for(most)
    missing = [
        one for one in context.sent_ids if one not in simulation.done_ms_by_job
    ]
    assert not missing, missing


@behave.then('job "{job_id}" is completed within {most:d} ms')
def then_completed(context, job_id, most):
    simulation = context.simulation
    took_ms = simulation.run_until(
        lambda: job_id in simulation.done_ms_by_job, most
    )
    state = simulation.cell.state_of(job_id)
    assert job_id in simulation.done_ms_by_job, f"{took_ms} ms: {state}"


def _check_completed(context, missing, most):
    simulation = context.simulation
    required_count = len(simulation.job_by_id) - missing
    simulation.run_until(
        lambda: _count_completed(simulation) >= required_count, most
    )
    states = {
        job_id: simulation.cell.state_of(job_id)
        for job_id in simulation.job_by_id
        if simulation.cell.state_of(job_id) is not cells.JobState.COMPLETED
    }
    assert _count_completed(simulation) >= required_count, states


def _count_completed(simulation):
    return sum(
        simulation.cell.state_of(job_id) is cells.JobState.COMPLETED
        for job_id in simulation.job_by_id
    )


@behave.then("at most {most:d} looks were made in all")
def then_few_looks(context, most):
    assert context.simulation.poll_count <= most, context.simulation.poll_count


@behave.then("at most {most:d} runs were started besides those needed")
def then_few_runs_more(context, most):
    simulation = context.simulation
    needed = len({task_id for task_id, _run, _endpoint in simulation.starts})
    assert len(simulation.starts) - needed <= most, (
        len(simulation.starts) - needed
    )


@behave.then("all jobs are completed within {most:d} ms")
def then_all_completed(context, most):
    _check_completed(context, 0, most)


@behave.then("all but {count:d} jobs are completed within {most:d} ms")
def then_most_completed(context, count, most):
    _check_completed(context, count, most)


@behave.then("no promise was broken")
def then_no_violation(context):
    assert not context.simulation.violations, context.simulation.violations[:5]


@behave.then('job "{job_id}" is shown as {state}')
def then_state(context, job_id, state):
    shown = context.simulation.cell.state_of(job_id)
    assert shown.value == state, shown


@behave.then("{count:d} tasks were started")
def then_started(context, count):
    assert len(context.simulation.starts) == count, context.simulation.starts


@behave.then("no task was started anew within {span:d} ms")
def then_not_anew(context, span):
    simulation = context.simulation
    seen = set()
    for task_id, run, _endpoint in simulation.starts:
        if run > 1:
            seen.add(task_id)
    assert seen
    restarted_ms = simulation.done_ms_by_job["j"] - 500
    assert restarted_ms - context.cut_ms >= span - 100, restarted_ms


@behave.then("at most {count:d} tasks ever run at a time")
def then_at_most(context, count):
    simulation = context.simulation
    most = 0
    for _round in range(200):
        simulation.run_for(20)
        running = sum(
            len(one.run_by_key) for one in simulation.endpoint_by_id.values()
        )
        most = max(most, running)
    assert 0 < most <= count, most


@behave.then('{count:d} tasks of job "{job_id}" run')
def then_running(context, count, job_id):
    running = [
        run
        for endpoint in context.simulation.endpoint_by_id.values()
        for run in endpoint.run_by_key.values()
        if run.job_id == job_id
    ]
    assert len(running) == count, running


@behave.then(
    "half of the jobs took at most {half:d} ms, and all at most {most:d} ms"
)
def then_took(context, half, most):
    done_ms = context.simulation.done_ms_by_job
    took = sorted(
        done_ms.get(job_id, context.simulation.now_ms) - sent_ms
        for job_id, sent_ms in context.sent_ms_by_job.items()
    )
    assert took[len(took) // 2] <= half, took
    assert took[-1] <= most, took


@behave.then("the large task started within {most:d} ms")
def then_large_started(context, most):
    task_id = cells.TaskId("large", 0, 0, 0)
    started_ms = context.simulation.start_ms_by_task.get(task_id)
    assert started_ms is not None
    waited_ms = started_ms - context.large_sent_ms
    assert waited_ms <= most, waited_ms


@behave.then("at most {count:d} questions were open at a time")
def then_questions(context, count):
    assert 0 < context.simulation.max_queries_in_flight <= count, (
        context.simulation.max_queries_in_flight
    )


@behave.then("the policy service was asked {count:d} times")
def then_asked(context, count):
    assert len(context.simulation.sent_queries) == count, (
        context.simulation.sent_queries
    )
