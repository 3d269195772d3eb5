"""Enforcement of each team's upper limit by tokens that VMs hold.

One token permits one unit of a team's running work.
"""

from samphiregate.core.limits._holder import TokenHolder

__all__ = ["TokenHolder"]
