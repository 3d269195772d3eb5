"""A TCP proxy that injects faults, for tests with real processes."""

from standins.proxy._proxy import FaultProxy
from standins.proxy._proxy import Faults

__all__ = ["FaultProxy", "Faults"]
