"""Steps that count what a plan looks at, and compare it with plain walks."""

import random

import attrs
import behave

from features.support import cells_work
from samphiregate.core import cells
from samphiregate.core.cells import _backoff
from samphiregate.core.cells import _endpoints
from samphiregate.core.cells import _placement
from samphiregate.core.cells import _planner
from samphiregate.core.cells import _policy_queries
from samphiregate.core.cells import _starts
from samphiregate.core.cells import _stragglers
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _usable_endpoints

CORES = 8_000
MEMORY_MB = 16_000


class _RecordingBackoff(_backoff.FailureBackoff):
    """Records the endpoints that a plan considers; none backs off."""

    def __init__(self, considered):
        super().__init__()
        self._considered = considered

    def is_backing_off(self, endpoint_id, now_ms):
        """See `FailureBackoff.is_backing_off`."""
        del now_ms
        self._considered.append(endpoint_id)
        return False


def _make_cell():
    return cells.Cell(epoch=1, lease_ms=5_000, inherited_lease_ms=7_400)


def _add_endpoint(cell_state, endpoint_id, capacity):
    registration = cells.EndpointRegistered(
        endpoint_id, cells_work.SERVICE, "", "", capacity
    )
    endpoint = _endpoints.Endpoint(registration, has_answered=True)
    cell_state.endpoint_by_id[endpoint_id] = endpoint
    return endpoint


def _add_job(cell_state, job_id, step):
    job = cells_work.make_job(job_id, step)
    cell_state.add_job(cells.JobStored(job), 0)
    return cell_state.entry_by_id[job_id].stages_by_key[0, 0]


@behave.given(
    "a planner of {endpoints:d} full endpoints and {stages:d} waiting stages"
)
def given_planner(context, endpoints, stages):
    cell_state = _make_cell().cell_state
    for number in range(endpoints):
        _add_endpoint(cell_state, f"e{number}", cells.Resources(500, 1_000))
    for number in range(stages):
        _add_job(cell_state, f"j{number}", cells_work.make_step(3))
    context.cell_state = cell_state
    context.considered = []
    context.planner = _planner.Planner(
        cell_state=cell_state,
        policy_queries=_policy_queries.PolicyQueries(
            add_action=cell_state.add_action
        ),
        failure_backoff=_RecordingBackoff(context.considered),
        check_endpoint=lambda _endpoint, _now_ms: None,
        slowness_estimator=_stragglers.SlownessEstimator(),
    )


@behave.when("a plan is made")
def when_planned(context):
    context.planner.plan(0, 1)


@behave.then("{count:d} endpoints were considered")
def then_considered(context, count):
    assert len(context.considered) == count, len(context.considered)


@behave.when("endpoint {number:d} grows to {cores:d} cores")
def when_grown(context, number, cores):
    endpoint = context.cell_state.endpoint_by_id[f"e{number}"]
    capacity = cells.Resources(cores * 1_000, cores * 1_000)
    endpoint.update_registration(
        attrs.evolve(endpoint.registration, capacity=capacity)
    )


@behave.then("{count:d} tasks are placed, and the others wait for {reason}")
def then_placed(context, count, reason):
    stages = list(context.cell_state.startable_stages.values())
    tasks = [task for stage in stages for task in stage.tasks]
    assert sum(not task.is_waiting for task in tasks) == count
    reasons = {one.waits_for.value for one in stages if one.startable()}
    assert reasons == {reason}, reasons


@behave.given("{count:d} endpoints with random runs, from seed {seed:d}")
def given_random_endpoints(context, count, seed):
    context.random = random.Random(seed)
    cell_state = _make_cell().cell_state
    for number in range(count):
        capacity = cells.Resources(
            context.random.choice((CORES, 2 * CORES)),
            MEMORY_MB,
            context.random.choice((0, 4)),
        )
        endpoint = _add_endpoint(cell_state, f"e{number}", capacity)
        _add_runs(context, cell_state, endpoint)
    context.cell_state = cell_state
    context.endpoints = list(cell_state.endpoint_by_id.values())


