"""Calls to the platform's key-value service, and their responses.

Versions count the changes of one key; 0 means that the key is absent.
"""

import enum

import attrs

from samphiregate.core import base


class StoreOutcome(enum.Enum):
    """Outcome of a call to the store.

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
    """Start or end the watch of a key; each change emits a `KeyChanged`.

    The action is idempotent: a key has at most one watch.
    """

    key: str
    active: bool = True


@attrs.frozen
class StoreAnswered(base.Event):
    """Response to a `ReadKey` or `CompareAndSwap`.

    Parameters
    ----------
    call_id : int
        Id of the call.
    version : int
        Current version of the key, if the store returned it.
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
    """A watched key has a new version, or was read for the first time."""

    key: str
    version: int
    value: bytes
