"""Steps about jobs on a site in virtual time."""

import sys

import behave

from features.support import job_faults
from features.support import jobs as support
from samphiregate.core import jobs
from samphiregate.core import model
from samphiregate import errors

SETTLE_MS = 3_000
FULL_PLAN_TEAM = "a"


def _resources(cores):
    return model.Resources(int(cores * 1_000), int(cores * 1_000), 0)


def _inject_fault(context, fault, job_id):
    job_faults.FAULTS_BY_NAME[fault](context.site, job_id)


def _accepted(site, call_id):
    assert site.run_until(lambda: call_id in site.answers_by_call, 30_000)
    answer = site.answers_by_call[call_id]
    assert answer.error is None, answer
    return answer.jobs[0].job_id


@behave.given(
    "a job site of {vms:d} entry VMs and {count:d} workers of {cores:d} "
    "cores, where a team may run {limit:d} tasks"
)
def given_site(context, vms, count, cores, limit):
    context.site = support.Site(
        vm_count=vms,
        worker_count=count,
        capacity=model.Resources(cores * 1_000, cores * 2_000, 0),
        limit_by_team={FULL_PLAN_TEAM: limit, "slow": limit},
    )
    context.site.configure()
    context.site.run_for(SETTLE_MS)


@behave.given(
    "a batch job of {count:d} tasks of {run_s:d} s of which a task has been "
    "running for {delay_ms:d} ms"
)
def given_running_batch(context, count, run_s, delay_ms):
    site = context.site
    site.submit("vm0", "job", "batch", count, run_time_ms=run_s * 1_000)
    assert site.run_until(site.running, 5_000)
    site.run_for(delay_ms)
    context.job_id = _accepted(site, "job")


@behave.given("a service of {count:d} replicas that runs")
def given_service(context, count):
    site = context.site
    site.submit("vm1", "job", "service", count)
    assert site.run_until(lambda: len(site.running()) == count, 10_000)
    context.job_id = _accepted(site, "job")


@behave.given(
    "a site filled by {soft:d} checkpointable and {hard:d} other tasks of "
    "{run_s:d} s"
)
def given_full_site(context, soft, hard, run_s):
    site = context.site
    run_ms = run_s * 1_000
    site.submit(
        "vm0", "soft", "batch", soft, run_time_ms=run_ms, checkpointable=True
    )
    site.submit("vm0", "hard", "batch", hard, run_time_ms=run_ms)
    site.run_until(lambda: len(site.running()) >= 32, 15_000)
    context.filling = len(site.running())
    site.run_for(2_000)


@behave.when(
    "a job of {count:d} {work_class} tasks of {cores:g} cores is submitted "
    "by team {team}, urgent {urgent}"
)
def when_submitted(context, count, work_class, cores, team, urgent):
    context.site.submit(
        "vm0",
        "job",
        work_class,
        count,
        team=team,
        resources=_resources(cores),
        urgent=urgent == "yes",
    )


@behave.then("the job site refuses it with {code} and runs none of its tasks")
def then_refused(context, code):
    context.site.run_for(1_000)
    answer = context.site.answers_by_call["job"]
    assert answer.error is errors.ErrorCode(code), answer
    assert answer.ran is errors.Ran.NO
    assert not context.site.running()


@behave.when("this happens at the job site: {fault}")
def when_fault(context, fault):
    _inject_fault(context, fault, context.job_id)


@behave.then(
    "every task of the job succeeds exactly once within {limit_s:d} s"
)
def then_succeeds(context, limit_s):
    site = context.site
    ended = site.run_until(
        lambda: site.has_ended(context.job_id), limit_s * 1_000
    )
    record = site.record_of(context.job_id)
    assert ended, record and record.count_by_state
    assert record.state() is model.JobState.SUCCEEDED, record.count_by_state
    for index in range(record.spec.task_count):
        task = (context.job_id, index)
        count = site.successes_by_task[task]
        assert count == 1 or (count and task in site.lost_successes), task


@behave.then("the job site holds no resources and no tokens any more")
def then_nothing_held(context):
    site = context.site
    site.exchange_filter = lambda *_arguments: "deliver"
    site.peer_filter = lambda *_arguments: (0,)
    site.run_for(45_000)
    assert not site.running(), site.running()
    assert site.held_tokens() == 0
    for one in site.vms_by_id.values():
        ledger = one.worker_owner.ledger_
        assert not ledger.live_by_task and not ledger.unacknowledged_by_id
        for record in ledger.workers_by_id.values():
            assert not record.allocation.booking_by_task_
    for worker_id, worker in site.workers_by_id.items():
        if worker_id not in site.down_workers:
            assert not worker.attempts_by_key, worker_id


