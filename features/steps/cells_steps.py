"""Steps about the owner of a cell, played in virtual time."""

import behave

from features.support import cells as play_support
from samphiregate.core import cells

NO_PRIORITY = 2
FAULT_INTERVAL_MS = 1_500


def _advice(context, decide_ms=30):
    context.play.advice_ms = decide_ms
    return cells.Advice(decide_ms, 0.1, 2_000)


def _started(context, job_id):
    return [row for row in context.play.starts if row[0].job_id == job_id]


@behave.given("{count:d} endpoints of {cores:d} cores")
def given_endpoints(context, count, cores):
    context.play = play_support.CellPlay()
    for number in range(count):
        rack = f"r{number // 2}"
        context.play.add_endpoint(
            f"e{number}", cpu=cores * 1_000, labels=("a", rack)
        )


@behave.given("an owner of the cell")
def given_owner(context):
    context.play.take_over()


@behave.given('account "{name}" may have {cores:d} cores')
def given_account(context, name, cores):
    cap = cells.Resources(cores * 1_000)
    context.play.accounts = (cells.Account(name, 100.0, cap),)


@behave.given('job "{job_id}" was {order} before the owner read the store')
def given_early(context, job_id, order):
    play = context.play
    job = play_support.make_job(job_id, play_support.make_step(4))
    play.epoch = 1
    play.cell = cells.Cell(epoch=1, lease_ms=5_000, inherited_lease_ms=7_400)
    events = [cells.JobStored(job), cells.JobCancelled(job_id)]
    if order.startswith("cancelled"):
        events.reverse()
    play.job_by_id[job_id] = job
    for event in events:
        play.deliver(event)
    for endpoint in play.endpoint_by_id.values():
        play.deliver(endpoint.news)


@behave.given(
    'the policy service allows the large task on "{endpoint_id}" only, '
    "after {delay:d} ms"
)
def given_policy(context, endpoint_id, delay):
    context.large_advice = _advice(context, delay)
    context.play.allowed_by_step["large", 0] = (endpoint_id,)


@behave.when(
    'a job "{job_id}" of {first:d} tasks, then {second:d} tasks after them '
    "is sent"
)
def when_two_steps(context, job_id, first, second):
    job = play_support.make_job(
        job_id,
        play_support.make_step(first),
        play_support.make_step(second, after=(0,)),
    )
    context.play.submit(job)


@behave.when('a job "{job_id}" of {count:d} tasks is sent')
def when_job(context, job_id, count):
    step = play_support.make_step(count)
    context.play.submit(play_support.make_job(job_id, step))


@behave.when('a hopeless job "{job_id}" with {attempts:d} attempts is sent')
def when_hopeless(context, job_id, attempts):
    context.play.hopeless_ids.add(job_id)
    job = play_support.make_job(
        job_id, play_support.make_step(1), max_attempts=attempts
    )
    context.play.submit(job)


@behave.when('a gang "{job_id}" of {count:d} tasks is sent')
def when_gang(context, job_id, count):
    step = play_support.make_step(count, gang=True)
    context.play.submit(play_support.make_job(job_id, step))


@behave.when('a lasting job "{job_id}" of {count:d} tasks is sent')
def when_lasting(context, job_id, count):
    step = play_support.make_step(count, long_running=True)
    context.play.submit(play_support.make_job(job_id, step))


def _submit_many(context, count, *steps, **kwargs):
    first = len(context.play.job_by_id)
    job_ids = [f"j{number}" for number in range(first, first + count)]
    for job_id in job_ids:
        context.play.submit(play_support.make_job(job_id, *steps, **kwargs))
    return job_ids


@behave.when("{count:d} jobs of {tasks:d} tasks are sent")
def when_jobs(context, count, tasks):
    _submit_many(context, count, play_support.make_step(tasks))


@behave.when(
    "{count:d} jobs of {tasks:d} tasks with {attempts:d} attempts are sent"
)
def when_jobs_with_attempts(context, count, tasks, attempts):
    step = play_support.make_step(tasks)
    _submit_many(context, count, step, max_attempts=attempts)


@behave.when("{count:d} jobs of {tasks:d} tasks of {span:d} ms are sent")
def when_jobs_of_length(context, count, tasks, span):
    step = play_support.make_step(tasks, estimate_ms=span)
    _submit_many(context, count, step)


