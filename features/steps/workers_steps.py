"""Steps about worker owners and the worker protocol."""

import random

import attrs
import behave

from samphiregate.adapters import http
from samphiregate.adapters import peers
from samphiregate.adapters import workers as worker_adapter
from samphiregate.core import base
from samphiregate.core import jobs
from samphiregate.core.jobs import _peer as job_messages
from samphiregate.core import model
from samphiregate.core import workers
from standins import older
from standins import processes
from standins import worker as worker_standin

SAMPLE_MS = 500
TASK = model.TaskId("dc1-0a", 3)
CAPACITY = (8_000, 16_000, 0)


@behave.when("the limit of the job site's team is lowered to {limit:d}")
def when_limit_lowered(context, limit):
    site = context.site
    site.limit_by_team["a"] = limit
    # The site's check requires the new limit at once; it is suspended until
    # the tasks above the limit should have ended.
    site.check = lambda: None
    parts = len(site.vms_by_id)
    for entry_vm in site.vms_by_id.values():
        entry_vm.tokens.share_by_team["a"] = limit // parts


@behave.then(
    "within {limit_s:d} s at most {max_count:d} tasks run at the job site, "
    "and at least {min_count:d} keep running"
)
def then_limit_enforced(context, limit_s, max_count, min_count):
    site = context.site
    site.run_for(limit_s * 1_000)
    del site.check
    for _second in range(10):
        site.run_for(1_000)
        assert min_count <= len(site.running()) <= max_count, len(
            site.running()
        )


@behave.when(
    "{count:d} tasks that use {factor:d} times their size run at the job "
    "site for {run_s:d} s"
)
def when_over_use(context, count, factor, run_s):
    site = context.site
    site.submit(
        "vm0",
        "job",
        "batch",
        count,
        run_time_ms=60_000,
        command=f"use={factor}",
    )
    assert site.run_until(lambda: len(site.running()) == count, 5_000)
    context.started = site.running()
    site.run_for(run_s * 1_000)


@behave.then("they were throttled at the job site, and none was stopped")
def then_throttled(context):
    site = context.site
    (worker,) = site.workers_by_id.values()
    assert context.started == site.running(), site.running()
    used = sum(
        attempt.used[0]
        for attempt in worker.attempts_by_key.values()
        if attempt.state == "running"
    )
    assert used <= worker.capacity[0], used
    kinds = {kind for _at_ms, kind, _key in worker.history}
    assert kinds == {"start"}, kinds


@behave.given(
    "an older scheduler with {count:d} tasks of {cores:d} core and {run_s:d} "
    "s, which starts draining after {start_s:d} s, for {drain_s:d} s"
)
def given_older(context, count, cores, run_s, start_s, drain_s):
    site = context.site
    context.older = older.OlderScheduler(
        tasks=count,
        amount=(cores * 1_000, cores * 1_000, 0),
        run_ms=run_s * 1_000,
        drain_start_ms=start_s * 1_000,
        drain_ms=drain_s * 1_000,
        random_state=random.Random(5),
    )
    context.older_running = []
    context.used = []

    def place_on(worker_id):
        def place(task_id, amount, run_ms):
            worker = site.workers_by_id[worker_id]
            now_ms = site.clock_of(worker_id)
            end_ms = now_ms + run_ms
            return worker.place_foreign(task_id, amount, end_ms, now_ms)

        return place

    places = [place_on(worker_id) for worker_id in site.workers_by_id]

    def step():
        context.older.step(places, site.now_ms)
        running = len(context.older.end_ms_by_task)
        context.older_running.append((site.now_ms, running))
        context.used.append((site.now_ms, running + len(site.running())))
        site._schedule(500, step)

    step()
    site.run_for(3_000)


@behave.when(
    "{count:d} tasks of {run_s:d} s and a service of 40 tasks are submitted "
    "to the job site, and {wait_s:d} s pass"
)
def when_tasks_submitted(context, count, run_s, wait_s):
    site = context.site
    site.submit("vm0", "job", "batch", count, run_time_ms=run_s * 1_000)
    site.submit("vm1", "more", "service", 40)
    site.run_for(wait_s * 1_000)


