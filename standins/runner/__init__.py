"""A stand-in of a runner: a few slots, bounded connections, and faults."""

from standins.runner._runner import Faults
from standins.runner._runner import Runner

__all__ = ["Faults", "Runner"]