@behave.given('{count:d} endpoints of {cores:d} cores of service "{service}"')
def given_endpoints_of_service(context, count, cores, service):
    for number in range(count):
        context.play.add_endpoint(
            f"{service}{number}", cpu=cores * 1_000, service=service
        )


@behave.when(
    "{count:d} jobs of {tasks:d} tasks of {length:d} ms that need advice are "
    'sent to service "{service}" with priority {priority:d}'
)
def when_advised_jobs(context, count, tasks, length, service, priority):
    context.sent_ids = _submit_many(
        context,
        count,
        play_support.make_step(tasks, estimate_ms=length),
        advice=_advice(context, context.play.advice_ms),
        service=service,
        priority=priority,
    )


@behave.then("the jobs sent last are completed within {most:d} ms")
def then_last_completed(context, most):
    play = context.play
    play.run_for(most)
    missing = [
        one for one in context.sent_ids if one not in play.done_ms_by_job
    ]
    assert not missing, missing


@behave.when("{count:d} jobs of {tasks:d} tasks that need advice are sent")
def when_jobs_with_advice(context, count, tasks):
    step = play_support.make_step(tasks)
    advice = _advice(context, context.play.advice_ms)
    _submit_many(context, count, step, advice=advice)


@behave.when(
    '{count:d} jobs of {tasks:d} tasks of account "{account}" are sent'
)
def when_account_jobs(context, count, tasks, account):
    step = play_support.make_step(tasks)
    _submit_many(context, count, step, account=account)


