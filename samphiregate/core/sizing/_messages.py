"""Events and questions of the size learner."""

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class UsageSeen(base.Event):
    """The peak use of one task so far, beside what was declared."""

    team: str
    work_class: model.WorkClass
    declared: model.Resources
    used: model.Resources


@attrs.frozen
class BookingQuestion:
    """How much should be booked for a task of this declared size?

    Parameters
    ----------
    capacity : model.Resources or None
        Capacity of the largest worker that may run it; the answer is never
        above it.
    """

    team: str
    work_class: model.WorkClass
    declared: model.Resources
    capacity: model.Resources | None = None
