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

    def bind_dispatch(self, *names):
        """Binds dispatching methods to this instance once.

        Parameters
        ----------
        *names : str
            Further methods besides `observe` and `choose`.

        Notes
        -----
        `functools.singledispatchmethod` builds a new wrapper on each
        access, which costs more than the dispatch itself. Policies that
        are asked thousands of times a second call this in `__init__`.
        """
        for name in ("observe", "choose", *names):
            setattr(self, name, getattr(self, name))

    @abc.abstractmethod
    def observe(self, event, now_ms):
        """Takes in a fact; returns nothing and decides nothing."""

    @abc.abstractmethod
    def choose(self, question, now_ms):
        """Returns the decision for `question`, or None if there is none."""

    @abc.abstractmethod
    def describe(self):
        """Returns the policy's state as a dict of plain values."""
