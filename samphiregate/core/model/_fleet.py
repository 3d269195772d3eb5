"""Machines in the platform's list, which lags behind their state."""

import attrs

from samphiregate.core.model import _resources


@attrs.frozen
class EntryVmInfo:
    """An entry VM.

    Parameters
    ----------
    vm_id : str
        Id, unique for each start of the daemon's VM.
    data_centre : str
        Name of its data centre.
    peer_endpoint : str
        ``ip:port`` of the peer protocol.
    http_endpoint : str
        ``ip:port`` of the API for callers.
    leaving : bool
        Whether the platform is about to remove it.
    """

    vm_id: str
    data_centre: str
    peer_endpoint: str
    http_endpoint: str = ""
    leaving: bool = False


@attrs.frozen
class WorkerInfo:
    """A worker, which runs tasks under leases."""

    worker_id: str
    data_centre: str
    rack: str
    endpoint: str
    capacity: _resources.Resources
    leaving: bool = False


@attrs.frozen
class RunnerInfo:
    """A runner, which executes requests in a fixed number of slots.

    Parameters
    ----------
    service : str
        Name of the service to which the runner belongs.
    slots : int
        Maximum number of requests that it executes concurrently.
    """

    runner_id: str
    service: str
    data_centre: str
    rack: str
    endpoint: str
    slots: int
    leaving: bool = False
