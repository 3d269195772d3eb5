"""Runs cells on a platform that provides a store and endpoints."""

from samphiregate.adapters.cells._clock import steady_ms
from samphiregate.adapters.cells._clock import unix_ms
from samphiregate.adapters.cells._drain import drain
from samphiregate.adapters.cells._metered import MeteredStore
from samphiregate.adapters.cells._owner import PlacementSettings
from samphiregate.adapters.cells._ports import ConflictError
from samphiregate.adapters.cells._ports import Decoders
from samphiregate.adapters.cells._ports import Endpoints
from samphiregate.adapters.cells._ports import HistoryLostError
from samphiregate.adapters.cells._ports import LeaseEndedError
from samphiregate.adapters.cells._ports import PolicyService
from samphiregate.adapters.cells._ports import RejectedWriteError
from samphiregate.adapters.cells._ports import Route
from samphiregate.adapters.cells._ports import SiteConfiguration
from samphiregate.adapters.cells._ports import Store
from samphiregate.adapters.cells._ports import StoreChange
from samphiregate.adapters.cells._ports import StoreItem
from samphiregate.adapters.cells._ports import StoreWrite
from samphiregate.adapters.cells._vm import EntryVm
from samphiregate.adapters.cells._vm import Ports

__all__ = [
    "ConflictError",
    "Decoders",
    "Endpoints",
    "EntryVm",
    "HistoryLostError",
    "LeaseEndedError",
    "MeteredStore",
    "PlacementSettings",
    "PolicyService",
    "Ports",
    "RejectedWriteError",
    "Route",
    "SiteConfiguration",
    "Store",
    "StoreChange",
    "StoreItem",
    "StoreWrite",
    "drain",
    "steady_ms",
    "unix_ms",
]
