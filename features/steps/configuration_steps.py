"""Steps for the configuration, in virtual time."""

import random

import behave
import hypothesis
from hypothesis import strategies

from features.support import configuration_fleet
from samphiregate.core import base
from samphiregate.core import configuration as configurations
from samphiregate.core import model
from samphiregate.core import store

KEY_HASH = "5a" * 32
TEAM = "team-a"
PEER = "peer"
FLAP_COUNT = 8


def key_record():
    """Returns the record of the key under test."""
    return model.KeyRecord(KEY_HASH, "key-1", TEAM)


def make_replica(**parameters):
    """Returns a replica without peers."""
    fleet = configuration_fleet.Fleet(data_centres=1, vms=0)
    return configurations.ConfigurationReplica(
        vm_id="vm",
        data_centre="dc",
        membership=configuration_fleet.FakeMembership(fleet, "vm"),
        random_state=random.Random(1),
        **parameters,
    )


def make_settled_replica():
    """Returns a settled replica without peers."""
    replica = make_replica(settle_ms=0)
    replica.handle(base.Tick(), 0)
    return replica


def make_edits(count, **first_changes):
    """Returns `count` edits, starting at revision 1.

    `first_changes` are further fields of the first edit.
    """
    team = model.Team(TEAM, "plan")
    edits = [configurations.Edit(1, "edit-1", teams=(team,), **first_changes)]
    edits += [
        configurations.Edit(
            revision,
            f"edit-{revision}",
            teams=(model.Team("b", str(revision)),),
        )
        for revision in range(2, count + 1)
    ]
    return edits


def deliver(replica, message, now_ms=0):
    """Delivers a peer's message to a replica."""
    return replica.handle(base.PeerDelivered(PEER, message), now_ms)


def stale_reads(fleet):
    """Makes reads stale and restarts one VM now and another after 2 s."""
    fleet.store.stale_reads = True
    fleet.start("vm-003")
    fleet.call(2_000, fleet.start, "vm-000")


def watcher_dies(fleet):
    """Kills a watcher, whose death is detected after 4 s."""
    fleet.kill("vm-000", detected=False)
    fleet.call(4_000, fleet.mark_dead, "vm-000")


def all_restarted(fleet):
    """Restarts every VM without its state, one each 500 ms."""
    for number, vm_id in enumerate(fleet.data_centre_by_vm):
        fleet.call(500 * number, fleet.start, vm_id)


def store_cut_for_all(fleet):
    """Cuts all VMs off from the store, but not from one another."""
    fleet.store.cut_off |= set(fleet.data_centre_by_vm)


def isolated(fleet):
    """Cuts dc-00 off from the other data centres and from the store."""
    fleet.cut("dc-00", "dc-01")
    fleet.cut("dc-00", "dc-02")
    fleet.store.cut_off |= set(fleet.vms_of("dc-00"))


def flapping(fleet):
    """Isolates dc-00 and heals it after 500 ms, `FLAP_COUNT` times."""
    for number in range(FLAP_COUNT):
        fleet.call(1_000 * number, isolated, fleet)
        fleet.call(1_000 * number + 500, fleet.heal)


FAULTS = {
    "none": lambda fleet: None,
    "loss": lambda fleet: setattr(fleet, "loss", 0.3),
    "duplicates": lambda fleet: [
        setattr(fleet, "duplication", 0.5),
        setattr(fleet, "jitter_ms", 3_000),
    ],
    "stale reads": stale_reads,
    "watcher dies": watcher_dies,
    "watcher dead, undetected": lambda fleet: fleet.kill(
        "vm-000", detected=False
    ),
    "all restarted": all_restarted,
    "one paused": lambda fleet: fleet.paused.add("vm-001"),
    "store cut for one": lambda fleet: fleet.store.cut_off.update(
        fleet.vms_of("dc-01")
    ),
    "store cut for all": store_cut_for_all,
    "partition": lambda fleet: fleet.cut("dc-00", "dc-01"),
    "isolated": isolated,
    "flapping": flapping,
}


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
    FAULTS[fault](context.fleet)


