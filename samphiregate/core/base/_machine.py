"""The verb that every state machine keeps."""

import abc


class StateMachine(abc.ABC):
    """A deciding part without I/O.

    Notes
    -----
    Implementations dispatch on the event's class with
    `singledispatchmethod` and ignore events that are not theirs. Times are
    integers, in milliseconds of a monotonic clock. Randomness comes from a
    `random.Random` handed in as `random_state`.
    """

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