@behave.when(
    "a task of 1 cores is sent each {gap:d} ms with priority 2 for "
    "{span:d} s, and a task of 4 cores with priority 1 after {after:d} s"
)
def when_stream(context, gap, span, after):
    play = context.play
    small = play_support.make_step(1, estimate_ms=1_400)
    large = play_support.make_step(1, cpu=4_000, estimate_ms=1_000)
    large_job = play_support.make_job(
        "large",
        large,
        priority=1,
        advice=getattr(context, "large_advice", None),
    )
    for number in range(span * 1_000 // gap):
        if number * gap == after * 1_000:
            play.submit(large_job)
            context.large_sent_ms = play.now_ms
        job = play_support.make_job(f"s{number}", small, priority=NO_PRIORITY)
        play.submit(job)
        play.run_for(gap)


@behave.given(
    "{vms:d} VMs can ask the policy service, which takes {span:d} ms"
)
def given_askers(context, vms, span):
    context.play.askers = vms
    context.play.advice_ms = span


@behave.given("tasks take as little as half of their estimate")
def given_misjudged(context):
    context.play.misjudged = 0.5


@behave.when(
    "{count:d} jobs of {tasks:d} tasks are sent while the store is away for "
    "{span:d} ms"
)
def when_jobs_without_store(context, count, tasks, span):
    context.play.store_up = False
    _submit_many(context, count, play_support.make_step(tasks))
    context.play.run_for(span)
    context.play.store_up = True


@behave.when("{span:d} ms pass")
def when_time_passes(context, span):
    context.play.run_for(span)


@behave.when("the owner is lost for {span:d} ms")
def when_owner_lost(context, span):
    context.play.lose_owner()
    context.play.run_for(span)


@behave.when("another VM takes the cell over")
def when_taken_over(context):
    context.play.take_over()


@behave.when('endpoint "{endpoint_id}" cannot be reached')
def when_unreachable(context, endpoint_id):
    context.cut_ms = context.play.now_ms
    context.starts_before = len(context.play.starts)
    context.play.endpoint_by_id[endpoint_id].is_cut = True


@behave.when('a job "{job_id}" of {count:d} tasks of {span:d} ms is sent')
def when_job_of_length(context, job_id, count, span):
    step = play_support.make_step(count, estimate_ms=span)
    context.play.submit(play_support.make_job(job_id, step))


@behave.when('endpoint "{endpoint_id}" drains and leaves after {left:d} ms')
def when_drains(context, endpoint_id, left):
    play = context.play
    endpoint = play.endpoint_by_id[endpoint_id]
    endpoint.draining = True
    endpoint.remaining_ms = left
    play.deliver(endpoint.news)

    def leave():
        endpoint.restart()
        endpoint.is_cut = True
        play.deliver(cells.EndpointUnlisted(endpoint_id))

    play.at(left, leave)


@behave.when('endpoint "{endpoint_id}" starts anew')
def when_restarts(context, endpoint_id):
    context.play.endpoint_by_id[endpoint_id].restart()


@behave.when('endpoint "{endpoint_id}" fails all that it starts')
def when_fails(context, endpoint_id):
    context.play.endpoint_by_id[endpoint_id].fails = True


@behave.when("all endpoints leave {tenths:d} of 10 orders unanswered")
def when_lost(context, tenths):
    for endpoint in context.play.endpoint_by_id.values():
        endpoint.lost_share = tenths / 10


@behave.when(
    "a job of {tasks:d} tasks of {length:d} ms is sent each {gap:d} ms for "
    "{span:d} s"
)
def when_jobs_of_length_in_series(context, tasks, length, gap, span):
    step = play_support.make_step(tasks, estimate_ms=length)
    for _number in range(span * 1_000 // gap):
        _submit_many(context, 1, step)
        context.play.run_for(gap)


@behave.given("tasks take {times:d} times their estimate")
def given_underrated(context, times):
    context.play.underrated = times


@behave.when('endpoint "{endpoint_id}" takes {times:d} times as long')
def when_slow(context, endpoint_id, times):
    context.play.endpoint_by_id[endpoint_id].slowness = times


@behave.when(
    "a job of {tasks:d} {kind} tasks is sent each {gap:d} ms for {span:d} s"
)
def when_jobs_in_series(context, tasks, kind, gap, span):
    play = context.play
    step = play_support.make_step(tasks, speculative=kind == "speculative")
    context.sent_ms_by_job = {}
    for number in range(span * 1_000 // gap):
        job_id = f"j{number}"
        context.sent_ms_by_job[job_id] = play.now_ms
        play.submit(play_support.make_job(job_id, step))
        play.run_for(gap)


@behave.when(
    'endpoint "{endpoint_id}" carries starts out {late:d} ms late and does '
    "not answer"
)
def when_late(context, endpoint_id, late):
    context.play.endpoint_by_id[endpoint_id].late_ms = late


@behave.when('endpoint "{endpoint_id}" answers again')
def when_not_late(context, endpoint_id):
    context.play.endpoint_by_id[endpoint_id].late_ms = 0


@behave.when("the store is away for {span:d} ms")
def when_store_away(context, span):
    context.play.store_up = False
    context.play.run_for(span)
    context.play.store_up = True


@behave.when("faults and jobs come for {span:d} s, by seed {seed:d}")
def when_faults(context, span, seed):
    play = context.play
    play.random.seed(seed)
    end_ms = play.now_ms + span * 1_000
    number = 0
    while play.now_ms < end_ms:
        step = play_support.make_step(
            play.random.randint(1, 6),
            estimate_ms=play.random.randint(200, 1_500),
        )
        second = play_support.make_step(2, after=(0,))
        play.submit(play_support.make_job(f"j{number}", step, second))
        number += 1
        if play.random.random() < 0.25:
            _inject(play)
        play.run_for(play.random.randint(50, 500))
    for endpoint in play.endpoint_by_id.values():
        endpoint.late_ms = 0
        endpoint.is_cut = False
    play.store_up = True
    play.take_over()


def _inject(play):
    """Injects one fault; the more lasting ones end by themselves."""
    names = sorted(play.endpoint_by_id)
    endpoint = play.endpoint_by_id[play.random.choice(names)]
    span_ms = play.random.randint(300, 6_000)
    kind = play.random.choice(
        ("cut", "late", "restart", "takeover", "store", "owner away")
    )
    if kind == "cut":
        endpoint.is_cut = True
        play.at(span_ms, lambda: setattr(endpoint, "is_cut", False))
    elif kind == "late":
        endpoint.late_ms = play.random.randint(200, 3_000)
        play.at(span_ms, lambda: setattr(endpoint, "late_ms", 0))
    elif kind == "restart":
        endpoint.restart()
    elif kind == "takeover":
        play.take_over()
    elif kind == "store":
        play.store_up = False
        play.at(span_ms, lambda: setattr(play, "store_up", True))
    else:
        play.lose_owner()
        play.run_for(min(span_ms, 3_000))
        play.take_over()


@behave.then('job "{job_id}" is completed within {most:d} ms')
def then_completed(context, job_id, most):
    play = context.play
    took_ms = play.run_until(lambda: job_id in play.done_ms_by_job, most)
    state = play.cell.state_of(job_id)
    assert job_id in play.done_ms_by_job, f"{took_ms} ms: {state}"


def _check_completed(context, missing, most):
    play = context.play
    wanted = len(play.job_by_id) - missing
    play.run_until(lambda: _count_completed(play) >= wanted, most)
    states = {
        job_id: play.cell.state_of(job_id)
        for job_id in play.job_by_id
        if play.cell.state_of(job_id) is not cells.JobState.COMPLETED
    }
    assert _count_completed(play) >= wanted, states


def _count_completed(play):
    return sum(
        play.cell.state_of(job_id) is cells.JobState.COMPLETED
        for job_id in play.job_by_id
    )


@behave.given("a store that takes {span:d} ms a write")
def given_slow_store(context, span):
    context.play.store_ms = span


@behave.then("at most {most:d} looks were made in all")
def then_few_looks(context, most):
    assert context.play.looks <= most, context.play.looks


@behave.then("at most {most:d} runs were started besides those needed")
def then_few_runs_more(context, most):
    play = context.play
    needed = len({task_id for task_id, _run, _endpoint in play.starts})
    assert len(play.starts) - needed <= most, len(play.starts) - needed


@behave.then("all jobs are completed within {most:d} ms")
def then_all_completed(context, most):
    _check_completed(context, 0, most)


@behave.then("all but {count:d} jobs are completed within {most:d} ms")
def then_most_completed(context, count, most):
    _check_completed(context, count, most)


@behave.then("no promise was broken")
def then_no_violation(context):
    assert not context.play.violations, context.play.violations[:5]


@behave.then('job "{job_id}" is shown as {state}')
def then_state(context, job_id, state):
    shown = context.play.cell.state_of(job_id)
    assert shown.value == state, shown


@behave.then("{count:d} tasks were started")
def then_started(context, count):
    assert len(context.play.starts) == count, context.play.starts


@behave.then("no task was started anew within {span:d} ms")
def then_not_anew(context, span):
    play = context.play
    seen = set()
    for task_id, run, _endpoint in play.starts:
        if run > 1:
            seen.add(task_id)
    assert seen
    restarted_ms = play.done_ms_by_job["j"] - 500
    assert restarted_ms - context.cut_ms >= span - 100, restarted_ms


@behave.then("at most {count:d} tasks ever run at a time")
def then_at_most(context, count):
    play = context.play
    most = 0
    for _round in range(200):
        play.run_for(20)
        running = sum(
            len(one.run_by_key) for one in play.endpoint_by_id.values()
        )
        most = max(most, running)
    assert 0 < most <= count, most


@behave.then('{count:d} tasks of job "{job_id}" run')
def then_running(context, count, job_id):
    running = [
        run
        for endpoint in context.play.endpoint_by_id.values()
        for run in endpoint.run_by_key.values()
        if run.job_id == job_id
    ]
    assert len(running) == count, running


@behave.then(
    "half of the jobs took at most {half:d} ms, and all at most {most:d} ms"
)
def then_took(context, half, most):
    done_ms = context.play.done_ms_by_job
    took = sorted(
        done_ms.get(job_id, context.play.now_ms) - sent_ms
        for job_id, sent_ms in context.sent_ms_by_job.items()
    )
    assert took[len(took) // 2] <= half, took
    assert took[-1] <= most, took


@behave.then("the large task started within {most:d} ms")
def then_large_started(context, most):
    task_id = cells.TaskId("large", 0, 0, 0)
    started_ms = context.play.start_ms_by_task.get(task_id)
    assert started_ms is not None
    waited_ms = started_ms - context.large_sent_ms
    assert waited_ms <= most, waited_ms


@behave.then("at most {count:d} questions were open at a time")
def then_questions(context, count):
    assert 0 < context.play.most_questions <= count, (
        context.play.most_questions
    )


@behave.then("the policy service was asked {count:d} times")
def then_asked(context, count):
    assert len(context.play.asked) == count, context.play.asked
