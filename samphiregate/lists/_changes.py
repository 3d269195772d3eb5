"""What lies between two states of the lists."""

import attrs

from samphiregate.core import configuration as configurations


@attrs.frozen
class Difference:
    """One entry that differs.

    Parameters
    ----------
    sign : str
        ``+`` added, ``-`` removed, ``~`` changed.
    kind : str
        ``team``, ``plan``, ``queue`` or ``key``.
    name : str
        Name of the entry.
    detail : str
        The fields that differ.
    """

    sign: str
    kind: str
    name: str
    detail: str = ""


_TABLES = (
    ("queue", "queues_by_name"),
    ("plan", "plans_by_name"),
    ("team", "teams_by_name"),
)


def differences(before, after):
    """Returns what leads from one state to another.

    Parameters
    ----------
    before, after : Configuration or Lists
        Two states; only teams, plans and queues are compared.

    Returns
    -------
    list of Difference
    """
    found = []
    for kind, attribute in _TABLES:
        found += _table_differences(
            kind, getattr(before, attribute), getattr(after, attribute)
        )
    return found


def describe_edit(edit):
    """Returns the `Difference` records that an edit consists of."""
    found = []
    for kind in ("queue", "plan", "team"):
        found += [
            Difference("~", kind, entry.name, _fields_of(entry))
            for entry in getattr(edit, f"{kind}s")
        ]
        found += [
            Difference("-", kind, name)
            for name in getattr(edit, f"removed_{kind}s")
        ]
    found += [
        Difference("+", "key", record.key_id, f"team={record.team}")
        for record in edit.given_keys
    ]
    found += [
        Difference("-", "key", key_hash[:12], "withdrawn")
        for key_hash in edit.withdrawn_keys
    ]
    return found


def changes_lists(edit):
    """Returns whether an edit changes teams, plans or queues."""
    return bool(
        edit.teams
        or edit.plans
        or edit.queues
        or edit.removed_teams
        or edit.removed_plans
        or edit.removed_queues
    )


def edit_between(configuration, lists, *, edit_id, operator, note, time_ms):
    """Returns the edit that brings a configuration to the lists.

    Keys of a removed team are withdrawn with it.

    Returns
    -------
    Edit or None
        None if there is nothing to change.
    """
    removed_teams = _removed(configuration.teams_by_name, lists.teams_by_name)
    edit = configurations.Edit(
        revision=configuration.revision + 1,
        edit_id=edit_id,
        operator=operator,
        note=note,
        time_ms=time_ms,
        teams=_put(configuration.teams_by_name, lists.teams_by_name),
        plans=_put(configuration.plans_by_name, lists.plans_by_name),
        queues=_put(configuration.queues_by_name, lists.queues_by_name),
        removed_teams=removed_teams,
        removed_plans=_removed(
            configuration.plans_by_name, lists.plans_by_name
        ),
        removed_queues=_removed(
            configuration.queues_by_name, lists.queues_by_name
        ),
        withdrawn_keys=_keys_of(configuration, removed_teams),
    )
    return edit if changes_lists(edit) else None


def _table_differences(kind, before_by_name, after_by_name):
    found = []
    for name in sorted(before_by_name.keys() | after_by_name.keys()):
        before = before_by_name.get(name)
        after = after_by_name.get(name)
        if before is None:
            found.append(Difference("+", kind, name, _fields_of(after)))
        elif after is None:
            found.append(Difference("-", kind, name, _fields_of(before)))
        elif before != after:
            detail = _changed_fields(before, after)
            found.append(Difference("~", kind, name, detail))
    return found


def _fields_of(entry):
    fields = attrs.asdict(entry, recurse=False)
    return ", ".join(
        f"{name}={_shown(value)}"
        for name, value in fields.items()
        if name != "name"
    )


def _changed_fields(before, after):
    old = attrs.asdict(before, recurse=False)
    new = attrs.asdict(after, recurse=False)
    return ", ".join(
        f"{name}: {_shown(old[name])} -> {_shown(new[name])}"
        for name in new
        if old[name] != new[name]
    )


def _shown(value):
    if isinstance(value, tuple):
        return "[" + " ".join(value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def _put(before_by_name, after_by_name):
    return tuple(
        entry
        for name, entry in after_by_name.items()
        if before_by_name.get(name) != entry
    )


def _removed(before_by_name, after_by_name):
    return tuple(sorted(before_by_name.keys() - after_by_name.keys()))


def _keys_of(configuration, teams):
    return tuple(
        key_hash
        for key_hash, record in configuration.keys_by_hash.items()
        if record.team in teams and not record.withdrawn
    )
