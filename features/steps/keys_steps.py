"""Steps about keys."""

import base64
import random

import behave

from features.support import configuration_fleet
from features.support import lists as support
from samphiregate.core import base
from samphiregate.core import configuration as configurations
from samphiregate.core import store
from samphiregate import errors
from samphiregate import keys
from samphiregate import lists


@behave.when("{count:d} keys are made for a team")
def when_made(context, count):
    context.made = [keys.make_key("kiosks") for _number in range(count)]


@behave.then("each key carries 32 bytes, and all differ")
def then_bytes(context):
    decoded = set()
    for key, _record in context.made:
        text = key.partition("_")[2]
        decoded.add(base64.urlsafe_b64decode(text + "="))
    assert {len(content) for content in decoded} == {keys.KEY_BYTES}
    assert len(decoded) == len(context.made)


@behave.then("no record holds a key")
def then_not_held(context):
    for key, record in context.made:
        text = configurations.encode(record).decode()
        assert key not in text


@behave.then("each record has the hash of its key")
def then_hashed(context):
    for key, record in context.made:
        assert record.key_hash == keys.hash_key(key)
        assert len(bytes.fromhex(record.key_hash)) == 32


@behave.given("a store of keys with the sample lists")
def given_store(context):
    context.calls = support.ScriptedCalls()
    context.editor = support.make_editor(context.calls)
    lists.apply_lists(
        context.editor, support.parse_samples(), operator="first"
    )


@behave.when("two keys are given to {team}")
def when_given(context, team):
    context.given = [
        lists.give_key(context.editor, team, operator="operator")
        for _number in range(2)
    ]


@behave.when("the first of the keys is withdrawn")
def when_withdrawn(context):
    _key, record, _edit = context.given[0]
    lists.withdraw_key(context.editor, record.key_id, operator="operator")
    again = lists.withdraw_key(
        context.editor, record.key_id, operator="operator"
    )
    assert again is None


@behave.then(
    "an entry VM takes the second key for {team}, and refuses the first"
)
def then_taken(context, team):
    fleet = configuration_fleet.Fleet(data_centres=1, vms=0)
    replica = configurations.ConfigurationReplica(
        vm_id="vm",
        data_centre="dc",
        membership=configuration_fleet.FakeMembership(fleet, "vm"),
        random_state=random.Random(1),
        settle_ms=0,
    )
    replica.handle(base.Tick(), 0)
    head = context.calls.values.read(configurations.HEAD_KEY)
    changed = store.KeyChanged(
        configurations.HEAD_KEY, head.version, head.value
    )
    replica.handle(changed, 1)
    found = [
        replica.team_for_key_hash(keys.hash_key(key))
        for key, _record, _edit in context.given
    ]
    assert found == [None, team], found


@behave.when("giving to an unknown team is tried with the keys")
def when_unknown_team(context):
    context.error = error_from(lists.give_key, context.editor, "nobody")


@behave.when("withdrawing an unknown key is tried with the keys")
def when_unknown_key(context):
    context.error = error_from(lists.withdraw_key, context.editor, "nokey")


def error_from(operation, editor, name):
    """Returns the error that an operation ends with."""
    try:
        operation(editor, name, operator="operator")
    except errors.SamphiregateError as error:
        return error
    return None


@behave.then("the keys are refused with {code}")
def then_refused(context, code):
    assert context.error.code.value == code
