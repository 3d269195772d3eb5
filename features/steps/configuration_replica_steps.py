"""Steps for the configuration replica of one VM."""

import behave

from features.support import configuration_replicas
from samphiregate.core import base
from samphiregate.core import configuration as configurations
from samphiregate.core import model
from samphiregate.core import store


@behave.given("a configuration replica with a key of revision 1")
def given_replica_with_key(context):
    context.replica = configuration_replicas.make_settled_replica()
    edits = configuration_replicas.make_edits(
        1, given_keys=(configuration_replicas.key_record(),)
    )
    configuration_replicas.deliver(
        context.replica, configurations.ConfigurationDelta(tuple(edits))
    )
    assert (
        context.replica.team_for_key_hash(configuration_replicas.KEY_HASH)
        == configuration_replicas.TEAM
    )


@behave.given("a configuration replica that applied {count:d} edits")
def given_replica_with_edits(context, count):
    context.replica = configuration_replicas.make_settled_replica()
    for edit in configuration_replicas.make_edits(count):
        configuration_replicas.deliver(
            context.replica, configurations.ConfigurationDelta((edit,))
        )
    assert context.replica.configuration.revision == count


@behave.given(
    "a configuration replica started at {start:d} ms, keys valid for "
    "{valid:d} ms without contact"
)
def given_started_replica(context, start, valid):
    context.replica = configuration_replicas.make_replica(
        keys_valid_without_news_ms=valid
    )
    context.replica.handle(base.Tick(), start)


@behave.when("the new configuration replica receives nothing until {now:d} ms")
def when_nothing(context, now):
    context.actions = context.replica.handle(base.Tick(), now)


@behave.when(
    "the new configuration replica reads a head of revision {revision:d} at "
    "{now:d} ms"
)
def when_reads_head(context, revision, now):
    head = configurations.Head(
        revision, 0, tuple(configuration_replicas.make_edits(revision))
    )
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
    configuration_replicas.deliver(context.replica, answer, now)


@behave.then("the new configuration replica {result} verify keys")
def then_can_verify(context, result):
    assert context.replica.can_verify_keys == (result == "can")


@behave.when(
    "a configuration peer sends revision {revision:d}, which withdraws the key"
)
def when_early_withdrawal(context, revision):
    edit = configurations.Edit(
        revision,
        "withdrawal",
        withdrawn_keys=(configuration_replicas.KEY_HASH,),
    )
    context.actions = configuration_replicas.deliver(
        context.replica, configurations.ConfigurationDelta((edit,))
    )


@behave.when("a configuration peer of revision {revision:d} compares")
def when_compares(context, revision):
    digest = configurations.ConfigurationDigest(revision)
    context.actions = configuration_replicas.deliver(context.replica, digest)


@behave.when("a reply to its comparison of {sent:d} ms arrives at {now:d} ms")
def when_delayed_reply(context, sent, now):
    answer = configurations.ConfigurationDigest(
        0, asked_ms=sent, is_reply=True
    )
    configuration_replicas.deliver(context.replica, answer, now)


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


@behave.then("the configuration replica refuses the key")
def then_refuses(context):
    assert (
        context.replica.team_for_key_hash(configuration_replicas.KEY_HASH)
        is None
    )


@behave.then("it requests the missing edits from that peer")
def then_requests(context):
    (request,) = context.actions
    assert request.recipient == configuration_replicas.PEER
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


@behave.given(
    "a configuration replica with {teams:d} teams and {count:d} keys"
)
def given_large_configuration(context, teams, count):
    context.replica = configuration_replicas.make_settled_replica()
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
    configuration_replicas.deliver(
        context.replica, configurations.ConfigurationDelta((edit,))
    )


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
    configuration_replicas.deliver(
        context.replica, configurations.ConfigurationDelta(edits)
    )
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
