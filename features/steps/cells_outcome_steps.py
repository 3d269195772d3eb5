"""Steps that check what callers and endpoints see of a simulated cell."""

import behave

from samphiregate.core import cells


@behave.then("the jobs submitted last are completed within {max_ms:d} ms")
def then_last_completed(context, max_ms):
    simulation = context.simulation
    simulation.run_for(max_ms)
    missing = [
        one
        for one in context.submitted_ids
        if one not in simulation.done_ms_by_job
    ]
    assert not missing, missing


@behave.then('job "{job_id}" is completed within {max_ms:d} ms')
def then_completed(context, job_id, max_ms):
    simulation = context.simulation
    took_ms = simulation.run_until(
        lambda: job_id in simulation.done_ms_by_job, max_ms
    )
    state = simulation.cell.state_of(job_id)
    assert job_id in simulation.done_ms_by_job, (
        f"{took_ms} ms passed, the state of the job is {state}"
    )


def _check_completed(context, exempt_count, max_ms):
    simulation = context.simulation
    required_count = len(simulation.job_by_id) - exempt_count
    simulation.run_until(
        lambda: _count_completed(simulation) >= required_count, max_ms
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


@behave.then(
    'each occurrence of job "{job_id}" started once, within {max_ms:d} ms of '
    "its time"
)
def then_occurrences(context, job_id, max_ms):
    simulation = context.simulation
    job = simulation.job_by_id[job_id]
    started = [row[0] for row in simulation.starts if row[0].job_id == job_id]
    assert len(started) == len(set(started)), started
    tasks = sum(step.count for step in job.steps)
    assert len(started) == tasks * job.occurrence_count, started
    for task_id in started:
        due_ms = (
            job.schedule.first_unix_ms
            + task_id.occurrence * job.schedule.interval_ms
        )
        late_ms = simulation.start_ms_by_task[task_id] - due_ms
        assert 0 <= late_ms <= max_ms, (task_id, late_ms)


@behave.then("at most {max_count:d} polls were sent in total")
def then_few_polls(context, max_count):
    assert context.simulation.poll_count <= max_count, (
        context.simulation.poll_count
    )


@behave.then("at most {max_count:d} writes were made in total")
def then_few_writes(context, max_count):
    write_count = context.simulation.write_count
    assert write_count <= max_count, write_count


@behave.then("at most {max_count:d} more runs than needed were started")
def then_few_unneeded_runs(context, max_count):
    simulation = context.simulation
    needed = len({task_id for task_id, _run, _endpoint in simulation.starts})
    assert len(simulation.starts) - needed <= max_count, (
        len(simulation.starts) - needed
    )


@behave.then("all jobs are completed within {max_ms:d} ms")
def then_all_completed(context, max_ms):
    _check_completed(context, 0, max_ms)


@behave.then("all but {count:d} jobs are completed within {max_ms:d} ms")
def then_most_completed(context, count, max_ms):
    _check_completed(context, count, max_ms)


@behave.then("epoch {epoch:d} is known to have ended at {time}")
def then_epoch_ended(context, epoch, time):
    ended_ms = context.epoch_history.ended_ms(epoch)
    assert ended_ms == (None if time == "no time" else int(time)), ended_ms


@behave.then("no invariant was violated")
def then_no_violation(context):
    assert not context.simulation.violations, context.simulation.violations[:5]


@behave.then('job "{job_id}" is reported as {state}')
def then_state(context, job_id, state):
    reported = context.simulation.cell.state_of(job_id)
    assert reported.value == state, reported


@behave.then("{count:d} tasks were started")
def then_started(context, count):
    assert len(context.simulation.starts) == count, context.simulation.starts


@behave.then("no task was restarted within {span_ms:d} ms of the fault")
def then_not_restarted(context, span_ms):
    simulation = context.simulation
    restarted_ids = set()
    for task_id, run, _endpoint in simulation.starts:
        if run > 1:
            restarted_ids.add(task_id)
    assert restarted_ids
    # The restarted task takes 500 ms and ends the job; 100 ms are tolerated.
    restarted_ms = simulation.done_ms_by_job["j"] - 500
    assert restarted_ms - context.unreachable_ms >= span_ms - 100, restarted_ms


@behave.then("at most {count:d} tasks run at a time")
def then_at_most(context, count):
    simulation = context.simulation
    max_running = 0
    for _round in range(200):
        simulation.run_for(20)
        running = sum(
            len(one.run_by_key) for one in simulation.endpoint_by_id.values()
        )
        max_running = max(max_running, running)
    assert 0 < max_running <= count, max_running


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
    "half of the jobs took at most {median_ms:d} ms, and all at most "
    "{max_ms:d} ms"
)
def then_took(context, median_ms, max_ms):
    done_ms = context.simulation.done_ms_by_job
    took = sorted(
        done_ms.get(job_id, context.simulation.now_ms) - submitted_ms
        for job_id, submitted_ms in context.submitted_ms_by_job.items()
    )
    assert took[len(took) // 2] <= median_ms, took
    assert took[-1] <= max_ms, took


@behave.then("the large task started within {max_ms:d} ms")
def then_large_started(context, max_ms):
    task_id = cells.TaskId("large", 0, 0, 0)
    started_ms = context.simulation.start_ms_by_task.get(task_id)
    assert started_ms is not None
    waited_ms = started_ms - context.large_submitted_ms
    assert waited_ms <= max_ms, waited_ms


@behave.then("at most {count:d} policy queries were in flight at a time")
def then_queries_in_flight(context, count):
    assert 0 < context.simulation.max_queries_in_flight <= count, (
        context.simulation.max_queries_in_flight
    )


@behave.then("the policy service was queried {count:d} times")
def then_queried(context, count):
    assert len(context.simulation.sent_queries) == count, (
        context.simulation.sent_queries
    )


@behave.then("no payload, steps or runs are stored for jobs that have ended")
def then_compacted(context):
    simulation = context.simulation
    assert simulation.done_ms_by_job
    for job_id in simulation.done_ms_by_job:
        data = simulation.stored_by_id[job_id]
        record = cells.decode(data, cells.JobRecord)
        job = simulation.stored_job(job_id)
        assert (job.payload, job.steps, record.stages) == ("", (), ()), job
