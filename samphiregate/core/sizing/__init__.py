"""Learnt sizes of tasks, and the order in which over-use is cut back."""

from samphiregate.core.sizing._cut_back import ReclaimLadder
from samphiregate.core.sizing._learner import SizeLearner
from samphiregate.core.sizing._messages import ComputeBooking
from samphiregate.core.sizing._messages import ReclaimAction
from samphiregate.core.sizing._messages import SelectReclaimAction
from samphiregate.core.sizing._messages import ReclaimStep
from samphiregate.core.sizing._messages import TaskUsage
from samphiregate.core.sizing._messages import UsageObserved
from samphiregate.core.sizing._messages import WorkerExcess

__all__ = [
    "BookingQuestion",
    "CutBack",
    "CutBackLadder",
    "CutBackQuestion",
    "CutBackStep",
    "SizeLearner",
    "TaskSize",
    "UsageSeen",
    "WorkerExcess",
]
