"""Enforcement of each team's upper limit by tokens that VMs hold."""

from samphiregate.core.limits._holder import TokenHolder

__all__ = ["TokenHolder"]
