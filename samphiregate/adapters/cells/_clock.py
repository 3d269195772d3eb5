"""Clocks of an entry VM."""

import time


def steady_ms():
    """Returns a monotonic time that includes suspension of the VM.

    A lease expires in the store also while the VM is suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def unix_ms():
    """Returns the time since the Unix epoch."""
    return time.time_ns() // 1_000_000
