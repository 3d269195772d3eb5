"""Steps for the routing policies and the outlier detector."""

import collections
import random

import behave

from samphiregate.core import routing

GOOD_LATENCY_MS = 20


def make_policy(name, seed=1):
    params = {}
    if name == "power-of-two":
        params["random_state"] = random.Random(seed)
    return routing.make_router(name, **params)


def update_endpoint(policy, endpoint_id, free, load=0.0, latency_ms=10.0):
    event = routing.EndpointChanged(endpoint_id, free, load, latency_ms)
    policy.observe(event, 0)


def count_choices(policy, count, excluded=(), only_free=True):
    question = routing.PickEndpoint(frozenset(excluded), only_free)
    return collections.Counter(
        policy.choose(question, 0) for _ in range(count)
    )


def expected_ids(text):
    return {None} if text == "nothing" else set(text.split())


@behave.given("routing: the policy {name}")
def given_policy(context, name):
    context.policy = make_policy(name)


@behave.given(
    "routing: endpoints a with {a:d} free, b with {b:d} free,"
    " c with {c:d} free"
)
def given_endpoints(context, a, b, c):
    for endpoint_id, free, load in (("a", a, 0.5), ("b", b, 1), ("c", c, 0.5)):
        update_endpoint(context.policy, endpoint_id, free, load)


@behave.when("routing: endpoint {endpoint_id} is removed")
def when_removed(context, endpoint_id):
    context.policy.observe(routing.EndpointRemoved(endpoint_id), 0)


@behave.when("routing: endpoint {endpoint_id} has no free slot")
def when_full(context, endpoint_id):
    update_endpoint(context.policy, endpoint_id, 0, 2.0)


@behave.then("routing: {count:d} choices return {expected} only")
def then_choices(context, count, expected):
    found = set(count_choices(context.policy, count))
    assert found <= expected_ids(expected) and found, found


@behave.then("routing: {count:d} choices return no endpoint")
def then_no_choice(context, count):
    assert set(count_choices(context.policy, count)) == {None}


@behave.then(
    "routing: {count:d} choices without {excluded} return no endpoint"
)
def then_none_left(context, count, excluded):
    found = set(count_choices(context.policy, count, excluded))
    assert found == {None}, found


@behave.then(
    "routing: {count:d} choices without {excluded}, full or not,"
    " return {expected} only"
)
def then_full_without(context, count, excluded, expected):
    found = set(
        count_choices(context.policy, count, excluded, only_free=False)
    )
    assert found == expected_ids(expected), found


@behave.then("routing: {count:d} choices, full or not, return {expected} only")
def then_full(context, count, expected):
    found = set(count_choices(context.policy, count, only_free=False))
    assert found == expected_ids(expected), found


@behave.given("routing: {count:d} entry VMs with the policy {name}")
def given_vms(context, count, name):
    context.policies = [make_policy(name, seed) for seed in range(count)]


@behave.given("routing: all have 10 endpoints with loads from 0 to 0.9")
def given_loads(context):
    for policy in context.policies:
        for number in range(10):
            update_endpoint(policy, f"e{number}", 1, number / 10)


@behave.when("routing: each chooses once")
def when_each_chooses(context):
    context.chosen = collections.Counter()
    for policy in context.policies:
        context.chosen += count_choices(policy, 1)


@behave.then("routing: no endpoint got more than {most:d} of the 50")
def then_spread(context, most):
    assert context.chosen.total() == 50
    assert max(context.chosen.values()) <= most, context.chosen


@behave.given("routing: endpoint a takes {a:d} ms and endpoint b {b:d} ms")
def given_latencies(context, a, b):
    update_endpoint(context.policy, "a", 1, 0.5, a)
    update_endpoint(context.policy, "b", 1, 0.5, b)


@behave.then("routing: of {count:d} choices at least {least:d} return a")
def then_return_a(context, count, least):
    found = count_choices(context.policy, count)
    assert found["a"] >= least, found


@behave.given(
    "routing: an outlier detector with attempts at {count:d} good endpoints"
)
def given_outlier_detector(context, count):
    context.outlier_detector = routing.OutlierDetector()
    context.now_ms = 0
    context.good_ids = [f"good-{number}" for number in range(count)]
    for endpoint_id in context.good_ids:
        end_attempts(context, endpoint_id, True, GOOD_LATENCY_MS, times=20)


def end_attempts(context, endpoint_id, succeeded, elapsed_ms, times=1):
    event = routing.AttemptEnded(endpoint_id, succeeded, elapsed_ms)
    for _ in range(times):
        context.outlier_detector.observe(event, context.now_ms)


def offered_slots(context, endpoint_id="a", free=8, running=0):
    question = routing.SlotsToOffer(endpoint_id, free, running)
    return context.outlier_detector.choose(question, context.now_ms)


@behave.when("routing: endpoint a fails {times:d} times in a row")
def when_fails(context, times):
    end_attempts(context, "a", False, GOOD_LATENCY_MS, times)


@behave.when("routing: endpoint a succeeds in {elapsed:d} ms")
def when_succeeds(context, elapsed):
    end_attempts(context, "a", True, elapsed)


@behave.when("routing: endpoint a succeeds {times:d} times in {elapsed:d} ms")
def when_succeeds_often(context, times, elapsed):
    end_attempts(context, "a", True, elapsed, times)


@behave.when("routing: {duration:d} ms pass")
def when_time_passes(context, duration):
    context.now_ms += duration


@behave.when(
    "routing: {duration:d} ms pass and {probes:d} probes of it fail in a row"
)
def when_probes_fail(context, duration, probes):
    context.now_ms += duration
    context.gaps = []
    for _ in range(probes):
        assert offered_slots(context) == 1
        end_attempts(context, "a", False, GOOD_LATENCY_MS)
        failed_ms = context.now_ms
        while not offered_slots(context):
            context.now_ms += 100
        context.gaps.append(context.now_ms - failed_ms)


@behave.then("routing: the gaps between probes are {gaps}")
def then_gaps(context, gaps):
    expected = [] if gaps == "none" else [int(g) for g in gaps.split(", ")]
    assert context.gaps == expected, context.gaps


@behave.then("routing: it is offered {slots:d} of 8 slots")
def then_offered(context, slots):
    assert offered_slots(context) == slots, offered_slots(context)


@behave.then(
    "routing: it is offered {slots:d} of 8 slots while {running:d} is in use"
)
def then_offered_while(context, slots, running):
    assert offered_slots(context, running=running) == slots


@behave.when("routing: all endpoints become slow one after the other")
def when_all_slow(context):
    for endpoint_id in context.good_ids:
        end_attempts(context, endpoint_id, True, 5_000, times=30)


@behave.then("routing: at most {most:d} are avoided")
def then_avoided(context, most):
    avoided = context.outlier_detector.describe()["avoided"]
    assert 0 < len(avoided) <= most, avoided


@behave.when(
    "routing: every endpoint fails {times:d} times in turn, reached {reached}"
)
def when_all_fail(context, times, reached):
    for _ in range(times):
        for endpoint_id in context.good_ids:
            event = routing.AttemptEnded(
                endpoint_id, False, GOOD_LATENCY_MS, reached == "yes"
            )
            context.outlier_detector.observe(event, context.now_ms)


@behave.then("routing: {least:d} to {most:d} are avoided")
def then_avoided_between(context, least, most):
    avoided = context.outlier_detector.describe()["avoided"]
    assert least <= len(avoided) <= most, avoided