@behave.when(
    "a job is submitted with a key on vm0, then {fault}, then again on vm1"
)
def when_submitted_twice(context, fault):
    site = context.site
    site.submit("vm0", "first", "batch", 4, key="k1")
    job_id = _accepted(site, "first")
    _inject_fault(context, fault, job_id)
    again = "vm1" if "vm1" in site.vms_by_id else "vm2"
    site.submit(again, "second", "batch", 4, key="k1")
    _accepted(site, "second")
    site.submit(again, "third", "batch", 5, key="k1")


@behave.then("both submissions to the job site are answered with the same job")
def then_same_job(context):
    site = context.site
    assert site.job_of("first") == site.job_of("second")
    assert site.run_until(lambda: site.has_ended(site.job_of("first")), 60_000)
    assert sum(site.successes_by_task.values()) == 4


@behave.then("another job under the same key is refused as a conflict")
def then_conflict(context):
    answer = context.site.answers_by_call["third"]
    assert answer.error is errors.ErrorCode.CONFLICT, answer


def _run_until_answered(site, call_id):
    """Runs until an owner has sent an answer; returns owner and answer."""
    sent = []
    deliver = site.peer_filter

    def watch(sender, recipient, message):
        answer = getattr(message, "answer", None)
        if answer is not None and answer.call_id == call_id:
            sent.append((sender, answer))
        return deliver(sender, recipient, message)

    site.peer_filter = watch
    while not sent:
        site.run_for(1)
    return sent[0]


@behave.when(
    "a job owner of the job site crashes {delay_ms:d} ms after it answered "
    "{call}, and its other messages in flight are lost"
)
def when_owner_crashes_after(context, delay_ms, call):
    site = context.site
    site.submit("vm0", "job", "batch", 4)
    owner, answer = _run_until_answered(site, "job")
    context.job_id = answer.jobs[0].job_id
    if call == "cancel":
        site.run_for(50)
        caller = next(one for one in site.vms_by_id if one != owner)
        cancel = jobs.CancelJob("cancel", FULL_PLAN_TEAM, context.job_id)
        site.deliver(caller, cancel)
        _run_until_answered(site, "cancel")
    site.run_for(delay_ms)
    site.crash(owner, lose_sent=True)


@behave.then("the job of the job site still {outcome}")
def then_still(context, outcome):
    site = context.site
    ended = site.run_until(lambda: site.has_ended(context.job_id), 60_000)
    assert ended, "the job is lost or did not end in time"
    state = site.record_of(context.job_id).state()
    expected_states = {
        "succeeds": model.JobState.SUCCEEDED,
        "shows as cancelled": model.JobState.CANCELLED,
    }
    assert state is expected_states[outcome], state


@behave.when(
    "a batch job of {count:d} tasks is cancelled {delay_ms:d} ms after it was "
    "accepted, with {fault}"
)
def when_cancelled(context, count, delay_ms, fault):
    site = context.site
    site.submit("vm0", "job", "batch", count, run_time_ms=20_000)
    while "job" not in site.answers_by_call:
        site.run_for(1)
    context.job_id = site.job_of("job")
    site.run_for(delay_ms)
    _inject_fault(context, fault, context.job_id)
    caller = sorted(site.vms_by_id)[0]
    cancel = jobs.CancelJob("cancel", FULL_PLAN_TEAM, context.job_id)
    site.deliver(caller, cancel)


@behave.then(
    "no task of the job runs at the job site after {wait_s:d} s, and it "
    "shows as cancelled"
)
def then_cancelled(context, wait_s):
    site = context.site
    site.run_for(wait_s * 1_000)
    assert not site.running(), site.running()
    assert site.answers_by_call["cancel"].error is None
    caller = sorted(site.vms_by_id)[0]
    show = jobs.ShowJob("show", FULL_PLAN_TEAM, context.job_id)
    site.deliver(caller, show)
    site.run_for(5_000)
    (view,) = site.answers_by_call["show"].jobs
    assert view.state is model.JobState.CANCELLED, view