@behave.given("a configuration key that every VM accepts")
def given_key(context):
    context.fleet.store.accept(
        teams=(model.Team(TEAM, "plan"),), given_keys=(key_record(),)
    )
    context.fleet.run(3_000)
    assert teams_of_key(context.fleet) == {TEAM}


@behave.given("a configuration replica with a key of revision 1")
def given_replica_with_key(context):
    context.replica = make_settled_replica()
    edits = make_edits(1, given_keys=(key_record(),))
    deliver(context.replica, configurations.ConfigurationDelta(tuple(edits)))
    assert context.replica.team_for_key_hash(KEY_HASH) == TEAM


@behave.given("a configuration replica that applied {count:d} edits")
def given_replica_with_edits(context, count):
    context.replica = make_settled_replica()
    for edit in make_edits(count):
        deliver(context.replica, configurations.ConfigurationDelta((edit,)))
    assert context.replica.configuration.revision == count


@behave.given(
    "a configuration replica started at {start:d} ms, keys valid for "
    "{valid:d} ms without contact"
)
def given_started_replica(context, start, valid):
    context.replica = make_replica(keys_valid_without_news_ms=valid)
    context.replica.handle(base.Tick(), start)


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


@behave.when("the new configuration replica receives nothing until {now:d} ms")
def when_nothing(context, now):
    context.actions = context.replica.handle(base.Tick(), now)


@behave.when(
    "the new configuration replica reads a head of revision {revision:d} at "
    "{now:d} ms"
)
def when_reads_head(context, revision, now):
    head = configurations.Head(revision, 0, tuple(make_edits(revision)))
    changed = store.KeyChanged(
        configurations.HEAD_KEY, 1, configurations.encode(head)
    )
    context.actions = context.replica.handle(changed, now)


@behave.then("it notifies its VM of configuration revisions {revisions}")
def then_notifies_vm(context, revisions):
    notified = [
        str(action.event.configuration.revision)
        for action in context.actions
        if isinstance(action, base.Notify)
    ]
    assert (" ".join(notified) or "none") == revisions, notified


@behave.when(
    "the new configuration replica receives a peer's revision {revision:d} "
    "at {now:d} ms"
)
def when_peer_revision(context, revision, now):
    answer = configurations.ConfigurationDigest(
        revision, asked_ms=1, is_reply=True
    )
    deliver(context.replica, answer, now)


@behave.then("the new configuration replica {result} verify keys")
def then_can_verify(context, result):
    assert context.replica.can_verify_keys == (result == "can")


@behave.then("the restarted VM {vm_id} never accepts the configuration key")
def then_never_accepts(context, vm_id):
    fleet = context.fleet
    for _step in range(100):
        fleet.run(50)
        replica = fleet.replica_by_vm[vm_id]
        assert replica.team_for_key_hash(KEY_HASH) is None, fleet.now_ms
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
    context.fleet.store.accept(withdrawn_keys=(KEY_HASH,))


@behave.when("the configuration event happens: {event}")
def when_event_happens(context, event):
    fleet = context.fleet
    if event == "the key is issued again":
        fleet.store.accept(given_keys=(key_record(),))
    elif event == "every VM is replaced":
        for vm_id in fleet.data_centre_by_vm:
            fleet.start(vm_id)
    elif event == "its team is removed":
        fleet.store.accept(removed_teams=(TEAM,))
    else:
        send_outdated_update(fleet, event)
    fleet.run(3_000)


def send_outdated_update(fleet, event):
    """Sends each VM the state from before the withdrawal."""
    edits = tuple(make_edits(1, given_keys=(key_record(),)))
    old = configurations.apply_edits(model.Configuration(), edits)
    if event == "an old snapshot arrives":
        message = configurations.ConfigurationSnapshot(old)
    else:
        message = configurations.ConfigurationDelta(edits)
    for vm_id in fleet.data_centre_by_vm:
        fleet.deliver_later(1, vm_id, base.PeerDelivered("vm-001", message))


