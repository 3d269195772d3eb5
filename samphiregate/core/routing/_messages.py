"""Events and questions of the routing policies and outlier detection."""

import attrs

from samphiregate.core import base


@attrs.frozen
class EndpointChanged(base.Event):
    """New or changed load of an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Id of a runner or of an entry VM.
    free : int
        Slots that may be assigned now.
    load : float
        Slots in use plus waiting requests, divided by the endpoint's slots.
    latency_ms : float
        Recent mean duration of an attempt there; 0 while unknown.
    """

    endpoint_id: str
    free: int
    load: float = 0.0
    latency_ms: float = 0.0


@attrs.frozen
class EndpointRemoved(base.Event):
    """An endpoint was removed and must not be chosen any more."""

    endpoint_id: str


@attrs.frozen
class PickEndpoint:
    """Question for an endpoint; the answer is its id, or None.

    Parameters
    ----------
    excluded : frozenset of str
        Endpoints that must not be chosen.
    only_free : bool
        Whether endpoints without a free slot are left out.
    """

    excluded: frozenset[str] = frozenset()
    only_free: bool = True


@attrs.frozen
class AttemptEnded(base.Event):
    """An attempt at an endpoint has ended.

    Parameters
    ----------
    succeeded : bool
        Whether a complete response arrived that is not a server error.
    elapsed_ms : int
        Duration of the attempt.
    reached : bool
        Whether the endpoint accepted the attempt; if not, the request can't
        have caused the failure.
    """

    endpoint_id: str
    succeeded: bool
    elapsed_ms: int
    reached: bool = True


@attrs.frozen
class SlotsToOffer:
    """Question for the number of free slots to offer on an endpoint.

    Parameters
    ----------
    free : int
        Slots that are free.
    running : int
        Slots in use by this entry VM's attempts.
    """

    endpoint_id: str
    free: int
    running: int
