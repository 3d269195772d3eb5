"""Steps that set up a simulated cell and submit jobs to it."""

import attrs
import behave

from features.support import cells as cells_support
from features.support import cells_work
from samphiregate.core import cells

LOW_PRIORITY = 2


def _set_policy_timings(context, decide_ms=30):
    context.simulation.policy_query_ms = decide_ms
    return cells.PolicyTimings(decide_ms, 0.1, 2_000)


@behave.given("{count:d} endpoints of {cores:d} cores")
def given_endpoints(context, count, cores):
    context.simulation = cells_support.CellSimulation()
    for number in range(count):
        rack = f"r{number // 2}"
        context.simulation.add_endpoint(
            f"e{number}", cpu=cores * 1_000, labels=("a", rack)
        )


@behave.when('endpoint "{endpoint_id}" of {cores:d} cores is added')
def when_endpoint_added(context, endpoint_id, cores):
    context.simulation.add_endpoint(endpoint_id, cpu=cores * 1_000)


@behave.given("an owner of the cell")
def given_owner(context):
    context.simulation.take_over()


@behave.given('account "{name}" is limited to {cores:d} cores')
def given_account(context, name, cores):
    cap = cells.Resources(cores * 1_000)
    context.simulation.accounts = (cells.Account(name, 100.0, cap),)


@behave.given('job "{job_id}" was {order} before the owner read the store')
def given_early(context, job_id, order):
    simulation = context.simulation
    job = cells_work.make_job(job_id, cells_work.make_step(4))
    simulation.epoch = 1
    simulation.cell = cells.Cell(
        epoch=1, lease_ms=5_000, inherited_lease_ms=7_400
    )
    events = [cells.JobStored(job), cells.JobCancelled(job_id)]
    if order.startswith("cancelled"):
        events.reverse()
    simulation.job_by_id[job_id] = job
    for event in events:
        simulation.deliver(event)
    for endpoint in simulation.endpoint_by_id.values():
        simulation.deliver(endpoint.registration)


@behave.given(
    'the policy service allows the large task on "{endpoint_id}" only, '
    "after {delay_ms:d} ms"
)
def given_policy(context, endpoint_id, delay_ms):
    context.large_task_timings = _set_policy_timings(context, delay_ms)
    context.simulation.allowed_by_step["large", 0] = (endpoint_id,)


@behave.when(
    'a job "{job_id}" of {first:d} tasks, then {second:d} tasks after them '
    "is submitted"
)
def when_two_steps(context, job_id, first, second):
    job = cells_work.make_job(
        job_id,
        cells_work.make_step(first),
        cells_work.make_step(second, after=(0,)),
    )
    context.simulation.submit(job)


@behave.when(
    'a job "{job_id}" of {tasks:d} tasks is submitted that recurs {count:d} '
    "times every {gap_ms:d} ms"
)
def when_recurring(context, job_id, tasks, count, gap_ms):
    simulation = context.simulation
    job = cells_work.make_job(job_id, cells_work.make_step(tasks))
    schedule = cells.Schedule(simulation.now_ms, gap_ms, count)
    simulation.submit(attrs.evolve(job, schedule=schedule))


@behave.when('a job "{job_id}" of {count:d} tasks is submitted')
def when_job(context, job_id, count):
    step = cells_work.make_step(count)
    context.simulation.submit(cells_work.make_job(job_id, step))


@behave.when(
    'an always failing job "{job_id}" with {attempts:d} attempts is submitted'
)
def when_always_failing(context, job_id, attempts):
    context.simulation.always_failing_ids.add(job_id)
    job = cells_work.make_job(
        job_id, cells_work.make_step(1), max_attempts=attempts
    )
    context.simulation.submit(job)


@behave.when('a gang "{job_id}" of {count:d} tasks is submitted')
def when_gang(context, job_id, count):
    step = cells_work.make_step(count, gang=True)
    context.simulation.submit(cells_work.make_job(job_id, step))


@behave.when('a long-running job "{job_id}" of {count:d} tasks is submitted')
def when_long_running(context, job_id, count):
    step = cells_work.make_step(count, long_running=True)
    context.simulation.submit(cells_work.make_job(job_id, step))


@behave.when(
    'an urgent job "{job_id}" of {count:d} tasks of account "{account}" is '
    "submitted"
)
def when_urgent_of_account(context, job_id, count, account):
    job = cells_work.make_job(
        job_id, cells_work.make_step(count), account=account, priority=0
    )
    context.simulation.submit(job)


@behave.when(
    'a long-running job "{job_id}" of {count:d} tasks of account "{account}" '
    "is submitted"
)
def when_long_running_of_account(context, job_id, count, account):
    step = cells_work.make_step(count, long_running=True)
    job = cells_work.make_job(job_id, step, account=account)
    context.simulation.submit(job)


@behave.when('a job "{job_id}" of {count:d} speculative tasks is submitted')
def when_speculative_job(context, job_id, count):
    step = cells_work.make_step(count, speculative=True)
    context.simulation.submit(cells_work.make_job(job_id, step))


@behave.when('job "{job_id}" is cancelled')
def when_cancelled(context, job_id):
    context.simulation.cancel(job_id)


def _submit_many(context, count, *steps, **kwargs):
    first = len(context.simulation.job_by_id)
    job_ids = [f"j{number}" for number in range(first, first + count)]
    for job_id in job_ids:
        context.simulation.submit(
            cells_work.make_job(job_id, *steps, **kwargs)
        )
    return job_ids


