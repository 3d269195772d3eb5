"""Tells failing workers from failing jobs."""

import functools

from samphiregate.core import base
from samphiregate.core.quarantine import _messages


class FailureJudge(base.Policy):
    """Allows every worker, and every retry."""

    parameter_table = {}

    def __init__(self, *, random_state=None):
        self.random_state = random_state
        self.check_parameters()

    @functools.singledispatchmethod
    def observe(self, event, now_ms):
        """Takes in how tasks ended; other events are ignored."""

    @functools.singledispatchmethod
    def choose(self, question, now_ms):
        """Answers `MayUseWorker` and `MayRetryJob` with a bool."""
        raise TypeError(f"unknown question {type(question).__name__}")

    @choose.register(_messages.MayUseWorker)
    @choose.register(_messages.MayRetryJob)
    def _(self, question, now_ms):
        return True

    def describe(self):
        """Returns the policy's name."""
        return {"policy": "failure-judge"}
