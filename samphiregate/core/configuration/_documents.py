"""The two documents in the store that hold the configuration.

`HEAD_KEY` holds the revision and the latest edits. `SNAPSHOT_KEY` holds a
whole configuration at an accepted revision, from which the edits of the
head lead on. Only accepted revisions are written as a snapshot, so that a
reader may take any snapshot that is higher than what it has.
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
        Revision that the edit led to.
    edit_id : str
        Unique id, chosen by who wrote the edit.
    operator : str
        Who wrote it.
    note : str
        Why, in the operator's words.
    time_ms : int
        When, in milliseconds since 1970 by the operator's clock.
    teams, plans, queues : tuple
        Entries added, or put in place of those of the same name.
    removed_teams, removed_plans, removed_queues : tuple of str
        Names of removed entries.
    given_keys : tuple of KeyRecord
        Keys given.
    withdrawn_keys : tuple of str
        Hashes of keys withdrawn for good.
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
    """What stands under `HEAD_KEY`.

    Parameters
    ----------
    revision : int
        Highest accepted revision; 0 before the first edit.
    snapshot_revision : int
        Revision that the snapshot has at least; 0 if there is none.
    edits : tuple of Edit
        The latest edits, without a gap, up to `revision`. They reach back
        to `snapshot_revision` or further.
    """

    revision: int = 0
    snapshot_revision: int = 0
    edits: tuple[Edit, ...] = ()


def encode(document):
    """Returns the bytes of a `Head`, an `Edit` or a `Configuration`."""
    return orjson.dumps(_CONVERTER.unstructure(document))


def decode_head(value):
    """Returns the `Head` that `value` holds; an empty one for no bytes.

    Raises
    ------
    BadInputError
        If the bytes are no head document.
    """
    return _decode(value, Head) if value else Head()


def decode_configuration(value):
    """Returns the `Configuration` in `value`; an empty one for no bytes.

    Raises
    ------
    BadInputError
        If the bytes are no snapshot document.
    """
    if not value:
        return model.Configuration()
    return _decode(value, model.Configuration)


def _decode(value, kind):
    detail = f"the store holds no readable {kind.__name__} document"
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
