"""Steps for the enforcement of upper limits by tokens."""

import random

import behave

from features.support import cluster
from features.support import token_exchange
from samphiregate.core.limits import _ledger
from samphiregate.core.limits import _sharing

TEAM = "team"
WARM_UP_MS = 12_000


@behave.when("{total:d} tokens are split over demands {demands}")
def when_split(context, total, demands):
    demand_by_name = {
        str(index): int(text) for index, text in enumerate(demands.split(","))
    }
    context.split = _sharing.fair_split(total, demand_by_name)


@behave.then("the split is {split}")
def then_split(context, split):
    seen = ",".join(str(count) for _, count in sorted(context.split.items()))
    assert seen == split, seen


@behave.then(
    "{count:d} random exchanges with lost, repeated and reordered messages"
    " never leave a holder with more than was granted"
)
def then_never_created(context, count):
    granted = 0
    for seed in range(count):
        granted += token_exchange.run_exchange(random.Random(seed))
    assert granted > count


@behave.given(
    "a virtual cluster of {centres:d} data centres with {vms:d} entry VMs"
    " each and limit {limit:d}"
)
def given_limited(context, centres, vms, limit):
    context.cluster = cluster.Cluster(
        seed=11,
        centres=tuple("abcdefghijk"[:centres]),
        vms_per_centre=vms,
        limit_by_team={TEAM: limit},
    )
    context.cluster.loop.run_until(WARM_UP_MS)


@behave.when("VM {vm_id} alone wants to run {units:d} units")
def when_wants(context, vm_id, units):
    node = context.cluster.nodes_by_id[vm_id]
    node.load.demand_by_team = {TEAM: units}


@behave.when("every VM wants to run {units:d} units")
def when_all_want(context, units):
    for node in context.cluster.nodes():
        node.load.demand_by_team = {TEAM: units}


@behave.then("VM {vm_id} started at least one unit")
def then_started(context, vm_id):
    assert context.cluster.oracle.started_by_team[TEAM] > 0


@behave.when("the limit becomes {limit:d}")
def when_limit(context, limit):
    context.cluster.set_limit(TEAM, limit)


@behave.then("between {low:d} and {high:d} units ran in the last second")
def then_ran(context, low, high):
    loop = context.cluster.loop
    seen = []
    for _ in range(10):
        loop.run_until(loop.now_ms + 100)
        seen.append(context.cluster.oracle.running_by_team[TEAM])
    assert max(seen) <= high, seen
    assert max(seen) >= low, seen


@behave.given("a ledger of {teams:d} teams in {centres:d} data centres")
def given_ledger(context, teams, centres):
    names = [f"data-centre-{number}" for number in range(centres)]
    context.value = _ledger.encode(
        _ledger.Ledger(
            revision=1,
            epoch_by_centre=dict.fromkeys(names, 1_000),
            tokens_by_team={
                f"team-number-{number}": dict.fromkeys(names, 1_000)
                for number in range(teams)
            },
        )
    )


@behave.then("its value has fewer than {size:d} bytes")
def then_size(context, size):
    assert 0 < len(context.value) < size, len(context.value)


@behave.then("the store received fewer than {rate:d} writes a second")
def then_writes(context, rate):
    seconds = context.cluster.loop.now_ms / 1_000
    writes = context.cluster.store.write_count
    assert 0 < writes < rate * seconds, writes / seconds


@behave.then("units of both data centres ran in the last 10 seconds")
def then_both_ran(context):
    loop = context.cluster.loop
    centres = set()
    for _ in range(20):
        loop.run_until(loop.now_ms + 500)
        for node in context.cluster.nodes():
            if node.load.running(TEAM):
                centres.add(node.data_centre)
    assert centres == set(context.cluster.centres), centres
