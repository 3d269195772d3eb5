"""Steps about virtual clusters and membership."""

import pathlib
import random

import behave
from sismic import interpreter
from sismic import io

from features.support import cluster
from features.support import cluster_cost
from features.support import cluster_events
from samphiregate.core import base
from samphiregate.core import membership

WARM_UP_MS = 12_000


@behave.given(
    "a virtual cluster of {centres:d} data centres with {vms:d} entry VMs each"
)
def given_cluster(context, centres, vms):
    context.cluster = cluster.Cluster(
        seed=7,
        centres=tuple("abcdefghijk"[:centres]),
        vms_per_centre=vms,
    )
    context.cluster.loop.run_until(WARM_UP_MS)


@behave.when(
    "{event} happens to VM {vm_id}, with {other_id} at the other end of its"
    " links"
)
def when_event(context, event, vm_id, other_id):
    cluster_events.apply_events(context.cluster, event, vm_id, [other_id])


@behave.when("the virtual cluster runs for {ms:d} ms")
def when_runs(context, ms):
    loop = context.cluster.loop
    loop.run_until(loop.now_ms + ms)


@behave.then("VM {observer} considers VM {vm_id} {state}")
def then_state(context, observer, vm_id, state):
    node = context.cluster.nodes_by_id[observer]
    actual_state = node.membership.state_of(vm_id).value
    assert actual_state == state, actual_state


@behave.then("every VM considers every other alive")
def then_all_alive(context):
    everyone = tuple(sorted(context.cluster.nodes_by_id))
    for node in context.cluster.nodes():
        alive_ids = node.membership.alive_ids()
        assert alive_ids == everyone, (node.vm_id, alive_ids)


@behave.then("the oracle saw no violation")
def then_no_violation(context):
    violations = context.cluster.oracle.violations
    assert not violations, violations[:3]


@behave.given("the state chart of a peer")
def given_chart(context):
    folder = pathlib.Path(membership.__file__).parent
    context.chart_path = folder / "_peer.yaml"
    context.chart = base.Chart.load(context.chart_path)


@behave.when(
    "{sequences:d} random sequences of {steps:d} events are applied to it"
)
def when_sequences(context, sequences, steps):
    random_state = random.Random(1)
    library_chart = io.import_from_yaml(filepath=str(context.chart_path))
    library_chart.validate()
    events = sorted({event for _, event in context.chart.transition_table})
    context.pairs = []
    for _ in range(sequences):
        walker = interpreter.Interpreter(library_chart)
        walker.execute()
        state = context.chart.initial
        for _ in range(steps):
            event = random_state.choice(events)
            walker.queue(event)
            walker.execute()
            state = context.chart.next_state(state, event)
            context.pairs.append((walker.configuration[-1], state))


@behave.then("sismic and Chart agree on every state")
def then_states_agree(context):
    assert all(first == second for first, second in context.pairs)
    assert len({state for _, state in context.pairs}) == 4


@behave.when(
    "a quiet virtual cluster of {centres:d} data centres with {vms:d}"
    " entry VMs each is measured"
)
def when_measured(context, centres, vms):
    context.cost = cluster_cost.measure(centres, vms)


@behave.then("no VM sends more than {limit:d} bytes a second")
def then_bytes(context, limit):
    assert 0 < context.cost.max_bytes <= limit, context.cost
