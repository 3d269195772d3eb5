"""A small site of real processes, for the demo, tests and measurements."""

from standins.site._site import ACCELERATED_CAPACITY
from standins.site._site import EntryVm
from standins.site._site import READY_TIMEOUT_S
from standins.site._site import Site

__all__ = ["ACCELERATED_CAPACITY", "READY_TIMEOUT_S", "EntryVm", "Site"]
