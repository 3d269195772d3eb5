"""Steps about waits for places near data or a gang."""

import random
import statistics
from unittest import mock

import behave

from features.support import cells as cells_support
from features.support import cells_places
from features.support import cells_work
from samphiregate.core import cells
from samphiregate.core.cells import _rack_forecast
from samphiregate import logs

CORES = 4
ENDPOINTS_PER_RACK = 2
NO_LIMIT_MS = 10**9
SLACK_MS = 150  # for polls, writes and orders
MAX_SPAN_MS = 120_000
MIXED_GAP_MS = 150
RESTART_SHARE = 0.05
OWNER_AWAY_MS = 300


def _make(racks, far_x, max_wait_ms=NO_LIMIT_MS):
    simulation = cells_support.CellSimulation()
    simulation.far_x = far_x
    simulation.max_place_wait_ms = max_wait_ms
    for number in range(racks * ENDPOINTS_PER_RACK):
        rack = f"r{number // ENDPOINTS_PER_RACK}"
        simulation.add_endpoint(
            f"e{number}", cpu=CORES * 1_000, labels=("a", rack)
        )
    simulation.take_over()
    simulation.run_for(50)
    return simulation


def _without_wait(racks, far_x):
    return _make(racks, far_x, max_wait_ms=0)


def _wait_for_ever(racks, far_x):
    simulation = _make(racks, far_x)
    cells_places.wait_for_ever(simulation)
    return simulation


WAYS = {"decided": _make, "no wait": _without_wait, "ever": _wait_for_ever}


def _elapsed_ms(simulation, job):
    """Submits a job; returns the time until it is completed."""
    started_ms = simulation.now_ms
    simulation.submit(job)
    simulation.run_until(
        lambda: job.job_id in simulation.done_ms_by_job, MAX_SPAN_MS
    )
    assert not simulation.violations, simulation.violations
    return simulation.done_ms_by_job[job.job_id] - started_ms


@behave.given("{racks:d} racks, and tasks that take {far_x:f} times far away")
def given_racks(context, racks, far_x):
    context.racks = racks
    context.far_x = far_x
    context.fills = []
    context.factor = 1.0


@behave.given('rack "{rack}" is full for {span_ms:d} ms')
def given_full(context, rack, span_ms):
    context.fills.append((rack, span_ms, {}))


@behave.given('rack "{rack}" has {spare:d} cores free on each endpoint')
def given_nearly_full(context, rack, spare):
    context.fills.append((rack, 60_000, {"spare": spare}))


@behave.given(
    'rack "{rack}" is full for {span_ms:d} ms, while {told_ms:d} ms are told'
)
def given_full_told(context, rack, span_ms, told_ms):
    context.fills.append((rack, span_ms, {"told_ms": told_ms}))


@behave.given(
    'rack "{rack}" has {span_ms:d} ms with {spare:d} cores free on each '
    "endpoint"
)
def given_nearly_full_for(context, rack, span_ms, spare):
    context.fills.append((rack, span_ms, {"spare": spare}))


@behave.given("all tasks take {factor:f} times their estimate")
def given_factor(context, factor):
    context.factor = factor


def _prepare(context, make):
    simulation = make(context.racks, context.far_x)
    simulation.underestimate_factor = context.factor
    for rack, span_ms, told in context.fills:
        cells_places.fill_rack(simulation, rack, span_ms, **told)
    return simulation


def _step(count, task_ms, **kwargs):
    kwargs = {"rack": cells_places.HOT_RACK, **kwargs}
    return cells_work.make_step(count, estimate_ms=task_ms, **kwargs)


@behave.when(
    "a job of {count:d} tasks of {task_ms:d} ms is played in each way"
)
def when_played(context, count, task_ms):
    context.task_ms = task_ms
    step = _step(count, task_ms)
    _play(context, cells_work.make_job("j", step, stretch=20.0))


@behave.when(
    "a gang of {count:d} tasks of {task_ms:d} ms that want one rack is played "
    "in each way"
)
def when_gang_played(context, count, task_ms):
    context.task_ms = task_ms
    step = _step(count, task_ms, rack="", gang=True, same_rack=True)
    _play(context, cells_work.make_job("j", step, stretch=20.0))


def _play(context, job):
    context.elapsed_by_way = {}
    for way, make in WAYS.items():
        simulation = _prepare(context, make)
        context.elapsed_by_way[way] = _elapsed_ms(simulation, job)
        if way == "decided":
            context.simulation = simulation


