"""Tells from log lines what the tasks of a request waited for."""

import attrs

NO_OWNER = "an owner of the cell"
WAIT_EVENT = "task waits"
END_EVENT = "task runs again"
EVENTS = frozenset({WAIT_EVENT, END_EVENT})


@attrs.frozen
class Wait:
    """A time in which a task had no run and waited for one thing.

    Parameters
    ----------
    task : tuple of int
        Occurrence, step and index.
    reason : str
    line : Line
        The line that tells it.
    start_s, end_s : float
        Unix seconds.
    """

    task: tuple
    reason: str
    line: object
    start_s: float
    end_s: float

    @property
    def span_s(self):
        """How long it took, in seconds."""
        return self.end_s - self.start_s


def find_waits(own, context, until_s):
    """Returns the waits of a request's tasks, in order.

    Parameters
    ----------
    own : list of Line
        The lines that name the request.
    context : list of Line
        Lines of its VMs, which tell when an owner left the cell.
    until_s : float
        Until when a wait that no line ends lasted at least.

    Returns
    -------
    list of Wait
    """
    lines_by_task = {}
    for line in own:
        if line.event in EVENTS:
            task = tuple(line.fields.get("task", ()))
            lines_by_task.setdefault(task, []).append(line)
    waits = [
        wait
        for task, lines in lines_by_task.items()
        for wait in _waits_of(task, lines, until_s, context)
    ]
    return sorted(waits, key=lambda wait: wait.start_s)


def _waits_of(task, lines, until_s, context):
    """Yields the waits of one task."""
    start_s = None
    for number, line in enumerate(lines):
        if line.event == END_EVENT:
            start_s = None
            continue
        if start_s is None or _owner(line) != _owner(lines[number - 1]):
            start_s = _before_s(line)
        following = lines[number + 1] if number + 1 < len(lines) else None
        end_s = _end_s(line, following, until_s)
        reason = line.fields.get("reason", "")
        gone = _owner_gone(line, following, context)
        if gone is None or not start_s <= gone.start_s < end_s:
            yield Wait(task, reason, line, start_s, end_s)
        else:
            yield Wait(task, reason, line, start_s, gone.start_s)
            yield Wait(task, NO_OWNER, gone.line, gone.start_s, end_s)
        start_s = end_s


def _owner(line):
    return (line.vm, line.fields.get("epoch"))


def _before_s(line):
    """Returns when the wait began that a line tells of."""
    return line.time_s - (line.fields.get("waited_ms") or 0) / 1000


def _end_s(line, following, until_s):
    if following is None:
        return until_s
    if following.event == WAIT_EVENT and _owner(following) != _owner(line):
        return max(_before_s(following), line.time_s)
    return following.time_s


@attrs.frozen
class _OwnerGone:
    """The line that tells that an owner is gone, and since when."""

    line: object
    start_s: float


def _owner_gone(line, following, context):
    """Returns the earliest `_OwnerGone` after a line; None if there is none.

    An owner that was killed does not tell it: then the next one tells for
    how long the cell had no owner.
    """
    found = []
    for one in context:
        if one.time_s < line.time_s:
            continue
        if one.event == "cell left" and one.vm == line.vm:
            found.append(_OwnerGone(one, one.time_s))
        elif (
            one.event == "cell taken"
            and following is not None
            and one.vm == following.vm
        ):
            found.append(_OwnerGone(one, _before_s(one)))
    return min(found, key=lambda gone: gone.start_s, default=None)