class PartialGangMonitor:
    """Measures for how long gangs run in part."""

    def __init__(self, site):
        self.site = site
        self.since_ms_by_job = {}
        self.longest_partial_ms = 0
        self.job_ids = []

    def inspect(self):
        """Inspects the workers; must be called after each step."""
        for job_id in self.job_ids:
            running = len(self.site.running(job_id))
            done = sum(
                count > 0
                for task, count in self.site.successes_by_task.items()
                if task[0] == job_id
            )
            if running in (0, 20) or running + done >= 20:
                self.since_ms_by_job.pop(job_id, None)
                continue
            now_ms = self.site.now_ms
            since_ms = self.since_ms_by_job.setdefault(job_id, now_ms)
            self.longest_partial_ms = max(
                self.longest_partial_ms, now_ms - since_ms
            )


@behave.when(
    "two gangs of {size:d} tasks and a batch job of {count:d} tasks are "
    "submitted, then {fault}"
)
def when_gangs(context, size, count, fault):
    site = context.site
    context.gang_monitor = PartialGangMonitor(site)
    site.submit("vm0", "batch", "batch", count, run_time_ms=3_000)
    site.submit("vm0", "gang1", "gang", size, run_time_ms=20_000)
    site.submit("vm1", "gang2", "gang", size, run_time_ms=20_000)
    context.jobs = [_accepted(site, one) for one in ("batch", "gang1")]
    context.jobs.append(_accepted(site, "gang2"))
    context.gang_monitor.job_ids = context.jobs[1:]
    check = site.check

    def check_and_inspect():
        check()
        context.gang_monitor.inspect()

    site.check = check_and_inspect
    site.run_until(lambda: site.running(context.jobs[1]), 30_000)
    _inject_fault(context, fault, context.jobs[1])


@behave.then("all three jobs of the job site succeed within {limit_s:d} s")
def then_gangs_succeed(context, limit_s):
    site = context.site

    def ended():
        return all(site.has_ended(one) for one in context.jobs)

    assert site.run_until(ended, limit_s * 1_000)
    states = {site.record_of(one).state() for one in context.jobs}
    assert states == {model.JobState.SUCCEEDED}, states


@behave.then("no gang of the job site ran in part for over {limit_s:d} s")
def then_gangs_whole(context, limit_s):
    longest_partial_ms = context.gang_monitor.longest_partial_ms
    assert longest_partial_ms <= limit_s * 1_000, longest_partial_ms


@behave.when(
    "a service of {count:d} replicas runs, its caller gives up, and its owner "
    "crashes before the job is replicated"
)
def when_copies_lost(context, count):
    site = context.site

    def choose(_sender, _recipient, message):
        return () if type(message).__name__ == "KeepJobs" else (0,)

    site.peer_filter = choose
    site.submit("vm0", "job", "service", count)
    assert site.run_until(lambda: len(site.running()) == count, 10_000)
    for one in site.vms_by_id.values():
        one.job_owner.call_forwarder_._pending_by_id.clear()
    site.crash(job_faults.owner_of_job(site, site.running()[0][0]))


@behave.then("nothing runs at the job site after {wait_s:d} s")
def then_nothing_runs(context, wait_s):
    site = context.site
    site.run_for(wait_s * 1_000)
    assert not site.running(), site.running()


@behave.when(
    "{count:d} batch tasks of {run_s:d} s are queued and then a gang of "
    "{size:d} tasks of {cores:d} cores"
)
def when_stream_and_gang(context, count, run_s, size, cores):
    site = context.site
    site.submit("vm0", "batch", "batch", count, run_time_ms=run_s * 1_000)
    assert site.run_until(lambda: len(site.running()) > 20, 10_000)
    site.submit("vm1", "gang", "gang", size, resources=_resources(cores))


@behave.then(
    "the gang of the job site ends within {limit_s:d} s, before the stream"
)
def then_gang_not_starved(context, limit_s):
    site = context.site
    _accepted(site, "gang")
    gang_id = site.job_of("gang")
    ended = site.run_until(lambda: site.has_ended(gang_id), limit_s * 1_000)
    assert ended, site.record_of(gang_id).count_by_state
    assert not site.has_ended(site.job_of("batch"))


