"""Steps about the ownership of shards."""

import collections

import behave

from features.support import cluster_events
from samphiregate.core import fleet
from samphiregate.core import model
from samphiregate.core import ownership
from samphiregate.core.ownership import _table


@behave.given("{shards:d} shards assigned to {vms:d} VMs")
def given_assigned(context, shards, vms):
    context.rendezvous = ownership.Rendezvous(
        data_centre="a", shard_count=shards
    )
    context.vm_ids = tuple(sorted(f"a-{number}" for number in range(vms)))
    context.before = context.rendezvous.owners(context.vm_ids)


@behave.when("one VM ends")
def when_one_ends(context):
    context.ended = context.vm_ids[0]
    context.after = context.rendezvous.owners(context.vm_ids[1:])


@behave.then("no VM had more than {limit:d} shards")
def then_even(context, limit):
    loads = collections.Counter(context.before)
    assert max(loads.values()) <= limit, loads


@behave.then("at most {moved:d} shards of other VMs moved")
def then_moved(context, moved):
    pairs = zip(context.before, context.after, strict=True)
    count = sum(b != a for b, a in pairs if b != context.ended)
    assert count <= moved, count


@behave.then("each shard of the ended VM went to its second candidate")
def then_second(context):
    lost = [n for n, o in enumerate(context.before) if o == context.ended]
    assert lost
    for number in lost:
        order = context.rendezvous.candidates(number, context.vm_ids)
        assert order[:2] == (context.ended, context.after[number])


def _epochs(context):
    cluster = context.cluster
    return {
        (centre, number): entry.epoch
        for centre in cluster.centres
        for number, entry in _table.decode(
            cluster.store.current(ownership.Ownership.key_of(centre))[1]
        ).items()
    }


@behave.when("{event} happens to the initial owner of shard 0")
def when_owner(context, event):
    # Later steps of a scenario apply to the VM of the first one, also when
    # it no longer owns the shard.
    if not hasattr(context, "victim_id"):
        context.victim_id = context.cluster.owner("a", 0).vm_id
        context.epochs = _epochs(context)
    cluster_events.apply_events(context.cluster, event, context.victim_id)


@behave.then("every shard has one owner in the tables of all VMs")
def then_owned(context):
    cluster = context.cluster
    for centre in cluster.centres:
        for number in range(cluster.shard_count):
            shard = model.ShardId(centre, number)
            owners = [
                node.vm_id
                for node in cluster.nodes()
                if node.ownership.owned_epoch(shard) is not None
            ]
            recorded_owners = {
                node.ownership.entry_of(shard).owner
                for node in cluster.nodes(centre)
            }
            assert len(owners) == 1, (shard, owners)
            assert recorded_owners == set(owners), (
                shard,
                owners,
                recorded_owners,
            )


@behave.then("{change} epochs rose")
def then_rose(context, change):
    after = _epochs(context)
    rose = [s for s, epoch in context.epochs.items() if after[s] > epoch]
    assert bool(rose) == (change == "some"), rose


@behave.then("only the shards of the ended VM have no owner")
def then_only_ended_unowned(context):
    cluster = context.cluster
    for centre in cluster.centres:
        for number in range(cluster.shard_count):
            shard = model.ShardId(centre, number)
            owned = any(
                node.ownership.owned_epoch(shard) is not None
                for node in cluster.nodes()
            )
            entry = cluster.nodes()[0].ownership.entry_of(shard)
            ended = entry.owner == context.victim_id
            assert owned != ended, (shard, entry)


@behave.when(
    "the owner of shard 0 is cut off from the platform and all its shards get"
    " another owner"
)
def when_replaced(context):
    cluster = context.cluster
    context.victim = cluster.owner("a", 0)
    cluster.cut_from_platform.add(context.victim.vm_id)
    context.lost = dict(context.victim.ownership.owned_shards)
    other = next(n for n in cluster.nodes() if n is not context.victim)
    key = ownership.Ownership.key_of("a")
    version, value = cluster.store.current(key)
    entries = _table.decode(value)
    for shard in context.lost:
        epoch = entries[shard.number].epoch + 1
        entry = fleet.ShardEntry(other.vm_id, epoch)
        entries[shard.number] = entry
    history = cluster.store.history_by_key[key]
    history.append((version + 1, _table.encode(entries)))


@behave.then("it owns none of these shards under its old epoch")
def then_owns_none(context):
    owned = context.victim.ownership.owned_shards
    assert context.lost
    assert not owned.items() & context.lost.items(), owned