@behave.then(
    "the older scheduler kept at least {min_count:d} of its tasks before it "
    "drained"
)
def then_older_kept(context, min_count):
    start_ms = context.older.drain_start_ms
    running_counts = [
        count for at_ms, count in context.older_running if at_ms < start_ms
    ]
    settled = running_counts[len(running_counts) // 3 :]
    assert min(settled) >= min_count, settled


@behave.then(
    "after it drained the job site used on average at least {min_cores:d} of "
    "its {total:d} cores"
)
def then_cores_used(context, min_cores, total):
    # The average begins 20 s after the drain has ended.
    begin_ms = context.older.drain_start_ms + context.older.drain_ms + 20_000
    used = [count for at_ms, count in context.used if at_ms > begin_ms]
    assert used and max(used) <= total, used
    assert sum(used) / len(used) >= min_cores, used


@behave.then("starts refused at the job site were at most {percent:d}% of all")
def then_few_refused(context, percent):
    started = refused = 0
    for worker in context.site.workers_by_id.values():
        for _at_ms, kind, _key in worker.history:
            started += kind == "start"
            refused += kind == "refused"
    assert started, "nothing started"
    assert refused <= (started + refused) * percent / 100, (refused, started)


@behave.given("a worker stand-in served over HTTP")
def given_served(context):
    context.workers_by_id = worker_standin.build_workers(
        ["w-0"], CAPACITY, incarnation="1", sample_ms=SAMPLE_MS
    )
    application = worker_standin.Application(context.workers_by_id)
    context.clock_ms = application.clock_ms
    server = http.NoDelayServer("127.0.0.1:0", application)
    server.start()
    context.add_cleanup(server.stop)
    context.endpoint = f"127.0.0.1:{server.server_port}/workers/w-0"
    context.worker = context.workers_by_id["w-0"]


def _start_exchange(context, **changes):
    command = workers.StartTask(
        TASK,
        7,
        team="a",
        work_class=model.WorkClass.BATCH,
        resources=model.Resources(1_000, 1_000, 0),
        run_time_ms=60_000,
    )
    if "resources" in changes:
        resources = changes.pop("resources")
        command = attrs.evolve(command, resources=resources)
    exchange = workers.ExchangeWithWorker(
        "w-0",
        context.endpoint,
        "vm0",
        epoch=4,
        sequence=9,
        incarnation="w-0.1",
        lease_until_ms=context.clock_ms() + 60_000,
        commands=(command,),
    )
    return attrs.evolve(exchange, **changes)


@behave.when("an owner starts a task there with {fault}")
def when_exchange(context, fault):
    worker = context.worker
    worker.epoch, worker.sequence = 4, 8
    changes = {}
    if fault == "lost answer":
        worker.faults.lose_answers = 1
    elif fault == "no listener":
        changes["endpoint"] = processes.free_endpoint()
    elif fault == "lower epoch":
        changes["epoch"] = 3
    elif fault == "old sequence":
        changes["sequence"] = 8
    elif fault == "expired lease":
        changes["lease_until_ms"] = context.clock_ms() - 1
    elif fault == "old incarnation":
        changes["incarnation"] = "w-0.0"
    elif fault == "too large":
        changes["resources"] = model.Resources(9_000, 1, 0)
    events = []
    adapter = worker_adapter.WorkerExchanges(
        deliver=events.append, timeout_ms=500, senders=2
    )
    with adapter:
        adapter.perform(_start_exchange(context, **changes))
        processes.wait_until(lambda: events, 10, "an exchange")
    (context.event,) = events


@behave.then(
    "the exchange of the stand-in ends as {outcome} and the task ran "
    "{starts:d} times"
)
def then_exchange(context, outcome, starts):
    event = context.event
    if isinstance(event, workers.WorkerAnswered):
        actual = model.AttemptOutcome.ANSWERED
    else:
        actual = event.outcome
    assert actual is model.AttemptOutcome(outcome), event
    started = [
        entry for entry in context.worker.history if entry[1] == "start"
    ]
    assert len(started) == starts, started


def _example_messages():
    """Returns an example of each message class, with every field set."""
    spec = model.JobSpec(
        "dc1-0a",
        "a",
        model.WorkClass.GANG,
        2,
        model.Resources(1, 2, 3),
        5,
        urgent=True,
        checkpointable=True,
        max_attempts=4,
        command="c",
    )
    attempt = workers.AttemptId(TASK, workers.attempt_number(3, 9))
    order = workers.TaskOrder(
        TASK,
        attempt.attempt,
        "a",
        model.WorkClass.SERVICE,
        model.Resources(1, 2, 3),
        avoided_racks=("r1", "r2"),
        avoided_workers=("w1",),
        reservation="x#1.1",
    )
    news = workers.TaskNews(
        TASK,
        attempt.attempt,
        workers.TaskPhase.CHECKPOINTED,
        "w1",
        reason=workers.TaskReason.PREEMPTED,
        checkpoint="done_ms:4",
        remaining_ms=8,
    )
    view = jobs.JobView(
        "dc1-0a",
        "a",
        model.WorkClass.GANG,
        model.JobState.RUNNING,
        2,
        task_counts_by_state={"running": 2},
    )
    copy = job_messages.JobCopy(
        spec, 4, True, (job_messages.TaskMark(1, "failed", 2, 3, "x", 4),)
    )
    marks = job_messages.JobMarks("dc1-0b", 1, 2, False, copy.marks)
    stop = workers.TaskStop(TASK, 1, True)
    resources = model.Resources(1, 2, 3)
    usage = (workers.TeamUsage("a", resources),)
    return (
        workers.TaskOrders(5, (order,), (stop,), (attempt,)),
        workers.TaskNewsBatch((news, news)),
        workers.TasksOfShard(1, 2, 3, (workers.WorkerShard(4, 5),), (news,)),
        workers.RoomSummary(resources, resources, resources, usage, True),
        workers.ReserveGang("x#1.1", "dc1-0a", "a", resources, 3, 4, 5),
        job_messages.ForwardSubmit("vm0", "c1", spec, 2),
        job_messages.ForwardedAnswer(jobs.JobAnswer("c1", (view,))),
        job_messages.KeepJobs(1, 2, 3, (copy,), (marks,), ("dc1-0c",)),
    )


@behave.then("the peer codec preserves every field of {kind}")
def then_codec(context, kind):
    messages = {
        type(example).__name__: example for example in _example_messages()
    }
    message = messages[kind]
    assert isinstance(message, base.PeerMessage)
    assert _round_trip(message) == message


def _round_trip(message):
    (decoded,) = peers.decode_frames([peers.encode_frame(message)])
    return decoded
