"""The fields of each kind of entry, and the checks of their values."""

import difflib
import enum
import math
import re

import attrs

from samphiregate.core import model

MAX_SHARE = 1_000_000
MAX_RUNNING = 1_000_000
NAME_RULE = "use 1 to 63 of a-z, 0-9, - and _, with a letter or digit first"
_NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")


class NoValue(enum.Enum):
    """Stands where a field has no value that could be used."""

    NO_VALUE = "no-value"


NO_VALUE = NoValue.NO_VALUE


@attrs.frozen
class Field:
    """A field of an entry.

    Parameters
    ----------
    check : callable
        Returns what is wrong with a value, or None.
    hint : str
        What a right value looks like.
    default : object
        Value of a field that is left out; `NO_VALUE` if it must be there.
    """

    check: object
    hint: str
    default: object = NO_VALUE


def is_name(value):
    """Returns whether a value is a name as the lists allow it."""
    return isinstance(value, str) and bool(_NAME.fullmatch(value))


def matches(name, names):
    """Returns the set of the one name that is most like `name`, if any."""
    return set(difflib.get_close_matches(str(name), list(names), n=1))


def closest(name, names):
    """Returns a hint with the name most like `name`."""
    for match in matches(name, names):
        return f"did you mean {match}?"
    return "known: " + ", ".join(sorted(names)[:10]) if names else ""


def _check_name(value):
    return None if is_name(value) else f"{value!r} is no name"


def _check_names(value):
    if not isinstance(value, list):
        return "is not a list"
    wrong = [item for item in value if not is_name(item)]
    if wrong:
        return f"{wrong[0]!r} is no name"
    if len(set(value)) < len(value):
        return "has a name twice"
    return None


def _check_classes(value):
    if not isinstance(value, list):
        return "is not a list"
    wrong = [item for item in value if item not in WORK_CLASSES]
    return f"{wrong[0]!r} is no class of work" if wrong else None


def _check_share(value):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return "is not a number"
    if not math.isfinite(value) or not 0 < value <= MAX_SHARE:
        return f"{value} is out of range"
    return None


def _check_max_running(value):
    if isinstance(value, bool) or not isinstance(value, int):
        return "is not a whole number"
    if not 0 <= value <= MAX_RUNNING:
        return f"{value} is out of range"
    return None


def _check_flag(value):
    return None if isinstance(value, bool) else "is neither true nor false"


WORK_CLASSES = tuple(work_class.value for work_class in model.WorkClass)
_FLAG_HINT = "write true or false, without quotes"

TEAM_FIELDS = {"plan": Field(_check_name, "write the name of a plan")}

PLAN_FIELDS = {
    "share": Field(_check_share, f"a number above 0, up to {MAX_SHARE}"),
    "max_running": Field(
        _check_max_running, f"a whole number from 0 to {MAX_RUNNING}"
    ),
    "queues": Field(
        _check_names, 'write a list of names, as ["holds", "maps"]', []
    ),
    "classes": Field(
        _check_classes, "use some of: " + ", ".join(WORK_CLASSES), []
    ),
    "urgent": Field(_check_flag, _FLAG_HINT, False),
}

QUEUE_FIELDS = {
    "service": Field(_check_name, "write the name of a service"),
    "open_to_all": Field(_check_flag, _FLAG_HINT, False),
}
