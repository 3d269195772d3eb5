"""Queue policies by name."""

from samphiregate.core.queueing import _fair_share
from samphiregate.core.queueing import _first_come
from samphiregate.core.queueing import _strict_priority
from samphiregate import errors

QUEUES_BY_NAME = {
    "fair-share": _fair_share.FairShareQueue,
    "first-come": _first_come.FirstComeQueue,
    "strict-priority": _strict_priority.StrictPriorityQueue,
}


def make_queue(name, **params):
    """Returns a queue policy.

    Parameters
    ----------
    name : str
        One of `QUEUES_BY_NAME`.
    **params
        Keyword parameters of its class.

    Raises
    ------
    SettingError
        If the name or a parameter is not allowed.
    """
    if name not in QUEUES_BY_NAME:
        names = ", ".join(QUEUES_BY_NAME)
        raise errors.SettingError("queue", f"expected one of {names}")
    return QUEUES_BY_NAME[name](**params)
