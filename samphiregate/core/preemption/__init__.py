"""Policies that choose running tasks to preempt for urgent work."""

from samphiregate.core.preemption._cheapest import CheapestVictims
from samphiregate.core.preemption._messages import SelectVictims
from samphiregate.core.preemption._messages import TaskNotPreemptible
from samphiregate.core.preemption._messages import TaskRunning
from samphiregate.core.preemption._messages import Victims
from samphiregate.core.preemption._selection import select_cheapest

__all__ = [
    "CheapestVictims",
    "SelectVictims",
    "TaskNotPreemptible",
    "TaskRunning",
    "Victims",
    "select_cheapest",
]
