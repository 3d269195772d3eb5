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
        if start_s is None or line.vm != lines[number - 1].vm:
            start_s = _begin_s(line)
        following = lines[number + 1] if number + 1 < len(lines) else None
        end_s = _end_s(line, following, until_s)
        left = _leaving_of(line, start_s, end_s, context)
        reason = line.fields.get("reason", "")
        if left is None:
            yield Wait(task, reason, line, start_s, end_s)
        else:
            yield Wait(task, reason, line, start_s, left.time_s)
            yield Wait(task, NO_OWNER, left, left.time_s, end_s)
        start_s = end_s


def _begin_s(line):
    return line.time_s - line.fields.get("waited_ms", 0) / 1000


def _end_s(line, following, until_s):
    if following is None:
        return until_s
    if following.event == WAIT_EVENT and following.vm != line.vm:
        return max(_begin_s(following), line.time_s)
    return following.time_s


def _leaving_of(line, start_s, end_s, context):
    """Returns the line in a wait that tells that its owner left the cell."""
    return next(
        (
            one
            for one in context
            if one.event == "cell left"
            and one.vm == line.vm
            and start_s <= one.time_s < end_s
        ),
        None,
    )
