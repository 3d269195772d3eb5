"""Booking sizes from measured use, and reclaiming of overcommitted workers."""

from samphiregate.core.sizing._learner import SizeLearner
from samphiregate.core.sizing._messages import ComputeBooking
from samphiregate.core.sizing._messages import ReclaimAction
from samphiregate.core.sizing._messages import ReclaimStep
from samphiregate.core.sizing._messages import SelectReclaimAction
from samphiregate.core.sizing._messages import TaskUsage
from samphiregate.core.sizing._messages import UsageObserved
from samphiregate.core.sizing._messages import WorkerExcess
from samphiregate.core.sizing._reclamation import ReclamationPolicy

__all__ = [
    "ComputeBooking",
    "ReclaimAction",
    "ReclaimStep",
    "ReclamationPolicy",
    "SelectReclaimAction",
    "SizeLearner",
    "TaskUsage",
    "UsageObserved",
    "WorkerExcess",
]
