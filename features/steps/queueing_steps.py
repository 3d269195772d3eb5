"""Steps about fair shares and the order of a queue."""

import behave

from features.support import sharing
from samphiregate.core import model
from samphiregate.core import queueing

BATCH = model.WorkClass.BATCH
REQUEST = model.WorkClass.REQUEST


def _numbers(text, kind=float):
    return [kind(part) for part in text.split(",")]


def _enqueue(context, item_id, team, work_class=BATCH, urgent=False):
    item = queueing.QueuedItem(
        item_id=item_id,
        team=team,
        work_class=work_class,
        resources=model.Resources(1_000, 1_000),
        urgent=urgent,
    )
    context.queue.observe(queueing.ItemQueued(item), 0)
    return item


def _next_id(context, now_ms=0):
    return context.queue.choose(queueing.NextItem(), now_ms).item_id


@behave.given(
    "a fair queue with weights {weights} and history weight {history_weight:g}"
)
def given_queue(context, weights, history_weight):
    context.site = sharing.SaturatedSite(
        _numbers(weights), history_weight=history_weight
    )
    context.queue = context.site.queue


@behave.given(
    "{first:d} cores of the first team run and {second:d} of the second"
)
def given_running(context, first, second):
    context.site.start("team-0", first)
    context.site.start("team-1", second)


@behave.given(
    "{first:d} urgent cores of the first team run and {second:d} of the second"
)
def given_urgent_running(context, first, second):
    context.site.start("team-0", first, urgent=True)
    context.site.start("team-1", second)


@behave.when(
    "teams keep it full for {end:d} s with {cores} core tasks of {seconds} s"
)
def when_full(context, end, cores, seconds):
    context.site.set_demand(_numbers(cores, int), _numbers(seconds, int))
    context.site.run(end * 1_000)


@behave.when("only the first team keeps it full for {end:d} s")
def when_alone(context, end):
    context.site.set_demand([1], [1])
    context.site.run(end * 1_000)


@behave.when("the second team idles {idle:d} s and both then keep it full")
def when_idle(context, idle):
    site = context.site
    site.set_demand([1], [1])
    if idle > 60:
        site.fast_forward((idle - 60) * 1_000)
    site.run(min(idle, 60) * 1_000)
    site.set_demand([1, 1], [1, 1])
    site.reset_windows()
    site.run(10_000)
    context.first_share = site.shares()[-1]["team-1"]
    site.run(120_000)
    context.last_share = site.shares()[-1]["team-1"]


@behave.when("both queue batch work and the first also urgent work")
def when_urgent(context):
    _enqueue(context, "first-batch", "team-0")
    _enqueue(context, "second-batch", "team-1")
    _enqueue(context, "first-urgent", "team-0", urgent=True)


@behave.when("both queue batch work and the first also a request")
def when_request(context):
    _enqueue(context, "first-batch", "team-0")
    _enqueue(context, "first-request", "team-0", REQUEST)
    _enqueue(context, "second-batch", "team-1")


@behave.when("the first team queues {first:d} items and the second {second:d}")
def when_queued(context, first, second):
    for number in range(first):
        _enqueue(context, f"first-{number}", "team-0")
    for number in range(second):
        _enqueue(context, f"second-{number}", "team-1")
    context.expected_id = f"first-{first - 1}"


@behave.when(
    "the first team queues {count:d} items and one is requeued at the front"
)
def when_requeued(context, count):
    for number in range(count):
        item = _enqueue(context, f"first-{number}", "team-0")
    context.queue.observe(queueing.ItemRemoved(item.item_id), 0)
    context.queue.observe(queueing.ItemQueued(item, at_front=True), 0)
    context.expected_id = item.item_id


@behave.when(
    "the first team uses {cores:d} cores elsewhere and both queue work"
)
def when_remote(context, cores):
    usage = {"team-0": model.Resources(cores * 1_000, 0, 0)}
    context.queue.observe(queueing.RemoteUsageChanged(usage), 0)
    _enqueue(context, "first", "team-0")
    _enqueue(context, "second", "team-1")


@behave.then(
    "each team's share of every 10 s is within {percent:g} % of its fair share"
)
def then_within(context, percent):
    shares_by_window = context.site.shares()[1:]
    assert len(shares_by_window) >= 10, len(shares_by_window)
    weights = context.site.weight_by_team
    for shares in shares_by_window:
        for team, weight in weights.items():
            fair_share = weight / sum(weights.values())
            share = shares.get(team, 0.0) / sum(shares.values())
            assert abs(share - fair_share) * 100 <= percent, (
                team,
                share,
                fair_share,
            )


@behave.then("it uses the whole data centre")
def then_whole_data_centre(context):
    assert context.site.shares()[-1]["team-0"] == 1.0, context.site.shares()


@behave.then(
    "the second team's first share is between {low:g} % and {high:g} %"
)
def then_first_share(context, low, high):
    assert low <= context.first_share * 100 <= high, context.first_share


@behave.then("its share after 120 s is between {low:g} % and {high:g} %")
def then_last_share(context, low, high):
    assert low <= context.last_share * 100 <= high, context.last_share


@behave.then("the {which} team's {what} is next")
def then_next(context, which, what):
    kinds = {"urgent work": "urgent", "batch work": "batch"}
    kind = kinds.get(what, what)
    assert _next_id(context) == f"{which}-{kind}", _next_id(context)


@behave.then("the item to shed is the first team's last")
def then_shed(context):
    shed = context.queue.choose(queueing.ItemToShed(), 0)
    assert shed.item_id == context.expected_id, shed


@behave.then("the requeued item is next")
def then_requeued(context):
    assert _next_id(context) == context.expected_id


@behave.then(
    "the second team is next just before {end:d} ms and the first 1 s after"
)
def then_remote(context, end):
    event = queueing.ItemStarted("team-2", model.Resources(1, 1), BATCH)
    context.queue.observe(event, end - 1)
    assert _next_id(context, end - 1) == "second"
    # Remote usage expires at the first refresh after its TTL. Refreshes are
    # `history_step_ms` apart, 500 ms by default.
    context.queue.observe(event, end + 1_000)
    assert _next_id(context, end + 1_000) == "first"
