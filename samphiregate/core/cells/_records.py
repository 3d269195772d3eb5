"""What an owner notes of a job in the store, and how it is encoded."""

import attrs
import cattrs
from cattrs.preconf import orjson as cattrs_orjson

from samphiregate.core.cells import _work
from samphiregate import errors

_converter = cattrs_orjson.make_converter(
    omit_if_default=True, detailed_validation=False
)


@attrs.frozen
class StageRecord:
    """Progress of one step of one occurrence.

    Parameters
    ----------
    occurrence, step : int
    all_done : bool
        Whether every task has ended as done; `done` is then empty.
    done : tuple of int
        Indices of the tasks that have ended as done.
    failures : dict
        Numbers of the failed runs, keyed by index.
    saved : dict
        Latest checkpoint that an end carried, keyed by index.
    last_run : int
        Highest run number given to any of the tasks.
    placed : tuple
        Index, run and endpoint id of each run that may exist.
    """

    occurrence: int
    step: int
    all_done: bool = False
    done: tuple[int, ...] = ()
    failures: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    saved: dict[int, str] = attrs.field(factory=dict)
    last_run: int = 0
    placed: tuple[tuple[int, int, str], ...] = ()


@attrs.frozen
class JobRecord:
    """Progress of a job.

    Parameters
    ----------
    state : JobState
    stages : tuple of StageRecord
        Stages of which anything is to be said.
    ended_unix_ms : int
        When a final state was reached; 0 before.
    address_by_id : dict
        Addresses of the endpoints on which runs may exist.
    """

    state: _work.JobState
    stages: tuple[StageRecord, ...] = ()
    ended_unix_ms: int = 0
    address_by_id: dict[str, str] = attrs.field(factory=dict)


def encode(value):
    """Encodes a job or record as bytes."""
    return _converter.dumps(value)


def decode(data, cls):
    """Decodes a value of a class; raises `BadInputError`."""
    try:
        return _converter.loads(data, cls)
    except (
        cattrs.BaseValidationError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        detail = f"no readable {cls.__name__}: {error!r}"
        raise errors.BadInputError(detail) from error
