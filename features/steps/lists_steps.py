"""Steps about the operators' lists and their edits."""

import attrs
import behave

from features.support import lists as support
from samphiregate.core import configuration as configurations
from samphiregate.core import model
from samphiregate import errors
from samphiregate import lists

LARGER_SHARE = 3.5
NO_PATH = "-"


@behave.given("the sample lists")
def given_samples(context):
    context.texts = support.sample_texts()


@behave.given("a store that holds the sample lists")
def given_store(context):
    context.calls = support.ScriptedCalls()
    editor = support.make_editor(context.calls)
    lists.apply_lists(editor, support.parse_samples(), operator="first")
    context.lists = support.parse_samples()


@behave.given("its next swaps go {script}")
def given_script(context, script):
    context.calls.script = script.split()


@behave.given("another operator's {kind} edits")
def given_others(context, kind):
    if kind == "list":
        context.calls.edit_by_other(teams=(model.Team("kiosks", "trial"),))
    for number in range({"key": 1, "many": support.MANY}.get(kind, 0)):
        key = support.other_key(number)
        context.calls.edit_by_other(given_keys=(key,))


@behave.given("the next read of the head is stale")
def given_stale(context):
    context.calls.stale = True


@behave.given("its snapshots are {fate}")
def given_snapshots(context, fate):
    context.calls.snapshots_refused = fate == "refused"


@behave.when("{text} of {file} is replaced by {mistake}")
def when_replaced(context, text, file, mistake):
    before = context.texts[file]
    assert text in before, text
    mistake = mistake.replace("\\n", "\n")
    context.texts[file] = before.replace(text, mistake, 1)


@behave.when("the lists are got, and read again")
def when_got(context):
    configuration = context.calls.stored().configuration
    context.lists = lists.parse_lists(
        lists.render_teams(configuration), lists.render_plans(configuration)
    )


@behave.when("an operator applies a larger share for nightly")
def when_applied(context):
    apply(context, with_share(context.lists))


@behave.when(
    "an operator applies a larger share for nightly, against revision "
    "{revision:d}"
)
def when_applied_against(context, revision):
    wanted = with_share(context.lists)
    apply(context, attrs.evolve(wanted, revision=revision))


@behave.when("an operator applies {count:d} more teams")
def when_many_teams(context, count):
    teams = {
        f"team-{number}": model.Team(f"team-{number}", "trial")
        for number in range(count)
    }
    teams.update(context.lists.teams_by_name)
    apply(context, attrs.evolve(context.lists, teams_by_name=teams))


@behave.when("an operator applies the lists without the team {team}")
def when_team_removed(context, team):
    teams = dict(context.lists.teams_by_name)
    del teams[team]
    apply(context, attrs.evolve(context.lists, teams_by_name=teams))
    assert context.error is None, context.error


@behave.when("an operator applies the lists with the team {team}")
def when_team_added(context, team):
    apply(context, context.lists)
    teams = context.calls.stored().configuration.teams_by_name
    assert team in teams


@behave.when("{count:d} keys are given and withdrawn in turn")
def when_many_keys(context, count):
    editor = support.make_editor(context.calls)
    for _number in range(count):
        _key, record, _edit = lists.give_key(
            editor, "rangers", operator="operator"
        )
        lists.withdraw_key(editor, record.key_id, operator="operator")


def with_share(wanted):
    """Returns lists in which the plan nightly has a larger share."""
    plans = dict(wanted.plans_by_name)
    plans["nightly"] = attrs.evolve(plans["nightly"], share=LARGER_SHARE)
    return attrs.evolve(wanted, plans_by_name=plans)


def apply(context, wanted):
    """Applies lists and keeps the error, if there is one."""
    context.error = context.edit = None
    editor = support.make_editor(context.calls)
    try:
        context.edit, _found = lists.apply_lists(
            editor, wanted, operator="operator"
        )
    except errors.SamphiregateError as error:
        context.error = error


@behave.then("the first is at line {line:d}, path {path}, with {hint}")
def then_refused_at(context, line, path, hint):
    problem = problems_of(context.texts)[0]
    assert problem.line == line, problem
    assert problem.path == ("" if path == NO_PATH else path), problem
    assert hint in problem.hint, problem


@behave.then("the lists are refused with {count:d} problems")
def then_refused(context, count):
    found = problems_of(context.texts)
    assert len(found) == count, found


def problems_of(texts):
    """Returns the problems that texts are refused for."""
    try:
        lists.parse_lists(texts[lists.TEAMS_FILE], texts[lists.PLANS_FILE])
    except lists.InvalidListsError as error:
        return error.problems
    raise AssertionError("the lists were taken")


@behave.then("they don't differ from what the store holds")
def then_same(context):
    configuration = context.calls.stored().configuration
    assert not lists.differences(configuration, context.lists)
    assert context.lists.revision == configuration.revision


@behave.then("applying ends with {end}")
def then_ends(context, end):
    found = context.error.code.value if context.error else "success"
    assert found == end, context.error
    assert (context.edit is not None) == (end == "success"), context.edit


@behave.then("the larger share was accepted {times:d} times")
def then_accepted(context, times):
    context.calls.down = False
    stored = context.calls.stored()
    plan = stored.configuration.plans_by_name["nightly"]
    assert (plan.share == LARGER_SHARE) == bool(times), plan
    own = [edit for edit in stored.head.edits if edit.operator == "operator"]
    assert len(own) <= times, own


@behave.then("the other operator's team {team} is shown")
def then_shown(context, team):
    shown = [
        difference.name
        for edit in context.error.edits
        for difference in lists.describe_edit(edit)
    ]
    assert shown == [team], shown


@behave.then("the other operator's key is {state}")
def then_other_key(context, state):
    keys_by_hash = context.calls.stored().configuration.keys_by_hash
    record = keys_by_hash[support.other_key(0).key_hash]
    assert record.withdrawn == (state == "withdrawn")


@behave.then("the head has at most {most:d} bytes")
def then_head_bytes(context, most):
    head = context.calls.values.read(configurations.HEAD_KEY)
    assert len(head.value) <= most, len(head.value)


@behave.then("a newcomer reads the {count:d} keys, withdrawn")
def then_newcomer(context, count):
    records = context.calls.stored().configuration.keys_by_hash.values()
    withdrawn = [record for record in records if record.withdrawn]
    assert len(withdrawn) == count, len(withdrawn)


@behave.then("the store still holds revision {revision:d}")
def then_still(context, revision):
    assert context.calls.stored().head.revision == revision
