"""Expected ends of runs, from their progress where it is known."""

import math

from samphiregate.core.cells import _tasks

MIN_PERCENT = 5.0  # progress from which an end can be extrapolated

_PRESENT = (_tasks.RunState.RUNNING, _tasks.RunState.STOPPING)


def elapsed_ms(booking, now_ms):
    """Returns how long a run has worked, in milliseconds.

    The owner does not know when an inherited run began; its progress tells.
    """
    if booking.state not in _PRESENT:
        return 0
    since_order_ms = now_ms - booking.sent_ms
    if not booking.is_inherited:
        return since_order_ms
    worked_ms = booking.expected_ms * booking.percent / 100
    return max(since_order_ms, worked_ms)


def end_ms(booking, now_ms):
    """Returns when a run is expected to end by itself.

    From its progress if that is known, else from the expected run time.
    Infinite for a long-running task, and for a run that is overdue and does
    not report progress.
    """
    if booking.step.long_running:
        return math.inf
    if _can_extrapolate(booking):
        worked_ms = booking.confirmed_ms - booking.sent_ms
        left_ms = worked_ms * (100 - booking.percent) / booking.percent
        return max(booking.confirmed_ms + left_ms, now_ms)
    expected_ms = booking.sent_ms + booking.expected_ms
    return expected_ms if expected_ms > now_ms else math.inf


def _can_extrapolate(booking):
    """Whether the progress of a run shows how fast it works.

    A run that resumed or is inherited had progress when it was first seen.
    """
    return (
        booking.percent >= MIN_PERCENT
        and booking.confirmed_ms is not None
        and booking.confirmed_ms > booking.sent_ms
        and not booking.is_inherited
        and not booking.task.saved
    )
