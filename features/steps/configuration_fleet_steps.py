"""Steps for the configuration of a fleet of VMs, in virtual time."""

import behave

from features.support import configuration_faults
from features.support import configuration_fleet
from features.support import configuration_replicas
from samphiregate.core import base
from samphiregate.core import configuration as configurations
from samphiregate.core import model


@behave.given(
    "a configuration fleet of {vms:d} VMs in {data_centres:d} data centres, "
    "seed {seed:d}"
)
def given_fleet(context, vms, data_centres, seed):
    context.fleet = configuration_fleet.Fleet(
        data_centres=data_centres, vms=vms, seed=seed
    )
    context.fleet.run(2_000)


@behave.given(
    "a configuration fleet of {vms:d} VMs in {data_centres:d} data centres, "
    "keys valid for {valid:d} ms without contact"
)
def given_fleet_with_bound(context, vms, data_centres, valid):
    context.fleet = configuration_fleet.Fleet(
        data_centres=data_centres, vms=vms, keys_valid_without_news_ms=valid
    )
    context.fleet.run(2_000)


@behave.given("the configuration fault {fault}")
def given_fault(context, fault):
    configuration_faults.FAULTS[fault](context.fleet)


@behave.given("a configuration key that every VM accepts")
def given_key(context):
    context.fleet.store.accept(
        teams=(model.Team(configuration_replicas.TEAM, "plan"),),
        given_keys=(configuration_replicas.key_record(),),
    )
    context.fleet.run(3_000)
    assert teams_of_key(context.fleet) == {configuration_replicas.TEAM}


@behave.when("{count:d} configuration edits are made, {gap:d} ms apart")
def when_edits(context, count, gap):
    for number in range(count):
        team = model.Team("team-b", f"plan-{number}")
        context.fleet.store.accept(teams=(team,))
        context.fleet.run(gap)


@behave.when("the configuration faults end")
def when_faults_end(context):
    fleet = context.fleet
    fleet.heal()
    fleet.loss = fleet.duplication = 0.0
    fleet.jitter_ms = 0
    fleet.paused.clear()
    fleet.store.stale_reads = False


@behave.given("the reads of the configuration's store are stale")
def given_stale_reads(context):
    context.fleet.store.stale_reads = True


@behave.then("the restarted VM {vm_id} never accepts the configuration key")
def then_never_accepts(context, vm_id):
    fleet = context.fleet
    for _step in range(100):
        fleet.run(50)
        replica = fleet.replica_by_vm[vm_id]
        assert (
            replica.team_for_key_hash(configuration_replicas.KEY_HASH) is None
        ), fleet.now_ms
    assert replica.can_verify_keys
    then_latest(context)


@behave.when("the store goes down for the configuration")
def when_store_down(context):
    context.fleet.store.down = True


@behave.when("the configuration VM {vm_id} is restarted without its state")
def when_restarted(context, vm_id):
    context.fleet.start(vm_id)


@behave.when("{duration:d} ms of virtual time pass for the configuration")
def when_time_passes(context, duration):
    context.fleet.run(duration)


@behave.when(
    "data centre {data_centre} can't reach the store of the configuration"
)
def when_store_cut(context, data_centre):
    fleet = context.fleet
    fleet.store.cut_off |= set(fleet.vms_of(data_centre))


@behave.when("the configuration key is withdrawn")
def when_withdrawn(context):
    context.fleet.store.accept(
        withdrawn_keys=(configuration_replicas.KEY_HASH,)
    )


@behave.when("the configuration event happens: {event}")
def when_event_happens(context, event):
    fleet = context.fleet
    if event == "the key is issued again":
        fleet.store.accept(given_keys=(configuration_replicas.key_record(),))
    elif event == "every VM is replaced":
        for vm_id in fleet.data_centre_by_vm:
            fleet.start(vm_id)
    elif event == "its team is removed":
        fleet.store.accept(removed_teams=(configuration_replicas.TEAM,))
    else:
        send_outdated_update(fleet, event)
    fleet.run(3_000)


def send_outdated_update(fleet, event):
    """Sends each VM the state from before the withdrawal."""
    edits = tuple(
        configuration_replicas.make_edits(
            1, given_keys=(configuration_replicas.key_record(),)
        )
    )
    old = configurations.apply_edits(model.Configuration(), edits)
    if event == "an old snapshot arrives":
        message = configurations.ConfigurationSnapshot(old)
    else:
        message = configurations.ConfigurationDelta(edits)
    for vm_id in fleet.data_centre_by_vm:
        fleet.deliver_later(1, vm_id, base.PeerDelivered("vm-001", message))


@behave.when("the configuration VM {vm_id} is cut off from {cut}")
def when_cut_off(context, vm_id, cut):
    fleet = context.fleet
    fleet.store.cut_off.add(vm_id)
    if cut == "everything":
        # Moves the VM to a data centre of its own, so that no message
        # between it and a peer is delivered.
        fleet.data_centre_by_vm[vm_id] = "alone"
        fleet.cut("alone", "dc-00")
        fleet.cut("alone", "dc-01")


@behave.then("within {within:d} ms each VM has the latest configuration")
def then_latest_within(context, within):
    context.fleet.run(within)
    then_latest(context)


@behave.then("each VM has the latest configuration")
def then_latest(context):
    expected = context.fleet.store.configuration
    for vm_id in context.fleet.revisions():
        held = context.fleet.replica_by_vm[vm_id].configuration
        assert held == expected, (vm_id, held.revision, expected.revision)


@behave.then("no VM's configuration ever reverted")
def then_never_reverted(context):
    assert not context.fleet.reverted, context.fleet.reverted


@behave.then("no VM accepts the configuration key")
def then_none_accepts(context):
    assert teams_of_key(context.fleet) == {None}


def teams_of_key(fleet):
    """Returns the teams to which the VMs assign the key."""
    return {
        fleet.replica_by_vm[vm_id].team_for_key_hash(
            configuration_replicas.KEY_HASH
        )
        for vm_id in fleet.revisions()
    }


@behave.then("the configuration VM {vm_id} {result} the key")
def then_verification_result(context, vm_id, result):
    replica = context.fleet.replica_by_vm[vm_id]
    expected = configuration_replicas.TEAM if result == "accepts" else None
    assert (
        replica.team_for_key_hash(configuration_replicas.KEY_HASH) == expected
    )
    assert replica.is_expired == (result == "refuses")


@behave.then(
    "the store was called at most {limit:d} times a second about the "
    "configuration"
)
def then_few_calls(context, limit):
    counts = context.fleet.counts
    rate = counts.store_calls * 1_000 / context.fleet.now_ms
    assert rate <= limit, rate