def _add_runs(context, cell_state, endpoint):
    for number in range(context.random.randrange(6)):
        step = cells.Step(
            1, _random_need(context), context.random.randrange(3_000)
        )
        job_id = f"{endpoint.endpoint_id}-{number}"
        task = _add_job(cell_state, job_id, step).tasks[0]
        cell_state.reserve(task, 1, endpoint, 0)


def _random_need(context):
    return cells.Resources(
        context.random.randrange(CORES),
        context.random.randrange(MEMORY_MB // 2),
        context.random.choice((0, 0, 0, 1)),
    )


@behave.then("{count:d} random needs fit where a plain walk finds room")
def then_needs_fit(context, count):
    usable = _usable_endpoints.UsableEndpoints(context.endpoints)
    for _each in range(count):
        need = _random_need(context)
        at_ms = context.random.choice((0, 1_000, 2_000))
        with_room = [
            one for one in context.endpoints if need.fits_in(one.free)
        ]
        assert usable.with_room(need) == with_room
        assert usable.has_room(need) == bool(with_room)
        assert usable.ids_large_for(need, 0.3) == {
            one.endpoint_id
            for one in context.endpoints
            if need.fits_in(one.registration.capacity)
            and need.dominant_share(one.registration.capacity) >= 0.3
        }
        ids = [one.endpoint_id for one in context.endpoints[::-2]]
        assert usable.named_with_room(ids, need) == [
            one for one in with_room if one.endpoint_id in ids
        ]
        assert usable.with_expected_room(need, at_ms) == [
            one
            for one in context.endpoints
            if need.fits_in(one.expected_room_at(at_ms))
        ]


@behave.then("{count:d} random changes leave it overdue as a plain walk does")
def then_overdue_matches(context, count):
    endpoint = context.endpoints[0]
    endpoint.polls_in_flight = 1
    overdue_count = 0
    for number in range(count):
        now_ms = number * 50
        _change_runs(context, endpoint, now_ms)
        overdue = any(
            booking.state is _tasks.RunState.RUNNING
            and endpoint.answered_ms < booking.overdue_ms <= now_ms
            for booking in endpoint.bookings_by_run.values()
        )
        assert endpoint.has_overdue_end(now_ms) == overdue, now_ms
        overdue_count += overdue
    assert 0 < overdue_count < count, overdue_count


def _change_runs(context, endpoint, now_ms):
    rnd = context.random
    bookings = list(endpoint.bookings_by_run.values())
    change = rnd.choice(("add", "order", "run", "answer", "release", "none"))
    if change == "add" and len(bookings) < 6:
        step = cells.Step(1, cells.Resources(), rnd.randrange(3_000))
        stage = _add_job(context.cell_state, f"at-{now_ms}", step)
        context.cell_state.reserve(stage.tasks[0], 1, endpoint, now_ms)
    elif change == "answer":
        endpoint.answered_ms = now_ms
    elif not bookings:
        return
    elif change == "order":
        booking = rnd.choice(bookings)
        _starts.send(context.cell_state, booking, now_ms, 5_000)
    elif change == "run":
        rnd.choice(bookings).state = _tasks.RunState.RUNNING
    elif change == "release":
        context.cell_state.release(rnd.choice(bookings))


@behave.then(
    "{count:d} random steps of {tasks:d} tasks are packed as by a plain search"
)
def then_packed(context, count, tasks):
    for _each in range(count):
        step = cells.Step(tasks, _random_need(context))
        candidates = [
            _placement.Candidate(
                endpoint, endpoint.free, context.random.randrange(1, 4)
            )
            for endpoint in context.endpoints
        ]
        chosen = _placement.Packing().choose(step, tasks, candidates)
        assert chosen == _search_plainly(step, tasks, candidates)


def _search_plainly(step, count, candidates):
    chosen = []
    options = list(candidates)
    while len(chosen) < count:
        fitting = [
            position
            for position, one in enumerate(options)
            if one.max_count and step.booked.fits_in(one.free)
        ]
        if not fitting:
            break
        best = min(
            fitting, key=lambda position: _left(step, options[position])
        )
        chosen.append(options[best].endpoint)
        options[best] = options[best].after_placing(step.booked)
    return chosen


def _left(step, candidate):
    capacity = candidate.endpoint.registration.capacity
    return (candidate.free - step.booked).dominant_share(capacity)


@behave.given("a cell with an endpoint of {cores:d} cores")
def given_cell(context, cores):
    context.cell = _make_cell()
    capacity = cells.Resources(cores * 1_000, cores * 1_000)
    endpoint = _add_endpoint(context.cell.cell_state, "e", capacity)
    endpoint.polls_in_flight = 1


def _plan(context, now_ms):
    """Makes a plan; returns the number of jobs of which tasks were placed."""
    actions = context.cell.plan(now_ms, now_ms)
    return sum(
        isinstance(action, cells.LogDecision)
        and action.event == "tasks placed"
        for action in actions
    )


@behave.when("{count:d} jobs are read 1 ms apart, with a plan after each")
def when_jobs_read(context, count):
    context.placed_by_ms = {}
    context.job_count = count
    for now_ms in range(count):
        job = cells_work.make_job(f"j{now_ms}", cells_work.make_step())
        context.cell.handle(cells.JobStored(job), now_ms)
        if placed := _plan(context, now_ms):
            context.placed_by_ms[now_ms] = placed


@behave.then("tasks were placed in {count:d} plans, {interval_ms:d} ms apart")
def then_plans(context, count, interval_ms):
    times_ms = [number * interval_ms for number in range(count)]
    assert list(context.placed_by_ms) == times_ms, context.placed_by_ms


@behave.then("the rest are placed by the plan that is due")
def then_rest_placed(context):
    placed = _plan(context, context.cell.plan_due_ms)
    placed += sum(context.placed_by_ms.values())
    assert placed == context.job_count, placed
    assert context.cell.plan_due_ms is None


@behave.when("a plan took {elapsed_ms:d} ms, and events follow it at once")
def when_plan_took(context, elapsed_ms):
    _plan(context, 0)
    context.cell.cell_state.endpoint_by_id["e"].has_answered = False
    context.cell.note_plan_time(elapsed_ms)
    context.ended_ms = elapsed_ms
    job = cells_work.make_job("j", cells_work.make_step())
    context.cell.handle(cells.JobStored(job), elapsed_ms)
    context.cell.handle(cells.PollFailed("e"), elapsed_ms)
    context.actions = context.cell.plan(elapsed_ms, elapsed_ms)


@behave.then("the next plan is due {rest_ms:d} ms after it ended")
def then_plan_due(context, rest_ms):
    due_ms = context.cell.plan_due_ms
    assert due_ms == context.ended_ms + rest_ms, due_ms
    assert not _plan(context, due_ms - 1)


@behave.then("an endpoint is polled before that")
def then_polled(context):
    assert any(
        isinstance(action, cells.PollEndpoint) for action in context.actions
    )


@behave.when(
    "a plan took {elapsed_ms:d} ms, and an event follows every {gap_ms:d} ms "
    "that takes {event_ms:d} ms"
)
def when_events_follow(context, elapsed_ms, gap_ms, event_ms):
    _plan(context, 0)
    context.cell.note_plan_time(elapsed_ms)
    context.placed_after_ms = None
    for number in range(50):
        now_ms = elapsed_ms + number * gap_ms
        job = cells_work.make_job(f"j{number}", cells_work.make_step())
        context.cell.handle(cells.JobStored(job), now_ms)
        if _plan(context, now_ms):
            context.placed_after_ms = now_ms - elapsed_ms
            return
        context.cell.note_plan_time(event_ms)


@behave.then("a task is placed within {within_ms:d} ms")
def then_placed_within(context, within_ms):
    placed_ms = context.placed_after_ms
    assert placed_ms is not None and placed_ms <= within_ms, placed_ms
