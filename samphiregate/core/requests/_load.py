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
        Usable slots; a runner that is avoided as an outlier counts as one.
    running : int
        Slots in use, or possibly in use.
    queued : int
        Number of requests queued at the owner.
    latency_ms : float
        Moving average of the time that an attempt spends with its runner.
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
        Increases with each change of that VM's load.
    age_ms : int
        Time since that VM last sent it, measured when the load was
        forwarded.
    """

    vm_id: str
    data_centre: str
    sequence: int
    age_ms: int = 0
    services: tuple[ServiceLoad, ...] = ()


@attrs.frozen
class LoadSummary(base.PeerMessage):
    """Loads of the sender and of a few others that it received."""

    loads: tuple[VmLoad, ...] = ()


@attrs.frozen
class LoadChanged(base.Event):
    """The load of this VM's own runners, for the edge of the same VM."""

    load: VmLoad