@behave.when(
    "a configuration peer sends revision {revision:d}, which withdraws the key"
)
def when_early_withdrawal(context, revision):
    edit = configurations.Edit(
        revision, "withdrawal", withdrawn_keys=(KEY_HASH,)
    )
    context.actions = deliver(
        context.replica, configurations.ConfigurationDelta((edit,))
    )


@behave.when("a configuration peer of revision {revision:d} compares")
def when_compares(context, revision):
    digest = configurations.ConfigurationDigest(revision)
    context.actions = deliver(context.replica, digest)


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


@behave.when("a reply to its comparison of {sent:d} ms arrives at {now:d} ms")
def when_delayed_reply(context, sent, now):
    answer = configurations.ConfigurationDigest(
        0, asked_ms=sent, is_reply=True
    )
    deliver(context.replica, answer, now)


@behave.when("the store reports the configuration head {document}")
def when_head(context, document):
    changed = store.KeyChanged(
        configurations.HEAD_KEY, 2, document.encode("utf-8")
    )
    context.actions = context.replica.handle(changed, 0)


@behave.when(
    "the store reports a configuration head of revisions {first:d} and "
    "{second:d}"
)
def when_head_with_gap(context, first, second):
    edits = tuple(
        configurations.Edit(revision, f"edit-{revision}")
        for revision in (first, second)
    )
    head = configurations.Head(second, 0, edits)
    changed = store.KeyChanged(
        configurations.HEAD_KEY, 2, configurations.encode(head)
    )
    context.actions = context.replica.handle(changed, 0)


@behave.then("it reads the configuration's snapshot")
def then_reads_snapshot(context):
    (read,) = context.actions
    assert read.key == configurations.SNAPSHOT_KEY, read


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
        fleet.replica_by_vm[vm_id].team_for_key_hash(KEY_HASH)
        for vm_id in fleet.revisions()
    }


@behave.then("the configuration VM {vm_id} {result} the key")
def then_verification_result(context, vm_id, result):
    replica = context.fleet.replica_by_vm[vm_id]
    expected = TEAM if result == "accepts" else None
    assert replica.team_for_key_hash(KEY_HASH) == expected
    assert replica.is_expired == (result == "refuses")


@behave.then("the configuration replica refuses the key")
def then_refuses(context):
    assert context.replica.team_for_key_hash(KEY_HASH) is None


@behave.then("it requests the missing edits from that peer")
def then_requests(context):
    (request,) = context.actions
    assert request.recipient == PEER
    assert isinstance(request.message, configurations.ConfigurationDigest)
    assert request.message.revision == 1


@behave.then("its configuration is still of revision {revision:d}")
def then_revision(context, revision):
    assert context.replica.configuration.revision == revision


@behave.then("the configuration replica answers with {kind}")
def then_answers(context, kind):
    reply, *updates = (action.message for action in context.actions)
    assert reply.is_reply
    kinds = {
        configurations.ConfigurationDelta: "edits",
        configurations.ConfigurationSnapshot: "snapshot",
    }
    found = [kinds[type(update)] for update in updates]
    assert found == ([] if kind == "nothing" else [kind]), found


@behave.then("the age of its configuration is {age:d} ms")
def then_age(context, age):
    assert context.replica.news_age_ms == age, context.replica.news_age_ms


@behave.then("the unreadable configuration document is counted")
def then_unreadable(context):
    assert context.replica.unreadable_documents_ == 1


@behave.then(
    "the store was called at most {limit:d} times a second about the "
    "configuration"
)
def then_few_calls(context, limit):
    counts = context.fleet.counts
    rate = counts.store_calls * 1_000 / context.fleet.now_ms
    assert rate <= limit, rate