@behave.when("{count:d} jobs of {tasks:d} tasks are submitted")
def when_jobs(context, count, tasks):
    _submit_many(context, count, cells_work.make_step(tasks))


@behave.when("{count:d} long-running jobs of {tasks:d} tasks are submitted")
def when_long_running_jobs(context, count, tasks):
    step = cells_work.make_step(tasks, long_running=True)
    _submit_many(context, count, step)


@behave.when(
    "{count:d} jobs of {tasks:d} tasks with {attempts:d} attempts are "
    "submitted"
)
def when_jobs_with_attempts(context, count, tasks, attempts):
    step = cells_work.make_step(tasks)
    _submit_many(context, count, step, max_attempts=attempts)


@behave.when(
    "{count:d} jobs of {tasks:d} tasks of {task_ms:d} ms are submitted"
)
def when_jobs_of_length(context, count, tasks, task_ms):
    step = cells_work.make_step(tasks, estimate_ms=task_ms)
    _submit_many(context, count, step)


@behave.given('{count:d} endpoints of {cores:d} cores of service "{service}"')
def given_endpoints_of_service(context, count, cores, service):
    for number in range(count):
        context.simulation.add_endpoint(
            f"{service}{number}", cpu=cores * 1_000, service=service
        )


@behave.when(
    "{count:d} jobs of {tasks:d} tasks of {task_ms:d} ms that need tickets "
    'are submitted to service "{service}" with priority {priority:d}'
)
def when_jobs_with_tickets_of_service(
    context, count, tasks, task_ms, service, priority
):
    context.submitted_ids = _submit_many(
        context,
        count,
        cells_work.make_step(tasks, estimate_ms=task_ms),
        advice=_set_policy_timings(
            context, context.simulation.policy_query_ms
        ),
        service=service,
        priority=priority,
    )


@behave.when(
    "{count:d} jobs of {tasks:d} tasks that need tickets are submitted"
)
def when_jobs_with_tickets(context, count, tasks):
    step = cells_work.make_step(tasks)
    advice = _set_policy_timings(context, context.simulation.policy_query_ms)
    _submit_many(context, count, step, advice=advice)


@behave.when(
    '{count:d} jobs of {tasks:d} tasks of account "{account}" are submitted'
)
def when_account_jobs(context, count, tasks, account):
    step = cells_work.make_step(tasks)
    _submit_many(context, count, step, account=account)


@behave.when(
    "a task of 1 cores is submitted every {gap_ms:d} ms with priority 2 for "
    "{span_s:d} s, and a task of 4 cores with priority 1 after {after_s:d} s"
)
def when_stream(context, gap_ms, span_s, after_s):
    simulation = context.simulation
    small = cells_work.make_step(1, estimate_ms=1_400)
    large = cells_work.make_step(1, cpu=4_000, estimate_ms=1_000)
    large_job = cells_work.make_job(
        "large",
        large,
        priority=1,
        advice=getattr(context, "large_task_timings", None),
    )
    for number in range(span_s * 1_000 // gap_ms):
        if number * gap_ms == after_s * 1_000:
            simulation.submit(large_job)
            context.large_submitted_ms = simulation.now_ms
        job = cells_work.make_job(f"s{number}", small, priority=LOW_PRIORITY)
        simulation.submit(job)
        simulation.run_for(gap_ms)


@behave.given(
    "{vms:d} VMs can query the policy service, which takes {query_ms:d} ms"
)
def given_query_slots(context, vms, query_ms):
    context.simulation.query_slots = vms
    context.simulation.policy_query_ms = query_ms


@behave.when("{span_ms:d} ms pass")
def when_time_passes(context, span_ms):
    context.simulation.run_for(span_ms)


@behave.when(
    'a job "{job_id}" of {count:d} tasks of {task_ms:d} ms is submitted'
)
def when_job_of_length(context, job_id, count, task_ms):
    step = cells_work.make_step(count, estimate_ms=task_ms)
    context.simulation.submit(cells_work.make_job(job_id, step))


@behave.when(
    "a job of {tasks:d} tasks of {task_ms:d} ms is submitted every "
    "{gap_ms:d} ms for {span_s:d} s"
)
def when_jobs_of_length_in_series(context, tasks, task_ms, gap_ms, span_s):
    step = cells_work.make_step(tasks, estimate_ms=task_ms)
    for _number in range(span_s * 1_000 // gap_ms):
        _submit_many(context, 1, step)
        context.simulation.run_for(gap_ms)


@behave.when(
    "a job of {tasks:d} {kind} tasks is submitted every {gap_ms:d} ms for "
    "{span_s:d} s"
)
def when_jobs_in_series(context, tasks, kind, gap_ms, span_s):
    simulation = context.simulation
    step = cells_work.make_step(tasks, speculative=kind == "speculative")
    context.submitted_ms_by_job = {}
    for number in range(span_s * 1_000 // gap_ms):
        job_id = f"j{number}"
        context.submitted_ms_by_job[job_id] = simulation.now_ms
        simulation.submit(cells_work.make_job(job_id, step))
        simulation.run_for(gap_ms)


@behave.when(
    "{count:d} jobs of {tasks:d} tasks are submitted while the store is "
    "unavailable for {span_ms:d} ms"
)
def when_jobs_without_store(context, count, tasks, span_ms):
    context.simulation.store_up = False
    _submit_many(context, count, cells_work.make_step(tasks))
    context.simulation.run_for(span_ms)
    context.simulation.store_up = True
