"""Events and questions of the routing policies."""

import attrs

from samphiregate.core import base


@attrs.frozen
class EndpointChanged(base.Event):
    """The load of an endpoint, as far as it is known.

    Parameters
    ----------
    endpoint_id : str
        Id of a runner or of an entry VM.
    free : int
        Slots that may be given out now.
    load : float
        Slots in use and work that waits, over the endpoint's slots.
    latency_ms : float
        Recent mean time of an attempt there; 0 while unknown.
    """

    endpoint_id: str
    free: int
    load: float = 0.0
    latency_ms: float = 0.0


@attrs.frozen
class EndpointRemoved(base.Event):
    """An endpoint must not be chosen any more."""

    endpoint_id: str


@attrs.frozen
class PickEndpoint:
    """Asks for an endpoint; answered with its id, or None.

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
        Whether a whole answer came that is no server error.
    elapsed_ms : int
        Time that the attempt took.
    reached : bool
        Whether the endpoint took the attempt at all; if not, the request
        can't have caused the failure.
    """

    endpoint_id: str
    succeeded: bool
    elapsed_ms: int
    reached: bool = True


@attrs.frozen
class SlotsToOffer:
    """Asks how many free slots of an endpoint should be given out.

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
