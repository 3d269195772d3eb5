"""Calls to the platform's key-value service, and their answers.

Versions count the changes of one key; 0 means that the key is absent.
"""

import enum

import attrs

from samphiregate.core import base


class StoreOutcome(enum.Enum):
    """How a call to the store ended.

    After `UNKNOWN` a change may or may not have taken effect.
    """

    OK = "ok"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@attrs.frozen
class ReadKey(base.Action):
    """Read a key once; answered with `StoreAnswered`."""

    call_id: int
    key: str


@attrs.frozen
class CompareAndSwap(base.Action):
    """Write `value` if the key is still at `expected_version`."""

    call_id: int
    key: str
    expected_version: int
    value: bytes


@attrs.frozen
class WatchKey(base.Action):
    """Keep one watch on a key; each change is a `KeyChanged`.

    Asking again for a key that is watched changes nothing.
    """

    key: str
    active: bool = True


@attrs.frozen
class StoreAnswered(base.Event):
    """The end of a `ReadKey` or `CompareAndSwap`.

    Parameters
    ----------
    call_id : int
        That of the call.
    version : int
        Version of the key now, where the store told it.
    value : bytes
        For reads, the value; for conflicts, the current value.
    """

    call_id: int
    key: str
    outcome: StoreOutcome
    version: int = 0
    value: bytes = b""


@attrs.frozen
class KeyChanged(base.Event):
    """A watched key has a new version, or is seen for the first time."""

    key: str
    version: int
    value: bytes
