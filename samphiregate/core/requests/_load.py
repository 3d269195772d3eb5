"""Messages about the load of owners of runners."""

import attrs

from samphiregate.core import base


@attrs.frozen
class ServiceLoad:
    """Load of one service's runners at one owner.

    Parameters
    ----------
    service : str
        Name of the service.
    slots : int
        Slots of the runners that may be used now.
    running : int
        Slots in use, or possibly in use.
    queued : int
        Requests that wait at the owner.
    latency_ms : float
        Recent mean time of an attempt with its runner.
    """

    service: str
    slots: int
    running: int
    queued: int
    latency_ms: float = 0.0


@attrs.frozen
class VmLoad:
    """Load of one owner.

    Parameters
    ----------
    sequence : int
        Rises with each summary of that VM.
    age_ms : int
        Time since the VM made it, when it was passed on.
    """

    vm_id: str
    data_centre: str
    sequence: int
    age_ms: int = 0
    services: tuple[ServiceLoad, ...] = ()


@attrs.frozen
class LoadSummary(base.PeerMessage):
    """Loads of the sender and of a few others that it heard of."""

    loads: tuple[VmLoad, ...] = ()


@attrs.frozen
class LoadChanged(base.Event):
    """The load of this VM's own runners, for the edge of the same VM."""

    load: VmLoad
