"""Steps that apply configuration updates in any order."""

import behave
import hypothesis
from hypothesis import strategies

from features.support import configuration_replicas
from samphiregate.core import configuration as configurations
from samphiregate.core import model
from samphiregate.core import store


@behave.then("no order of configuration updates reverts a replica")
def then_no_order_reverts(context):
    edits = configuration_replicas.make_edits(
        12, given_keys=(configuration_replicas.key_record(),)
    )
    edits[5] = configurations.Edit(
        6, "edit-6", withdrawn_keys=(configuration_replicas.KEY_HASH,)
    )
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
    replica = configuration_replicas.make_settled_replica()
    highest = 0
    withdrawn = False
    for number, item in enumerate(updates):
        if isinstance(item, store.KeyChanged):
            replica.handle(item, number)
        else:
            configuration_replicas.deliver(replica, item, number)
        revision = replica.configuration.revision
        assert revision >= highest
        assert replica.configuration == states[revision]
        highest = revision
        # The edit of revision 6 withdraws the key.
        withdrawn |= revision >= 6 or contains_withdrawal(item)
        if withdrawn:
            assert (
                replica.team_for_key_hash(configuration_replicas.KEY_HASH)
                is None
            )


def contains_withdrawal(item):
    """Returns whether an update contains the withdrawal."""
    if isinstance(item, configurations.ConfigurationDelta):
        return any(edit.withdrawn_keys for edit in item.edits)
    return False
