"""Faults that the stand-in can be told to have."""

import attrs


@attrs.define
class Faults:
    """Faults in force; set with ``POST /faults``.

    Parameters
    ----------
    down : bool
        Whether each call is refused with 503.
    slow_ms : int
        Delay before each answer.
    lose_answers : int
        Number of writes to come whose effect holds while the connection
        is cut without an answer.
    stale_reads : bool
        Whether reads give the value before the latest one.
    fleet_down : bool
        Whether the fleet list alone is refused with 503.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    stale_reads: bool = False
    fleet_down: bool = False

    def update(self, document):
        """Sets the faults that `document` names.

        Raises
        ------
        ValueError
            For a name that is no fault, or a value of another type.
        """
        for name, value in document.items():
            if type(value) is not type(getattr(self, name, None)):
                raise ValueError(f"no such fault, or a wrong type: {name}")
        for name, value in document.items():
            setattr(self, name, value)

    def take_lost_answer(self):
        """Returns whether the answer to the present write is lost."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
