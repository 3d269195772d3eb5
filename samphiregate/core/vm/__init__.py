"""Composition of the state machines of one entry VM."""

from samphiregate.core.vm._entry_vm import EntryVm

__all__ = ["EntryVm"]