@behave.then("no order of configuration updates reverts a replica")
def then_no_order_reverts(context):
    edits = make_edits(12, given_keys=(key_record(),))
    edits[5] = configurations.Edit(6, "edit-6", withdrawn_keys=(KEY_HASH,))
    states = [model.Configuration()]
    for edit in edits:
        states.append(configurations.apply_edit(states[-1], edit))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(update_strategy(edits, states)))
    def check(updates):
        check_updates(updates, states)

    check()


def update_strategy(edits, states):
    """Returns a strategy for one update with any revisions."""
    numbers = strategies.integers(0, len(edits))
    deltas = strategies.builds(
        lambda a, b: configurations.ConfigurationDelta(
            tuple(edits[min(a, b) : max(a, b)])
        ),
        numbers,
        numbers,
    )
    snapshots = strategies.builds(
        lambda number: configurations.ConfigurationSnapshot(states[number]),
        numbers,
    )
    heads = strategies.builds(
        lambda number: store.KeyChanged(
            configurations.HEAD_KEY,
            number,
            configurations.encode(
                configurations.Head(number, 0, tuple(edits[:number]))
            ),
        ),
        numbers,
    )
    return strategies.one_of(deltas, snapshots, heads)


def check_updates(updates, states):
    """Checks the replica after each update."""
    replica = make_settled_replica()
    highest = 0
    withdrawn = False
    for number, item in enumerate(updates):
        if isinstance(item, store.KeyChanged):
            replica.handle(item, number)
        else:
            deliver(replica, item, number)
        revision = replica.configuration.revision
        assert revision >= highest
        assert replica.configuration == states[revision]
        highest = revision
        # The edit of revision 6 withdraws the key.
        withdrawn |= revision >= 6 or contains_withdrawal(item)
        if withdrawn:
            assert replica.team_for_key_hash(KEY_HASH) is None


def contains_withdrawal(item):
    """Returns whether an update contains the withdrawal."""
    if isinstance(item, configurations.ConfigurationDelta):
        return any(edit.withdrawn_keys for edit in item.edits)
    return False


@behave.given(
    "a configuration replica with {teams:d} teams and {count:d} keys"
)
def given_large_configuration(context, teams, count):
    context.replica = make_settled_replica()
    names = [f"team-{number:03d}" for number in range(teams)]
    context.valid_records = [
        model.KeyRecord(f"{number:064x}", f"{number:012x}", names[0])
        for number in range(count)
    ]
    edit = configurations.Edit(
        1,
        "first",
        teams=tuple(model.Team(name, "plan") for name in names),
        given_keys=tuple(context.valid_records),
    )
    deliver(context.replica, configurations.ConfigurationDelta((edit,)))


@behave.when(
    "{count:d} more keys are issued and withdrawn in the configuration"
)
def when_many_withdrawn(context, count):
    context.withdrawn = [
        f"{number:064x}" for number in range(10**6, 10**6 + count)
    ]
    records = tuple(
        model.KeyRecord(key_hash, key_hash[:12], "team-000")
        for key_hash in context.withdrawn
    )
    edits = (
        configurations.Edit(2, "given", given_keys=records),
        configurations.Edit(
            3, "withdrawn", withdrawn_keys=tuple(context.withdrawn)
        ),
    )
    deliver(context.replica, configurations.ConfigurationDelta(edits))
    assert context.replica.configuration.revision == 3


@behave.then("the configuration's document is within the store's size limit")
def then_fits(context):
    size = len(configurations.encode(context.replica.configuration))
    assert size <= configurations.MAX_DOCUMENT_BYTES, size


@behave.then("the configuration replica refuses each withdrawn key")
def then_refuses_all(context):
    accepted = map(context.replica.team_for_key_hash, context.withdrawn)
    assert set(accepted) == {None}


@behave.then("the configuration replica accepts {count:d} keys")
def then_accepts(context, count):
    accepted = [
        record
        for record in context.valid_records
        if context.replica.team_for_key_hash(record.key_hash)
    ]
    assert len(accepted) == count
