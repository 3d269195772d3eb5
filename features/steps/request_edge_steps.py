"""Steps for one isolated request edge."""

import behave

from features.support import request_edge as support

LARGE_BUDGET = 1_000
TICK_MS = 50


@behave.given("requests: an isolated edge")
def given_isolated(context):
    context.harness = support.IsolatedEdge()
    context.count = 0


@behave.given("requests: an isolated edge with owners")
def given_owners(context):
    given_isolated(context)
    context.harness.deliver_loads(*support.OWNERS)


@behave.given("requests: an isolated edge with owners and a large budget")
def given_budget(context):
    context.harness = support.IsolatedEdge(retry_burst=LARGE_BUDGET)
    context.count = 0
    context.harness.deliver_loads(*support.OWNERS)


@behave.given("requests: an isolated edge with a limit of {limit:d} requests")
def given_limit(context, limit):
    context.harness = support.IsolatedEdge(most_pending=limit)
    context.harness.deliver_loads(*support.OWNERS)


@behave.when("requests: a request's first attempt ends unknown")
def when_first_unknown(context):
    harness = context.harness
    harness.arrive("request")
    context.first = harness.attempts("request")[0].recipient
    harness.end_attempt(context.first, "request", 1, "unknown")
    context.current = harness.attempts("request")[1].recipient
    assert context.first != context.current


@behave.when("requests: attempt {attempt:d} ends answered by {sender}")
def when_answered(context, attempt, sender):
    first = sender == "the first owner"
    vm_id = context.first if first else context.current
    context.harness.end_attempt(vm_id, "request", attempt, "answered")


@behave.then("requests: the request is {state}")
def then_state(context, state):
    answered = "request" in context.harness.answers_by_id
    assert answered == (state == "answered")


@behave.when(
    "requests: {count:d} requests reach it and every attempt ends {outcome}"
)
def when_all_end(context, count, outcome):
    harness = context.harness
    duration_ms = 0
    if outcome.endswith(" for 5 s"):
        outcome = outcome.removesuffix(" for 5 s")
        duration_ms = 5_000
    for _ in range(count):
        context.count += 1
        harness.arrive(f"request-{context.count}")
        harness.end_all_attempts(outcome)
    for _ in range(duration_ms // TICK_MS):
        harness.tick(TICK_MS)
        harness.deliver_loads(*support.OWNERS)
        harness.end_all_attempts(outcome)


@behave.then("requests: it made {count:d} retries")
def then_retries(context, count):
    retries = len(context.harness.dispatches) - context.count
    assert retries == count, retries


@behave.when("requests: it receives the load of an entry VM that is not alive")
def when_not_alive_received(context):
    context.harness.deliver_loads("owner-that-died")


@behave.when("requests: a request reaches it")
def when_one_reaches(context):
    context.harness.arrive("request")


@behave.then("requests: it sent no attempt")
def then_none_sent(context):
    assert not context.harness.dispatches


@behave.when(
    "requests: {huts:d} requests of huts and then {maps:d} of maps reach it"
)
def when_teams_reach(context, huts, maps):
    for team, count in (("huts", huts), ("maps", maps)):
        for number in range(count):
            context.harness.arrive(f"{team}-{number}", team)


@behave.then("requests: it admitted {huts:d} of huts and {maps:d} of maps")
def then_admitted(context, huts, maps):
    dispatched = [a.message.team for a in context.harness.dispatches]
    admitted = (dispatched.count("huts"), dispatched.count("maps"))
    assert admitted == (huts, maps), admitted


@behave.when("requests: an owner answers and reports that it is full")
def when_owner_full(context):
    harness = context.harness
    harness.arrive("request")
    context.first = harness.attempts("request")[0].recipient
    harness.end_attempt(context.first, "request", 1, "answered", full=True)


@behave.when("requests: {count:d} more requests reach it")
def when_more_reach(context, count):
    for number in range(count):
        context.harness.arrive(f"later-{number}")


@behave.then("requests: none of them went to that owner")
def then_not_there(context):
    later = context.harness.dispatches[1:]
    assert len(later) == 20, later
    assert context.first not in {action.recipient for action in later}
