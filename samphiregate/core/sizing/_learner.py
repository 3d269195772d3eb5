"""Learns how far declared sizes are off."""

import functools

from samphiregate.core import base
from samphiregate.core.sizing import _messages


class SizeLearner(base.Policy):
    """Books what was declared."""

    parameter_table = {}

    def __init__(self, *, random_state=None):
        self.random_state = random_state
        self.check_parameters()

    @functools.singledispatchmethod
    def observe(self, event, now_ms):
        """Takes in `UsageSeen`; other events are ignored."""

    @functools.singledispatchmethod
    def choose(self, question, now_ms):
        """Answers `BookingQuestion` with an amount to book."""
        raise TypeError(f"unknown question {type(question).__name__}")

    @choose.register
    def _(self, question: _messages.BookingQuestion, now_ms):
        return question.declared

    def describe(self):
        """Returns the policy's name."""
        return {"policy": "declared-size"}