@behave.then("the decision is within {share:f} G of the better of both")
def then_bound(context, share):
    elapsed = context.elapsed_by_way
    better = min(elapsed["no wait"], elapsed["ever"])
    bound_ms = share * _saved_ms(context)
    assert elapsed["decided"] <= better + bound_ms + SLACK_MS, elapsed


@behave.then("the decision takes at most {share:f} G longer than no wait")
def then_not_longer(context, share):
    elapsed = context.elapsed_by_way
    bound_ms = share * _saved_ms(context)
    assert elapsed["decided"] <= elapsed["no wait"] + bound_ms + SLACK_MS


def _saved_ms(context):
    """Returns what a near place saves, as expected or in truth."""
    task_ms = context.task_ms * max(1.0, context.factor)
    return (context.far_x - 1) * task_ms


@behave.then("it takes as long as {way}")
def then_as(context, way):
    elapsed = context.elapsed_by_way
    assert abs(elapsed["decided"] - elapsed[way]) <= SLACK_MS, elapsed


@behave.when(
    "jobs of {count:d} tasks of {task_ms:d} ms come every {gap_ms:d} ms for "
    "{span_ms:d} ms, in each way"
)
def when_stream(context, count, task_ms, gap_ms, span_ms):
    context.task_ms = task_ms
    context.elapsed_by_way = {}
    step = _step(count, task_ms)
    for way, make in WAYS.items():
        simulation = _prepare(context, make)
        started_ms = simulation.now_ms
        cells_work.submit_stream(simulation, step, gap_ms, span_ms)
        total = span_ms // gap_ms
        simulation.run_until(
            lambda simulation=simulation: (
                len(simulation.done_ms_by_job) >= total
            ),
            MAX_SPAN_MS,
        )
        assert not simulation.violations, simulation.violations
        context.elapsed_by_way[way] = statistics.fmean(
            simulation.done_ms_by_job[f"j{number}"]
            - started_ms
            - number * gap_ms
            for number in range(total)
        )


@behave.given("a simulation in which tasks wait at most {max_wait_ms:d} ms")
def given_simulation(context, max_wait_ms):
    context.simulation = _prepare(
        context,
        lambda racks, far_x: _make(racks, far_x, max_wait_ms=max_wait_ms),
    )


@behave.when(
    'job "{job_id}" of {count:d} near tasks of {task_ms:d} ms is submitted, '
    "due after {factor:f} times its path and {target_ms:d} ms"
)
def when_submitted(context, job_id, count, task_ms, factor, target_ms):
    job = cells_work.make_job(
        job_id,
        _step(count, task_ms),
        stretch=factor,
        target_ms=target_ms,
    )
    context.submitted_ms = context.simulation.now_ms
    context.simulation.submit(job)


@behave.when(
    'a gang "{job_id}" of {count:d} tasks of {task_ms:d} ms that want one '
    "rack is submitted"
)
def when_gang_submitted(context, job_id, count, task_ms):
    step = _step(count, task_ms, rack="", gang=True, same_rack=True)
    context.submitted_ms = context.simulation.now_ms
    context.simulation.submit(
        cells_work.make_job(job_id, step, stretch=20.0, priority=0)
    )


@behave.when(
    "single tasks of {task_ms:d} ms come every {gap_ms:d} ms for "
    "{span_ms:d} ms"
)
def when_single_tasks(context, task_ms, gap_ms, span_ms):
    step = _step(1, task_ms, rack="")
    cells_work.submit_stream(context.simulation, step, gap_ms, span_ms)


@behave.when(
    "{jobs:d} jobs of {count:d} near tasks of {task_ms:d} ms come at once"
)
def when_at_once(context, jobs, count, task_ms):
    for number in range(jobs):
        job = cells_work.make_job(
            f"j{number}", _step(count, task_ms), stretch=20.0
        )
        context.simulation.submit(job)


@behave.then("one plan forecasts the room of {count:d} rack")
def then_forecasts(context, count):
    simulation = context.simulation
    made = []
    original = _rack_forecast.RackForecast

    def record(endpoints, now_ms):
        made.append(now_ms)
        return original(endpoints, now_ms)

    with mock.patch.object(_rack_forecast, "RackForecast", record):
        simulation.run_for(10)
    assert made == [simulation.now_ms] * count, made


