"""Queue policies by name."""

from samphiregate.core.queueing import _fair_share
from samphiregate.core.queueing import _first_come
from samphiregate.core.queueing import _strict_priority
from samphiregate import parameters

QUEUES_BY_NAME = {
    "fair-share": _fair_share.FairShareQueue,
    "first-come": _first_come.FirstComeQueue,
    "strict-priority": _strict_priority.StrictPriorityQueue,
}


def make_queue(name, **params):
    """Returns a new queue policy.

    Parameters
    ----------
    name : str
        One of `QUEUES_BY_NAME`.
    **params
        Keyword parameters of the policy's class.

    Raises
    ------
    SettingError
        If the name is unknown or a parameter is out of bounds.
    """
    return parameters.make_named("queue", QUEUES_BY_NAME, name, params)
