"""The two documents in the store that hold the configuration.

`HEAD_KEY` holds the revision and the most recent edits. `SNAPSHOT_KEY`
holds a complete configuration at an accepted revision, to which the edits
in the head apply. Only accepted revisions are written as a snapshot, so a
reader may apply any snapshot with a higher revision than its own.
"""

import attrs
import cattrs
from cattrs import gen
from cattrs.preconf import orjson as orjson_preconf
import orjson

from samphiregate.core import model
from samphiregate import errors

HEAD_KEY = "config/head"
SNAPSHOT_KEY = "config/snapshot"
MAX_DOCUMENT_BYTES = 1_000_000


@attrs.frozen
class Edit:
    """One accepted change of the configuration.

    Parameters
    ----------
    revision : int
        Revision that results from the edit.
    edit_id : str
        Unique id, chosen by the author of the edit.
    operator : str
        Author of the edit.
    note : str
        Reason for the edit, as entered by the operator.
    time_ms : int
        Time of the edit by the operator's clock, in ms since 1970.
    teams, plans, queues : tuple
        Entries added, or replacing those of the same name.
    removed_teams, removed_plans, removed_queues : tuple of str
        Names of removed entries.
    given_keys : tuple of KeyRecord
        Keys issued.
    withdrawn_keys : tuple of str
        Hashes of keys withdrawn permanently.
    """

    revision: int
    edit_id: str
    operator: str = ""
    note: str = ""
    time_ms: int = 0
    teams: tuple[model.Team, ...] = ()
    plans: tuple[model.Plan, ...] = ()
    queues: tuple[model.Queue, ...] = ()
    removed_teams: tuple[str, ...] = ()
    removed_plans: tuple[str, ...] = ()
    removed_queues: tuple[str, ...] = ()
    given_keys: tuple[model.KeyRecord, ...] = ()
    withdrawn_keys: tuple[str, ...] = ()


@attrs.frozen
class Head:
    """The document stored under `HEAD_KEY`.

    Parameters
    ----------
    revision : int
        Highest accepted revision; 0 before the first edit.
    snapshot_revision : int
        Lower bound of the revision of the stored snapshot, which is
        written before the head; 0 if there is no snapshot.
    edits : tuple of Edit
        The most recent edits, with contiguous revisions up to `revision`.
        They start at the edit after `snapshot_revision` or earlier.
    """

    revision: int = 0
    snapshot_revision: int = 0
    edits: tuple[Edit, ...] = ()


def encode(document):
    """Returns the bytes of a `Head`, an `Edit` or a `Configuration`."""
    return orjson.dumps(_CONVERTER.unstructure(document))


def decode_head(value):
    """Returns the `Head` encoded in `value`; an empty one for no bytes.

    Raises
    ------
    BadInputError
        If the bytes are not a head document.
    """
    return _decode(value, Head) if value else Head()


def decode_configuration(value):
    """Returns the `Configuration` in `value`; an empty one for no bytes.

    Raises
    ------
    BadInputError
        If the bytes are not a snapshot document.
    """
    if not value:
        return model.Configuration()
    return _decode(value, model.Configuration)


def _decode(value, kind):
    detail = (
        "the configuration document in the store is invalid: expected a JSON "
        f"object with the fields of {kind.__name__}"
    )
    try:
        document = orjson.loads(value)
        if not isinstance(document, dict):
            raise errors.BadInputError(detail)
        return _CONVERTER.structure(document, kind)
    except (orjson.JSONDecodeError, cattrs.BaseValidationError) as error:
        raise errors.BadInputError(detail) from error


def _make_converter():
    converter = orjson_preconf.make_converter()
    for kind in (model.Team, model.Plan, model.Queue, model.KeyRecord, Edit):
        hook = gen.make_dict_unstructure_fn(
            kind, converter, _cattrs_omit_if_default=True
        )
        converter.register_unstructure_hook(kind, hook)
    return converter


_CONVERTER = _make_converter()
