"""Interface of state machines."""

import abc


class StateMachine(abc.ABC):
    """Base class of the decision logic, which does no I/O.

    Notes
    -----
    Implementations dispatch on the event's class with
    `singledispatchmethod` and ignore events that they do not handle. Times
    are integers, in milliseconds of a monotonic clock. Random numbers come
    from the `random.Random` passed as `random_state`.
    """

    @abc.abstractmethod
    def handle(self, event, now_ms):
        """Handles one event and returns the resulting actions.

        Parameters
        ----------
        event : Event
            Event to handle.
        now_ms : int
            Monotonic time in milliseconds.

        Returns
        -------
        list of Action
            Actions in the order in which to execute them.
        """
