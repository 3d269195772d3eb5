"""Application of edits to a configuration and to the head document."""

import attrs

from samphiregate.core.configuration import _documents
from samphiregate.core import model
from samphiregate import errors

MAX_WITHDRAWN_RECORDS = 1_024
HEAD_TARGET_BYTES = 4_096


def apply_edit(configuration, edit):
    """Returns the configuration that results from an edit.

    Parameters
    ----------
    configuration : Configuration
        Configuration of the revision before the edit's.
    edit : Edit
        Edit to apply.

    Returns
    -------
    Configuration

    Raises
    ------
    BadInputError
        If the edit's revision does not follow the configuration's.

    Notes
    -----
    A withdrawn key stays withdrawn while its record is retained, even if it
    is issued again. Only the last `MAX_WITHDRAWN_RECORDS` records of
    withdrawn keys are retained, for listings; a key without a record is
    refused like a withdrawn one, unless it is issued again.
    """
    if edit.revision != configuration.revision + 1:
        raise errors.BadInputError(
            f"edit {edit.edit_id} has revision {edit.revision}, which does "
            f"not follow the configuration's revision {configuration.revision}"
        )
    return model.Configuration(
        revision=edit.revision,
        teams_by_name=_replace_entries(
            configuration.teams_by_name, edit.teams, edit.removed_teams
        ),
        plans_by_name=_replace_entries(
            configuration.plans_by_name, edit.plans, edit.removed_plans
        ),
        queues_by_name=_replace_entries(
            configuration.queues_by_name, edit.queues, edit.removed_queues
        ),
        keys_by_hash=_apply_key_changes(configuration.keys_by_hash, edit),
    )


def apply_edits(configuration, edits):
    """Applies the edits with a higher revision than the configuration's.

    Raises
    ------
    BadInputError
        If an edit is missing between the configuration and the edits.
    """
    for edit in edits:
        if edit.revision > configuration.revision:
            configuration = apply_edit(configuration, edit)
    return configuration


def append_edit(head, edit):
    """Returns the head with one more edit.

    All edits since the snapshot are retained, even if the head exceeds
    `HEAD_TARGET_BYTES`. Earlier ones are retained as far as they fit into
    that size, so that an author whose write got no answer can look up
    whether the edit was accepted.
    """
    new_head = attrs.evolve(
        head, revision=edit.revision, edits=(*head.edits, edit)
    )
    excess_bytes = _size_bytes(new_head) - HEAD_TARGET_BYTES
    droppable = len(new_head.edits) - (edit.revision - head.snapshot_revision)
    dropped = 0
    while excess_bytes > 0 and dropped < droppable:
        excess_bytes -= _size_bytes(new_head.edits[dropped])
        dropped += 1
    return attrs.evolve(new_head, edits=new_head.edits[dropped:])


def needs_snapshot(head):
    """Returns whether to write a new snapshot before the next edit.

    True once the edits since the snapshot take more than half of
    `HEAD_TARGET_BYTES`. After the snapshot they count as earlier edits,
    which `append_edit` may drop.
    """
    count_since_snapshot = head.revision - head.snapshot_revision
    if not count_since_snapshot:
        return False
    size_bytes = sum(
        _size_bytes(edit) for edit in head.edits[-count_since_snapshot:]
    )
    return size_bytes > HEAD_TARGET_BYTES // 2


def with_snapshot(head, snapshot_revision):
    """Returns the head after a snapshot of `snapshot_revision` was written.

    The head's `snapshot_revision` is never lowered, and raised at most to
    the head's own revision: another author may have written a snapshot that
    is newer than this head.
    """
    revision = max(snapshot_revision, head.snapshot_revision)
    return attrs.evolve(head, snapshot_revision=min(revision, head.revision))


def reflects_edit(configuration, edit):
    """Returns whether a configuration contains all changes of an edit."""
    tables = (
        (configuration.teams_by_name, edit.teams, edit.removed_teams),
        (configuration.plans_by_name, edit.plans, edit.removed_plans),
        (configuration.queues_by_name, edit.queues, edit.removed_queues),
    )
    for entries_by_name, added, removed_names in tables:
        if any(entries_by_name.get(entry.name) != entry for entry in added):
            return False
        if any(name in entries_by_name for name in removed_names):
            return False
    keys_by_hash = configuration.keys_by_hash
    if any(key.key_hash not in keys_by_hash for key in edit.given_keys):
        return False
    records = (keys_by_hash.get(key_hash) for key_hash in edit.withdrawn_keys)
    return all(record is None or record.withdrawn for record in records)


def find_edit(head, edit_id):
    """Returns the edit with that id in the head, or None."""
    for edit in head.edits:
        if edit.edit_id == edit_id:
            return edit
    return None


def _size_bytes(document):
    return len(_documents.encode(document))


def _replace_entries(entries_by_name, added, removed_names):
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


def _apply_key_changes(keys_by_hash, edit):
    if not edit.given_keys and not edit.withdrawn_keys:
        return keys_by_hash
    kept = dict(keys_by_hash)
    for record in edit.given_keys:
        kept.setdefault(record.key_hash, record)
    for key_hash in edit.withdrawn_keys:
        record = kept.pop(key_hash, None)
        if record is not None:
            # Reinserted at the end, which keeps withdrawn records in the
            # order of withdrawal; the oldest ones are dropped first.
            kept[key_hash] = attrs.evolve(record, withdrawn=True)
    return _drop_oldest_withdrawn(kept)


def _drop_oldest_withdrawn(keys_by_hash):
    withdrawn = [
        key_hash
        for key_hash, record in keys_by_hash.items()
        if record.withdrawn
    ]
    for key_hash in withdrawn[:-MAX_WITHDRAWN_RECORDS]:
        del keys_by_hash[key_hash]
    return keys_by_hash
