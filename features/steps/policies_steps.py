"""Steps about the contract that all policies share."""

import ast
import sys

import behave
import hypothesis
import hypothesis.strategies
import orjson

from features.support import policies
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import queueing
from samphiregate import errors

# Hypothesis derives the examples of the random runs from the source of the
# decorated functions, so another name of this constant gives other examples.
PLAY_SETTINGS = {
    "derandomize": True,
    "deadline": None,
    "database": None,
    "suppress_health_check": list(hypothesis.HealthCheck),
}
SPARE_FACTOR = 1.13  # above 9/8, the width of an index bucket


@behave.given("the policy {name} with seed {seed:d}")
def given_policy(context, name, seed):
    context.policy_name = name
    context.policy_seed = seed
    context.policy = policies.make_policy(name, seed)


@behave.when("it is run for {steps:d} random steps from seed {seed:d}")
def when_run(context, steps, seed):
    context.fuzzer = policies.PolicyFuzzer(context.policy, seed)
    context.answers = context.fuzzer.run(steps)
    twin = policies.make_policy(context.policy_name, context.policy_seed)
    context.second_answers = policies.PolicyFuzzer(twin, seed).run(steps)


@behave.then("a second policy with the same seeds gave the same answers")
def then_same_answers(context):
    assert context.answers == context.second_answers
    assert len(set(map(repr, context.answers))) > 1, context.answers[:3]


@behave.then("its description is made of plain values")
def then_plain(context):
    description = context.policy.describe()
    assert orjson.loads(orjson.dumps(description)) == description


@behave.then("repeated queries change neither its description nor its answers")
def then_no_side_effects(context):
    fuzzer = context.fuzzer
    before = fuzzer.policy.describe()
    for _question in range(50):
        question = fuzzer.question()
        first = fuzzer.policy.choose(question, fuzzer.now_ms)
        second = fuzzer.policy.choose(question, fuzzer.now_ms)
        assert first == second, (question, first, second)
    assert fuzzer.policy.describe() == before


@behave.when("the policy {name} is made with {parameter} = {value}")
def when_made_with(context, name, parameter, value):
    params = {parameter: ast.literal_eval(value)}
    context.policy_error = None
    try:
        policies.make_policy(name, **params)
    except errors.SettingError as error:
        context.policy_error = error


@behave.when("a {kind} policy named nonesuch is made")
def when_made_nonesuch(context, kind):
    makers = {
        "queue": queueing.make_queue,
        "placement": placement.make_placement,
    }
    context.policy_error = None
    try:
        makers[kind]("nonesuch")
    except errors.SettingError as error:
        context.policy_error = error


@behave.then("a setting error names {parameter}")
def then_setting_error(context, parameter):
    assert context.policy_error is not None
    assert context.policy_error.setting == parameter


@behave.then(
    "the queue {name} agrees with the reference state"
    " in {run_count:d} random runs"
)
def then_queue_matches(context, name, run_count):
    @hypothesis.settings(max_examples=run_count, **PLAY_SETTINGS)
    @hypothesis.given(hypothesis.strategies.integers(0, 2**32))
    def check(seed):
        _check_queue(policies.make_policy(name), seed)

    check()


def _check_queue(policy, seed):
    fuzzer = policies.PolicyFuzzer(policy, seed)
    for _step in range(40):
        fuzzer.run(1)
        queued = fuzzer.queued_by_id
        teams = frozenset(fuzzer.rnd.sample(policies.TEAMS, 1))
        items = frozenset(item for item in queued if fuzzer.rnd.random() < 0.2)
        open_ids = {
            item.item_id
            for item in queued.values()
            if item.team not in teams and item.item_id not in items
        }
        question = queueing.NextItem(teams, items)
        chosen = policy.choose(question, fuzzer.now_ms)
        if open_ids:
            assert chosen is not None, (
                "items are queued, but nothing was chosen"
            )
            assert chosen.item_id in open_ids, chosen
            _check_order(chosen, open_ids, queued)
        else:
            assert chosen is None, chosen
        shed = policy.choose(queueing.ItemToShed(), fuzzer.now_ms)
        assert (shed is None) == (not queued)
        assert shed is None or shed.item_id in queued, shed


def _check_order(chosen, open_ids, queued):
    """Checks that like work of one team starts in order of arrival."""
    for item_id in open_ids:
        other = queued[item_id]
        if (other.team, other.work_class, other.urgent) == (
            chosen.team,
            chosen.work_class,
            chosen.urgent,
        ):
            assert other.enqueued_ms >= chosen.enqueued_ms


