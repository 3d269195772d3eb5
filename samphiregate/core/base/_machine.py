"""The verb that every state machine keeps."""

import abc

from samphiregate.core.base import _dispatch


class StateMachine(abc.ABC):
    """A deciding part without I/O.

    Notes
    -----
    Implementations dispatch on the event's class with
    `functools.singledispatchmethod` and ignore events that are not theirs.
    Times are integers, in milliseconds of a monotonic clock. Randomness
    comes from a `random.Random` handed in as `random_state`.
    """

    def __new__(cls, *args, **kwargs):
        """Binds the dispatching methods to the new object."""
        instance = super().__new__(cls)
        _dispatch.bind_dispatchers(instance)
        return instance

    @abc.abstractmethod
    def handle(self, event, now_ms):
        """Takes one event and returns what has to be done.

        Parameters
        ----------
        event : Event
            What happened.
        now_ms : int
            Monotonic time in milliseconds.

        Returns
        -------
        list of Action
            Actions in the order in which they are to be carried out.
        """
