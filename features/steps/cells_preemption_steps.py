"""Steps about urgent tasks that preempt less urgent runs."""

import collections
import functools

import behave

from features.support import cells_work
from samphiregate.core import cells
from samphiregate import logs

URGENT = {"priority": 0, "stretch": 1.5, "target_ms": 400.0}
LONG = {"priority": 2, "stretch": 4.0, "target_ms": 3_000.0}
HURRIED = {"priority": 2, "stretch": 1.0, "target_ms": 200.0}
LONG_MS = 6_000
TASKS_OF_LONG_JOB = 4
STREAM_MS = 8_000
SETTLE_MS = 100  # until the first polls of endpoints are answered
MAX_RUN_MS = 60_000


def _submit(context, job):
    """Submits a job, and notes until when it is on time."""
    simulation = context.simulation
    step = job.steps[0]
    objective_ms = job.queue.stretch * step.estimate_ms + job.queue.target_ms
    due_ms = simulation.now_ms + objective_ms
    context.due_ms_by_job = getattr(context, "due_ms_by_job", {})
    context.due_ms_by_job[job.job_id] = due_ms
    simulation.submit(job)


def _make_job(context, kind, step, account="", **queue):
    numbers = context.job_numbers = getattr(
        context, "job_numbers", collections.Counter()
    )
    numbers[kind] += 1
    return cells_work.make_job(
        f"{kind}{numbers[kind]}", step, account=account, **queue
    )


def _total_cpu(simulation):
    return sum(
        one.capacity.cpu_millis for one in simulation.endpoint_by_id.values()
    )


