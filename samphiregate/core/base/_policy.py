"""The contract that every policy keeps, so that policies can be swapped."""

import abc

from samphiregate import parameters


class Policy(parameters.Parameterised, abc.ABC):
    """A swappable decision with three verbs.

    Notes
    -----
    Parameters are keyword-only and declared in `parameter_table`. What a
    policy learns is kept in attributes whose names end in an underscore.
    """

    @abc.abstractmethod
    def observe(self, event, now_ms):
        """Takes in a fact; returns nothing and decides nothing."""

    @abc.abstractmethod
    def choose(self, question, now_ms):
        """Returns the decision for `question`, or None if there is none."""

    @abc.abstractmethod
    def describe(self):
        """Returns the policy's state as a dict of plain values."""
