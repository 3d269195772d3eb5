"""The state machines of one entry VM, put together."""

from samphiregate.core.vm._entry_vm import EntryVm

__all__ = ["EntryVm"]