def _fill(context, step, queue=None):
    """Submits jobs of a step until nothing more fits."""
    simulation = context.simulation
    job_cpu = step.demand.cpu_millis * step.count
    for _number in range(_total_cpu(simulation) // job_cpu):
        _submit(context, _make_job(context, "long", step, **(queue or LONG)))
    simulation.run_for(SETTLE_MS)


def _make_step(count, long_ms, cores, **kwargs):
    return cells_work.make_step(
        count, cpu=cores * 1_000, estimate_ms=long_ms, **kwargs
    )


@behave.given(
    "long work of {long_ms:d} ms on {cores:d} cores fills the endpoints"
)
def given_long_work(context, long_ms, cores):
    _fill(context, _make_step(TASKS_OF_LONG_JOB, long_ms, cores))


@behave.given(
    "a stream of long work of {long_ms:d} ms on {cores:d} cores fills the "
    "endpoints"
)
def given_stream(context, long_ms, cores):
    simulation = context.simulation
    step = _make_step(TASKS_OF_LONG_JOB, long_ms, cores)
    share = step.count * step.demand.cpu_millis / _total_cpu(simulation)

    def submit():
        _submit(context, _make_job(context, "long", step, **LONG))

    gap_ms = round(long_ms * share)
    for delay_ms in range(0, long_ms + STREAM_MS, gap_ms):
        simulation.at(delay_ms, submit)
    simulation.run_for(long_ms + SETTLE_MS)


@behave.given(
    "long work of {long_ms:d} ms on {cores:d} cores fills the endpoints, "
    "every other job with checkpoints"
)
def given_checkpointing_work(context, long_ms, cores):
    simulation = context.simulation
    for number in range(_total_cpu(simulation) // (2 * cores * 1_000)):
        step = _make_step(2, long_ms, cores, checkpoints=bool(number % 2))
        _submit(context, _make_job(context, "long", step, **LONG))
    simulation.run_for(SETTLE_MS)


@behave.given(
    "gangs of {members:d} tasks of {long_ms:d} ms on {cores:d} cores fill the "
    "endpoints"
)
def given_gangs(context, members, long_ms, cores):
    _fill(context, _make_step(members, long_ms, cores, gang=True))


@behave.given("{what} work fills the endpoints")
def given_other_work(context, what):
    is_lasting = what == "long-running"
    step = _make_step(4, LONG_MS, 2, long_running=is_lasting)
    _fill(context, step, URGENT if what == "urgent" else LONG)


@behave.given("long work that has nearly ended fills the endpoints")
def given_old_work(context):
    _fill(context, _make_step(4, LONG_MS, 2))
    context.simulation.run_for(LONG_MS - 1_300)


@behave.given("long work of callers in a hurry fills the endpoints")
def given_hurried_work(context):
    _fill(context, _make_step(4, LONG_MS, 2), HURRIED)


def _submit_urgent(context, tasks, work_ms, cores, **queue):
    step = _make_step(tasks, work_ms, cores)
    job = _make_job(context, "urgent", step, **(URGENT | queue))
    _submit(context, job)


@behave.when(
    "{jobs:d} urgent jobs of {tasks:d} tasks of {work_ms:d} ms on {cores:d} "
    "cores are submitted"
)
def when_urgent_jobs(context, jobs, tasks, work_ms, cores):
    for _number in range(jobs):
        _submit_urgent(context, tasks, work_ms, cores)


@behave.when(
    "an urgent job of {tasks:d} tasks of {work_ms:d} ms on {cores:d} cores is "
    'submitted that the policy service allows on "{endpoint_ids}"'
)
def when_urgent_with_policy(context, tasks, work_ms, cores, endpoint_ids):
    simulation = context.simulation
    simulation.allowed_by_step["urgent1", 0] = endpoint_ids.split()
    timings = cells.PolicyTimings(simulation.policy_query_ms, 0.1, 2_000)
    _submit_urgent(context, tasks, work_ms, cores, advice=timings)


@behave.then('the urgent tasks started on "{endpoint_ids}" only')
def then_started_on(context, endpoint_ids):
    used = {
        endpoint_id
        for task_id, _run, endpoint_id in context.simulation.starts
        if task_id.job_id.startswith("urgent")
    }
    assert used <= set(endpoint_ids.split()), used


def _submit_stream(context, submit, gap_ms, span_ms):
    simulation = context.simulation
    for delay_ms in range(0, span_ms, gap_ms):
        simulation.at(delay_ms, submit)
    simulation.run_for(span_ms)


@behave.when(
    "an urgent job of {tasks:d} tasks of {work_ms:d} ms on {cores:d} cores is "
    "submitted every {gap_ms:d} ms for {span_ms:d} ms"
)
def when_urgent_stream(context, tasks, work_ms, cores, gap_ms, span_ms):
    submit = functools.partial(_submit_urgent, context, tasks, work_ms, cores)
    _submit_stream(context, submit, gap_ms, span_ms)


@behave.when(
    "a job of {tasks:d} task of {work_ms:d} ms on {cores:d} core with "
    "priority 1 is submitted every {gap_ms:d} ms for {span_ms:d} ms"
)
def when_other_stream(context, tasks, work_ms, cores, gap_ms, span_ms):
    def submit():
        step = _make_step(tasks, work_ms, cores)
        other = _make_job(context, "other", step, **(LONG | {"priority": 1}))
        _submit(context, other)

    _submit_stream(context, submit, gap_ms, span_ms)


@behave.when(
    "{what} of {tasks:d} tasks of {work_ms:d} ms on {cores:d} cores is "
    "submitted"
)
def when_one_job(context, what, tasks, work_ms, cores):
    queue = {
        "an urgent job": {},
        "a job of priority 1": {"priority": 1},
        "an urgent job beyond its share": {},
        "an urgent job with ample time": {"target_ms": 20_000.0},
        "an urgent job that is late anyway": {"target_ms": -200.0},
    }[what]
    account = ""
    if "beyond" in what:
        account = "greedy"
        accounts = (cells.Account(account, weight=0.01),)
        context.simulation.deliver(cells.AccountsChanged(accounts))
        tiny = _make_job(context, "tiny", _make_step(1, 1, 1), account)
        context.simulation.submit(tiny)
    step = _make_step(tasks, work_ms, cores)
    job = _make_job(context, "urgent", step, account, **(URGENT | queue))
    _submit(context, job)


@behave.given("the next {count:d} stops are {gap_ms:d} ms apart")
def given_stops_apart(context, count, gap_ms):
    faults = [number * gap_ms for number in range(count)]
    context.simulation.stop_faults = faults


@behave.when(
    "{count:d} urgent jobs of an account that may use {cores:d} cores are "
    "submitted, of 1 task on {task_cores:d} cores each"
)
def when_limited_account(context, count, cores, task_cores):
    limit = cells.Resources(cores * 1_000)
    accounts = (cells.Account("limited", weight=100.0, cap=limit),)
    context.simulation.deliver(cells.AccountsChanged(accounts))
    step = _make_step(1, 500, task_cores)
    for _number in range(count):
        job = _make_job(context, "urgent", step, "limited", **URGENT)
        _submit(context, job)


@behave.when("the next {count:d} stops are {fault}")
def when_stops_fail(context, count, fault):
    delay_ms = None if fault == "lost" else int(fault.split()[0])
    context.simulation.stop_faults = [delay_ms] * count


@behave.when(
    "the owner is killed {after_ms:d} ms after a run was preempted, for "
    "{span_ms:d} ms"
)
def when_killed_after_preemption(context, after_ms, span_ms):
    simulation = context.simulation
    simulation.run_until(lambda: _preempted(simulation), MAX_RUN_MS)
    assert _preempted(simulation)
    simulation.run_for(after_ms)
    simulation.kill_owner()
    simulation.run_for(span_ms)
    simulation.take_over()


def _preempted(simulation):
    return [
        line for line in simulation.log_lines if line.event == "run preempted"
    ]


def _late(context, is_kind):
    """Returns by how much each job of a kind is late, in milliseconds."""
    simulation = context.simulation
    due_by_job = {
        job_id: due_ms
        for job_id, due_ms in context.due_ms_by_job.items()
        if is_kind(job_id)
    }
    simulation.run_until(
        lambda: due_by_job.keys() <= simulation.done_ms_by_job.keys(),
        MAX_RUN_MS,
    )
    late = {}
    for job_id, due_ms in due_by_job.items():
        late_ms = simulation.done_ms_by_job.get(job_id, MAX_RUN_MS) - due_ms
        if late_ms > 0:
            late[job_id] = late_ms
    return late


@behave.then("all urgent jobs are on time")
def then_urgent_on_time(context):
    late = _late(context, lambda job_id: job_id.startswith("urgent"))
    assert not late, late


@behave.then("all other jobs are on time")
def then_others_on_time(context):
    late = _late(context, lambda job_id: not job_id.startswith("urgent"))
    assert not late, late


@behave.then(
    "at most {factor:d} times the work of the urgent jobs is thrown away"
)
def then_waste_is_bounded(context, factor):
    simulation = context.simulation
    needed = sum(
        step.count * step.estimate_ms * step.demand.cpu_millis / 1_000
        for job_id, job in simulation.job_by_id.items()
        for step in job.steps
        if job_id.startswith("urgent")
    )
    assert simulation.thrown_away_core_ms <= factor * needed, (
        simulation.thrown_away_core_ms,
        needed,
    )


@behave.then("{seconds:d} core-seconds of work are thrown away")
def then_thrown_away(context, seconds):
    thrown_away = context.simulation.thrown_away_core_ms
    assert round(thrown_away / 1_000) == seconds, thrown_away


@behave.then("no task is started more than {most:d} times")
def then_few_starts(context, most):
    counts = collections.Counter(row[0] for row in context.simulation.starts)
    above = {key: count for key, count in counts.items() if count > most}
    assert not above, above


@behave.then("no gang ran in part")
def then_gangs_whole(context):
    simulation = context.simulation
    members = collections.Counter(
        (task_id.job_id, run)
        for task_id, run, _endpoint_id in simulation.starts
        if simulation.step_of(task_id).gang
    )
    partial = {
        key: count
        for key, count in members.items()
        if count != simulation.job_by_id[key[0]].steps[0].count
    }
    assert members and not partial, partial


@behave.then("the most preempted task was preempted {count:d} times")
def then_most_preempted(context, count):
    counts = collections.Counter(
        (line.fields["request"], line.fields["task"])
        for line in _preempted(context.simulation)
    )
    assert max(counts.values(), default=0) == count, counts


@behave.then("no run was preempted")
def then_none_preempted(context):
    preempted = _preempted(context.simulation)
    assert not preempted, preempted


@behave.then("at most {count:d} runs were preempted")
def then_few_preempted(context, count):
    preempted = _preempted(context.simulation)
    assert 0 < len(preempted) <= count, preempted


@behave.then("the story of a preempted job names the urgent job")
def then_story(context):
    simulation = context.simulation
    job_id = _preempted(simulation)[0].fields["request"]
    story = logs.tell(simulation.log_lines, job_id)
    decisive = story.lines[story.decisive]
    assert decisive.event == "run preempted", decisive
    assert decisive.fields["preempted_for"] == "urgent1", decisive


@behave.then('the load tells of {count:d} preempted runs of queue "{queue}"')
def then_load(context, count, queue):
    preemptions = context.simulation.cell.load()["preemptions"]
    assert preemptions["runs"][queue] == count, preemptions
    assert preemptions["lost_core_ms"][queue] > 0, preemptions