@behave.then(
    "the placement {name} agrees with the reference state"
    " in {run_count:d} random runs"
)
def then_placement_matches(context, name, run_count):
    @hypothesis.settings(max_examples=run_count, **PLAY_SETTINGS)
    @hypothesis.given(hypothesis.strategies.integers(0, 2**32))
    def check(seed):
        _check_placement(policies.make_policy(name), seed)

    check()


def _check_placement(policy, seed):
    fuzzer = policies.PolicyFuzzer(policy, seed)
    for _step in range(60):
        fuzzer.run(1)
        excluded = frozenset(
            worker
            for worker in fuzzer.room_by_worker
            if fuzzer.rnd.random() < 0.1
        )
        need = policies.random_need(fuzzer.rnd)
        work_class = fuzzer.rnd.choice(policies.CLASSES)
        question = placement.PlaceTask("job-1", work_class, need, excluded)
        chosen = policy.choose(question, fuzzer.now_ms)
        _check_task_place(chosen, need, excluded, fuzzer.room_by_worker)
        count = fuzzer.rnd.randint(1, 40)
        question = placement.PlaceGang("gang-1", need, count, excluded)
        chosen = policy.choose(question, fuzzer.now_ms)
        _check_gang_places(chosen, question, fuzzer.room_by_worker)


def _check_task_place(chosen, need, excluded, room_by_worker):
    open_rooms = {
        worker: room
        for worker, room in room_by_worker.items()
        if worker not in excluded
    }
    if chosen is None:
        larger = need.scaled(SPARE_FACTOR)
        roomy = [r for r in open_rooms.values() if larger.fits_in(r)]
        assert not roomy, (need, roomy)
    else:
        assert need.fits_in(open_rooms[chosen]), (chosen, need)


def _check_gang_places(chosen, question, room_by_worker):
    need = question.resources
    open_rooms = {
        worker: room
        for worker, room in room_by_worker.items()
        if worker not in question.excluded_workers
    }
    if chosen is None:
        units = sum(_units(room, need) for room in open_rooms.values())
        assert units < question.count, (units, question)
        return
    assert len(chosen) == question.count
    for worker in chosen:
        assert need.fits_in(open_rooms[worker]), (worker, need)
        open_rooms[worker] = open_rooms[worker] - need


def _units(room, need):
    units = 0
    while need.fits_in(room):
        room = room - need
        units += 1
    return units


@behave.when("{queued:d} items are queued and {cancelled:d} cancelled")
def when_wave(context, queued, cancelled):
    policy = context.policy
    context.items = [_wave_item(number) for number in range(queued)]
    for item in context.items:
        policy.observe(queueing.ItemQueued(item), 0)
    context.peak_bytes = _lane_bytes(policy)
    for item in context.items[:cancelled]:
        policy.observe(queueing.ItemRemoved(item.item_id), 0)
    context.items = context.items[cancelled:]


def _wave_item(number):
    return queueing.QueuedItem(
        item_id=f"item-{number}",
        team=policies.TEAMS[number % len(policies.TEAMS)],
        work_class=model.WorkClass.BATCH,
        resources=model.Resources(1_000, 1_000),
    )


def _lane_bytes(policy):
    lanes = []
    if isinstance(policy, queueing.FairShareQueue):
        for team in policy.teams_by_name_.values():
            lanes.extend(team.lanes)
    elif isinstance(policy, queueing.StrictPriorityQueue):
        lanes.extend(policy.lanes_)
    else:
        lanes.append(policy.lane_)
    return sum(sys.getsizeof(lane._items_by_id) for lane in lanes)


@behave.then(
    "it holds the {count:d} others and one of the oldest three is next"
)
def then_holds(context, count):
    assert len(context.items) == count
    assert context.policy.describe()["queued"] == count
    chosen = context.policy.choose(queueing.NextItem(), 0)
    assert chosen.item_id in {item.item_id for item in context.items[:3]}


@behave.then("its lanes take less than a quarter of the memory")
def then_lanes_shrank(context):
    assert _lane_bytes(context.policy) * 4 < context.peak_bytes


@behave.then("it is empty once the others are cancelled")
def then_empty(context):
    for item in context.items:
        context.policy.observe(queueing.ItemRemoved(item.item_id), 0)
    assert context.policy.describe()["queued"] == 0
    assert context.policy.choose(queueing.NextItem(), 0) is None
    assert context.policy.choose(queueing.ItemToShed(), 0) is None
