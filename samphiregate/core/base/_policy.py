"""Interface of interchangeable policies."""

import abc

from samphiregate import parameters


class Policy(parameters.Parameterised, abc.ABC):
    """Base class of interchangeable decision rules.

    Notes
    -----
    Parameters are keyword-only and declared in `parameter_table`. State
    that a policy derives from observations is stored in attributes whose
    names end in an underscore.
    """

    @abc.abstractmethod
    def observe(self, event, now_ms):
        """Updates the policy's state from an event; makes no decision."""

    @abc.abstractmethod
    def choose(self, question, now_ms):
        """Returns the decision for `question`, or None if there is none."""

    @abc.abstractmethod
    def describe(self):
        """Returns the policy's state as a dict of plain values."""
