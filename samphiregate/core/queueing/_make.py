"""Queue policies by name."""

from samphiregate.core.queueing import _first_come
from samphiregate import errors

QUEUES_BY_NAME = {
    "first-come": _first_come.FirstComeQueue,
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
