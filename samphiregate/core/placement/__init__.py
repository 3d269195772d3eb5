"""Placement policies, and the allocation of each worker."""

from samphiregate.core.placement._first_fit import FirstFit
from samphiregate.core.placement._index import fitting_units
from samphiregate.core.placement._indexed import IndexedBestFit
from samphiregate.core.placement._make import make_placement
from samphiregate.core.placement._make import PLACEMENTS_BY_NAME
from samphiregate.core.placement._messages import GangStarved
from samphiregate.core.placement._messages import GangWithdrawn
from samphiregate.core.placement._messages import PlaceGang
from samphiregate.core.placement._messages import PlaceTask
from samphiregate.core.placement._messages import TaskPlaced
from samphiregate.core.placement._messages import TaskRemoved
from samphiregate.core.placement._messages import WorkerRemoved
from samphiregate.core.placement._messages import WorkerRoomChanged
from samphiregate.core.placement._sampled import SampledBestFit
from samphiregate.core.placement._worker_allocation import WorkerAllocation

__all__ = [
    "FirstFit",
    "GangStarved",
    "GangWithdrawn",
    "IndexedBestFit",
    "PLACEMENTS_BY_NAME",
    "PlaceGang",
    "PlaceTask",
    "SampledBestFit",
    "TaskPlaced",
    "TaskRemoved",
    "WorkerAllocation",
    "WorkerRemoved",
    "WorkerRoomChanged",
    "fitting_units",
    "make_placement",
]
