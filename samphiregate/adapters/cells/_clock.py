"""Clocks of an entry VM."""

import time


def steady_ms():
    """Returns a monotonic time that goes on while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def unix_ms():
    """Returns the time of day."""
    return time.time_ns() // 1_000_000
