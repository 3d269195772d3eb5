"""A small site of real processes, for the demo, tests and measurements."""

from standins.site._site import EntryVm
from standins.site._site import Site

__all__ = ["EntryVm", "Site"]
