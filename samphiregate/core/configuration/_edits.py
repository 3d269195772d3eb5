"""Applying edits to a configuration, and the head that results."""

import attrs

from samphiregate.core.configuration import _documents
from samphiregate.core import model
from samphiregate import errors

WITHDRAWN_KEYS_KEPT = 4_096
HEAD_EDITS_MIN = 16
HEAD_EDITS_MAX = 48
HEAD_BYTES_MAX = 65_536
EDIT_BYTES_MAX = 262_144


def apply_edit(configuration, edit):
    """Returns the configuration that an edit leads to.

    Parameters
    ----------
    configuration : Configuration
        That of the revision just before the edit's.
    edit : Edit
        The edit.

    Returns
    -------
    Configuration

    Raises
    ------
    BadInputError
        If the edit is not that of the next revision.

    Notes
    -----
    A withdrawn key stays withdrawn whatever is given later. Of the records
    of withdrawn keys the latest `WITHDRAWN_KEYS_KEPT` are kept for lists; a
    key without a record is refused just as a withdrawn one is.
    """
    if edit.revision != configuration.revision + 1:
        raise errors.BadInputError(
            f"edit {edit.edit_id} is of revision {edit.revision}, and the "
            f"configuration of {configuration.revision}"
        )
    return model.Configuration(
        revision=edit.revision,
        teams_by_name=_put(
            configuration.teams_by_name, edit.teams, edit.removed_teams
        ),
        plans_by_name=_put(
            configuration.plans_by_name, edit.plans, edit.removed_plans
        ),
        queues_by_name=_put(
            configuration.queues_by_name, edit.queues, edit.removed_queues
        ),
        keys_by_hash=_keys_after(configuration.keys_by_hash, edit),
    )


def apply_edits(configuration, edits):
    """Applies those of `edits` that are above the configuration's revision.

    Raises
    ------
    BadInputError
        If there is a gap between the configuration and the edits.
    """
    for edit in edits:
        if edit.revision > configuration.revision:
            configuration = apply_edit(configuration, edit)
    return configuration


def head_after(head, edit):
    """Returns the head that results from one more edit.

    Edits are kept back to the snapshot, and `HEAD_EDITS_MIN` of them in
    any case, so that the fate of an edit whose answer was lost can be told.
    """
    edits = (*head.edits, edit)
    needed = edit.revision - head.snapshot_revision
    kept = max(needed, HEAD_EDITS_MIN)
    return _documents.Head(
        revision=edit.revision,
        snapshot_revision=head.snapshot_revision,
        edits=edits[-kept:],
    )


def needs_snapshot(head):
    """Returns whether a new snapshot is due before the next edit."""
    since = head.revision - head.snapshot_revision
    if since >= HEAD_EDITS_MAX:
        return True
    size = len(_documents.encode_head(head))
    return since > 0 and size > HEAD_BYTES_MAX


def with_snapshot(head, snapshot_revision):
    """Returns `head` leaning on a snapshot of at least a revision."""
    revision = max(snapshot_revision, head.snapshot_revision)
    return attrs.evolve(head, snapshot_revision=min(revision, head.revision))


def find_edit(head, edit_id):
    """Returns the edit of that id among the head's edits, or None."""
    for edit in head.edits:
        if edit.edit_id == edit_id:
            return edit
    return None


def _put(entries_by_name, added, removed_names):
    if not added and not removed_names:
        return entries_by_name
    removed = frozenset(removed_names)
    kept = {
        name: entry
        for name, entry in entries_by_name.items()
        if name not in removed
    }
    kept.update((entry.name, entry) for entry in added)
    return kept


def _keys_after(keys_by_hash, edit):
    if not edit.given_keys and not edit.withdrawn_keys:
        return keys_by_hash
    kept = dict(keys_by_hash)
    for record in edit.given_keys:
        kept.setdefault(record.key_hash, record)
    for key_hash in edit.withdrawn_keys:
        record = kept.pop(key_hash, None)
        if record is not None:
            # Withdrawn records are last in the order of their withdrawal.
            kept[key_hash] = attrs.evolve(record, withdrawn=True)
    return _without_oldest_withdrawn(kept)


def _without_oldest_withdrawn(keys_by_hash):
    withdrawn = [
        key_hash
        for key_hash, record in keys_by_hash.items()
        if record.withdrawn
    ]
    for key_hash in withdrawn[:-WITHDRAWN_KEYS_KEPT]:
        del keys_by_hash[key_hash]
    return keys_by_hash