@behave.when('rack "{rack}" {fate}')
def when_rack(context, rack, fate):
    simulation = context.simulation
    for endpoint in simulation.endpoint_by_id.values():
        if cells_places.rack_of(endpoint) != rack:
            continue
        if fate == "drains":
            endpoint.draining = True
            simulation.announce(endpoint.registration)
        elif fate == "leaves the network":
            endpoint.is_partitioned = True
        else:
            endpoint.leave()
            simulation.announce(
                cells.EndpointDeregistered(endpoint.endpoint_id)
            )


def _random_job(rnd, job_id):
    """Returns a job of one step that wants a place, or of small tasks."""
    timings = cells.PolicyTimings(30, 0.1, 2_000)
    kinds = (
        {},
        {"advice": timings},
        {"gang": True, "same_rack": True, "rack": ""},
        {"gang": True},
        {"rack": ""},
        {"most_per_endpoint": 1},
    )
    kwargs = dict(rnd.choice(kinds))
    advice = kwargs.pop("advice", None)
    step = _step(
        rnd.randrange(1, 5),
        rnd.choice((200, 700, 2_000)),
        cpu=rnd.choice((500, 1_000, 2_000)),
        **kwargs,
    )
    return cells_work.make_job(
        job_id, step, advice=advice, stretch=rnd.choice((1.5, 4.0))
    )


@behave.when(
    "mixed jobs come for {span_s:d} s while endpoints restart and the owner "
    "is lost every {every_ms:d} ms, with seed {seed:d}"
)
def when_mixed(context, span_s, every_ms, seed):
    simulation = context.simulation
    rnd = random.Random(seed)
    next_loss_ms = simulation.now_ms + every_ms
    for number in range(span_s * 1_000 // MIXED_GAP_MS):
        simulation.submit(_random_job(rnd, f"j{number}"))
        if rnd.random() < RESTART_SHARE:
            rnd.choice(list(simulation.endpoint_by_id.values())).restart()
        simulation.run_for(MIXED_GAP_MS)
        if simulation.now_ms >= next_loss_ms:
            next_loss_ms += every_ms
            simulation.kill_owner()
            simulation.run_for(OWNER_AWAY_MS)
            simulation.take_over()


@behave.then("all of them are completed, and no invariant was violated")
def then_all_completed(context):
    simulation = context.simulation
    simulation.run_until(
        lambda: len(simulation.done_ms_by_job) == len(simulation.job_by_id),
        MAX_SPAN_MS,
    )
    missing = set(simulation.job_by_id) - set(simulation.done_ms_by_job)
    assert not missing, missing
    assert not simulation.violations, simulation.violations


@behave.then("tasks have waited for a place")
def then_have_waited(context):
    events = {line.event for line in context.simulation.log_lines}
    assert "place wait paid" in events, events


@behave.when("the owner is lost and another takes over {span_ms:d} ms later")
def when_owner_lost(context, span_ms):
    simulation = context.simulation
    simulation.kill_owner()
    simulation.run_for(span_ms)
    simulation.take_over()


@behave.then('job "{job_id}" is completed {span_ms:d} ms after it came')
def then_completed(context, job_id, span_ms):
    simulation = context.simulation
    simulation.run_until(
        lambda: job_id in simulation.done_ms_by_job, MAX_SPAN_MS
    )
    took_ms = simulation.done_ms_by_job[job_id] - context.submitted_ms
    assert took_ms <= span_ms + SLACK_MS, took_ms
    assert not simulation.violations, simulation.violations


@behave.then("the waits are counted as {counts}")
def then_counted(context, counts):
    counted = context.simulation.cell.load()["place_waits"]
    told = ", ".join(f"{count} {what}" for what, count in counted.items())
    assert (told or "nothing") == counts, told


@behave.then('the story of job "{job_id}" tells of a wait that {what}')
def then_told(context, job_id, what):
    story = logs.tell(context.simulation.log_lines, job_id)
    events = [line.event for line in story.lines]
    assert "place wait begun" in events, events
    begun = next(
        line for line in story.lines if line.event == "place wait begun"
    )
    assert {"near_ms", "far_ms", "expected_wait_ms"} <= set(begun.fields)
    assert f"place wait {what}" in events, events


@behave.then('the longest wait of job "{job_id}" is explained by "{event}"')
def then_decisive(context, job_id, event):
    story = logs.tell(context.simulation.log_lines, job_id)
    assert story.decisive is not None, story
    assert story.lines[story.decisive].event == event, story