@behave.then(
    "within {limit_s:d} s the service has {count:d} replicas on {racks:d} "
    "racks again"
)
def then_service(context, limit_s, count, racks):
    site = context.site
    site.run_for(limit_s * 1_000)
    worker_ids = site.workers_of(context.job_id)
    worker_ids = [one for one in worker_ids if one not in site.down_workers]
    assert len(worker_ids) == count, worker_ids
    used_racks = {int(one[1:]) // 4 for one in worker_ids}
    assert len(used_racks) == racks, worker_ids


@behave.when("{count:d} urgent tasks are submitted, with {fault}")
def when_urgent(context, count, fault):
    site = context.site
    _inject_fault(context, fault, site.job_of("soft"))
    context.hard_starts = _starts(site, "hard")
    site.submit("vm2", "urgent", "batch", count, urgent=True)
    context.urgent_ms = site.now_ms
    context.urgent_count = count


def _starts(site, call_id):
    job_id = site.job_of(call_id)
    return {
        task: count
        for task, count in site.starts_by_task.items()
        if task[0] == job_id
    }


@behave.then("each urgent task of the job site starts within {limit:d} ms")
def then_urgent_starts(context, limit):
    site = context.site

    def started():
        if "urgent" not in site.answers_by_call:
            return False
        return len(_starts(site, "urgent")) == context.urgent_count

    assert site.run_until(started, limit), _starts(site, "urgent")


@behave.then("only checkpointable tasks of the job site were ended early")
def then_checkpointable_ended(context):
    states = [
        (what, attempt[0])
        for worker in context.site.workers_by_id.values()
        for _at_ms, what, attempt in worker.history
        if what in ("stopped", "checkpointed")
    ]
    soft = context.site.job_of("soft")
    assert states and set(states) == {("checkpointed", soft)}, states


@behave.then("both jobs that filled the job site succeed within {limit_s:d} s")
def then_filling_succeeds(context, limit_s):
    site = context.site
    job_ids = [site.job_of("soft"), site.job_of("hard")]

    def ended():
        return all(site.has_ended(one) for one in job_ids)

    assert site.run_until(ended, limit_s * 1_000)


def _count_calls_of_cancel(queued):
    """Returns the number of Python calls to cancel one of queued jobs."""
    site = support.Site(
        vm_count=1,
        worker_count=1,
        capacity=model.Resources(1_000, 1_000, 0),
        limit_by_team={FULL_PLAN_TEAM: 1},
    )
    site.configure()
    site.run_for(SETTLE_MS)
    for number in range(queued):
        site.submit("vm0", f"job{number}", "batch", 1)
    site.run_for(200)
    job_id = site.job_of(f"job{queued // 2}")
    cancel = jobs.CancelJob("cancel", FULL_PLAN_TEAM, job_id)
    calls = [0]

    def count(_frame, event, _argument):
        calls[0] += event == "call"

    sys.setprofile(count)
    site.deliver("vm0", cancel)
    sys.setprofile(None)
    assert site.answers_by_call["cancel"].error is None
    return calls[0]


@behave.then(
    "cancelling one of {many:d} queued jobs costs at most {factor:g} times "
    "the calls of one of {few:d}"
)
def then_cancel_costs(context, many, factor, few):
    cost_many, cost_few = (
        _count_calls_of_cancel(many),
        _count_calls_of_cancel(few),
    )
    assert cost_many <= factor * cost_few, (cost_many, cost_few)


@behave.then(
    "the job site recorded {count:d} waits: {early:d} under {low:d} s, and "
    "{late:d} over {high:d} s"
)
def then_waits(context, count, early, low, late, high):
    recorded_actions = context.site.recorded_actions
    waits = [
        one.wait_ms
        for one in recorded_actions
        if isinstance(one, jobs.TaskStarted)
    ]
    assert len(waits) == count, waits
    assert sum(wait < low * 1_000 for wait in waits) == early, waits
    assert sum(wait > high * 1_000 for wait in waits) == late, waits


@behave.then(
    "the job site recorded {count:d} run times between {low:d} s and "
    "{high:d} s"
)
def then_run_times(context, count, low, high):
    recorded_actions = context.site.recorded_actions
    times = [
        one.run_ms
        for one in recorded_actions
        if isinstance(one, jobs.TaskFinished)
    ]
    assert len(times) == count, times
    assert all(low * 1_000 <= run <= high * 1_000 for run in times), times
