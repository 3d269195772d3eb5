"""Learnt sizes of tasks, and the order in which over-use is cut back."""

from samphiregate.core.sizing._learner import SizeLearner
from samphiregate.core.sizing._messages import BookingQuestion
from samphiregate.core.sizing._messages import UsageSeen

__all__ = ["BookingQuestion", "SizeLearner", "UsageSeen"]
