"""The edits that operators make."""

import time
import uuid

import attrs

from samphiregate.core import configuration as configurations
from samphiregate import errors
from samphiregate import keys
from samphiregate.lists import _changes
from samphiregate.lists import _editor


@attrs.frozen
class _Signature:
    """What names an edit; stays the same when the edit is made anew."""

    edit_id: str
    operator: str
    note: str
    time_ms: int


def apply_lists(editor, lists, *, operator, note="", revision=None):
    """Brings the configuration to what the lists say.

    Parameters
    ----------
    editor : ConfigurationEditor
        Reads and writes the store.
    lists : Lists
        Lists that were checked.
    operator : str
        Who applies them.
    note : str
        Why.
    revision : int or None
        Revision that the lists were written against; if none is given,
        that of the lists, or else the one that the store holds first.

    Returns
    -------
    tuple of Edit and list of Difference
        The accepted edit, and what it changed; None and no difference if
        the lists are in force already.

    Raises
    ------
    RaceLostError
        If the lists changed since that revision.
    """
    signature = _sign(operator, note)
    base = lists.revision if revision is None else revision
    found = []

    def make_edit(stored):
        nonlocal base, found
        if base is None:
            base = stored.head.revision
        edit = _changes.edit_between(
            stored.configuration, lists, **attrs.asdict(signature)
        )
        if edit is not None:
            _check_unchanged(stored.head, base)
        found = _changes.differences(stored.configuration, lists)
        return edit

    return editor.write(make_edit), found


def give_key(editor, team, *, operator, note=""):
    """Gives a team a new key; its other keys stay good.

    Returns
    -------
    tuple of str, KeyRecord and Edit
        The key, which can't be had again; its record; the edit.

    Raises
    ------
    SamphiregateError
        With `ErrorCode.NOT_FOUND` if there is no such team.
    """
    signature = _sign(operator, note)
    key, record = keys.make_key(team)

    def make_edit(stored):
        if team not in stored.configuration.teams_by_name:
            raise _not_found(f"there is no team {team}")
        return configurations.Edit(
            revision=stored.head.revision + 1,
            given_keys=(record,),
            **attrs.asdict(signature),
        )

    edit = editor.write(make_edit)
    return key, record, edit


def withdraw_key(editor, key_id, *, operator, note=""):
    """Withdraws a key for good.

    Returns
    -------
    Edit or None
        The edit; None if the key was withdrawn before.

    Raises
    ------
    SamphiregateError
        With `ErrorCode.NOT_FOUND` if there is no such key.
    """
    signature = _sign(operator, note)

    def make_edit(stored):
        record = _find_key(stored.configuration, key_id)
        if record.withdrawn:
            return None
        return configurations.Edit(
            revision=stored.head.revision + 1,
            withdrawn_keys=(record.key_hash,),
            **attrs.asdict(signature),
        )

    return editor.write(make_edit)


def _sign(operator, note):
    return _Signature(
        edit_id=uuid.uuid4().hex,
        operator=operator,
        note=note,
        time_ms=time.time_ns() // 1_000_000,
    )


def _check_unchanged(head, base):
    if base > head.revision:
        raise errors.BadInputError(
            f"the lists name revision {base}, and the store holds "
            f"{head.revision}"
        )
    since = [edit for edit in head.edits if edit.revision > base]
    others = [edit for edit in since if _changes.changes_lists(edit)]
    if others:
        raise _editor.RaceLostError(
            f"the lists changed since revision {base}", others
        )
    if len(since) < head.revision - base:
        raise _editor.RaceLostError(
            f"revision {base} is too old to tell what changed since; get "
            "the lists anew",
            since,
        )


def _find_key(configuration, key_id):
    for record in configuration.keys_by_hash.values():
        if record.key_id == key_id:
            return record
    raise _not_found(f"there is no key {key_id}")


def _not_found(detail):
    return errors.SamphiregateError(errors.ErrorCode.NOT_FOUND, detail)
