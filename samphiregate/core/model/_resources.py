"""Amounts of CPU, memory and accelerators."""

import math

import attrs


@attrs.frozen
class Resources:
    """An amount of each resource.

    Parameters
    ----------
    cpu_millis : int
        CPU in thousandths of a core.
    memory_mib : int
        Memory in MiB.
    accelerators : int
        Number of whole accelerators.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def __add__(self, other):
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity):
        """Returns whether every amount is at most that of `capacity`."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
        )

    def scaled(self, factor):
        """Returns CPU and memory multiplied by `factor`, rounded up.

        The accelerators are indivisible and stay unchanged.
        """
        return Resources(
            math.ceil(self.cpu_millis * factor),
            math.ceil(self.memory_mib * factor),
            self.accelerators,
        )

    def dominant_share(self, total):
        """Returns the largest fraction of `total` over all resources."""
        pairs = (
            (self.cpu_millis, total.cpu_millis),
            (self.memory_mib, total.memory_mib),
            (self.accelerators, total.accelerators),
        )
        return max(
            (part / whole for part, whole in pairs if whole), default=0.0
        )
