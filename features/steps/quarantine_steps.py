"""Steps for the quarantine policy."""

import behave

from samphiregate.core import quarantine


def _end_task(context, job_id, worker_id, succeeded, now_ms):
    event = quarantine.TaskEnded(worker_id, job_id, succeeded)
    context.quarantine_policy.observe(event, now_ms)


def _may_use(context, now_ms):
    question = quarantine.MayUseWorker("1")
    return context.quarantine_policy.choose(question, now_ms)


@behave.given("a quarantine policy")
def given_quarantine_policy(context):
    context.quarantine_policy = quarantine.QuarantinePolicy()


@behave.given(
    "a quarantine policy that keeps the histories of at most {count:d} jobs"
)
def given_bounded_policy(context, count):
    context.quarantine_policy = quarantine.QuarantinePolicy(max_jobs=count)


@behave.step("worker 1 is quarantined at {now:d} ms")
def given_quarantined(context, now):
    for number in range(3):
        _end_task(context, f"job-{now}-{number}", "1", False, now)
    assert not _may_use(context, now)


@behave.when("tasks end as {ends}")
def when_ends(context, ends):
    for text in ends.split():
        _end_task(context, text[0], text[1:-1], text[-1] == "+", 0)


@behave.when("probes at {times} ms fail")
def when_probes(context, times):
    if times == "no":
        return
    for text in times.split(","):
        now_ms = int(text)
        job_id = f"probe-{now_ms}"
        assert _may_use(context, now_ms)
        context.quarantine_policy.observe(
            quarantine.TaskStarting("1", job_id), now_ms
        )
        assert not _may_use(context, now_ms)
        _end_task(context, job_id, "1", False, now_ms)


@behave.when("a probe begins at {now:d} ms")
def when_probe_begins(context, now):
    context.quarantine_policy.observe(
        quarantine.TaskStarting("1", "probe"), now
    )


@behave.when("a probe begins at {now:d} ms and succeeds")
def when_probe_succeeds(context, now):
    context.quarantine_policy.observe(
        quarantine.TaskStarting("1", "probe"), now
    )
    _end_task(context, "probe", "1", True, now + 1)


@behave.when("{count:d} jobs fail once each on workers of their own")
def when_many_fail(context, count):
    context.worker_ids = [f"w-{number}" for number in range(count)]
    for worker_id in context.worker_ids:
        _end_task(context, f"job-{worker_id}", worker_id, False, 0)


@behave.then("the quarantined workers are {workers} and the bad jobs {jobs}")
def then_attributed(context, workers, jobs):
    description = context.quarantine_policy.describe()
    expected = [] if workers == "none" else workers.split(",")
    assert description["quarantined"] == expected, description
    expected = [] if jobs == "none" else jobs.split(",")
    assert description["bad_jobs"] == expected, description
    for job_id in "abcd":
        question = quarantine.MayRetryJob(job_id)
        may_retry = context.quarantine_policy.choose(question, 0)
        assert may_retry == (job_id not in expected), job_id


@behave.then(
    "it may not be used at {before:d} ms but may be used at {after:d} ms"
)
def then_not_before(context, before, after):
    assert not _may_use(context, before)
    assert _may_use(context, after)


@behave.then("it may be used at {now:d} ms")
def then_may_use(context, now):
    assert _may_use(context, now)


@behave.then("it keeps {count:d} job histories")
def then_keeps_jobs(context, count):
    assert len(context.quarantine_policy.jobs_by_id_) == count


@behave.then("it keeps no worker history after all workers are removed")
def then_drops_workers(context):
    for worker_id in context.worker_ids:
        event = quarantine.WorkerRemoved(worker_id)
        context.quarantine_policy.observe(event, 0)
    assert not context.quarantine_policy.workers_by_id_
