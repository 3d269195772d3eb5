"""Computes deadlines on the clocks of endpoints, and when leases have ended.

The load that this answers: endpoints without work, whose clocks are known
from long ago and go slow, or have begun anew, get a task and are cut off from
the owner. No lease may be longer than the owner, and the owners after it,
count on.

A reading is the steady clock in an endpoint's answer. It is current while
the endpoint cannot have restarted since, or while it is polled all the time
and the reading is not older than these polls are apart. In the second case a
restart may be overlooked: a poll that is in flight to the ended process shows
it late if the connection was cut. So the owner counts on the longest lease
until an answer shows the clock.
"""

MAX_CLOCK_DRIFT_SHARE = 0.02  # by which an endpoint's clock may run slow
LEASE_MARGIN_MS = 100
MIN_RESTART_MS = 300  # shortest time in which an endpoint can restart
MAX_READING_AGE_MS = 2_000  # of an endpoint that is polled all the time
CLOCK_ROUNDING_MS = 10
MAX_ORDER_MS = 1_000  # until an order has arrived or is given up
DEFAULT_MAX_HOLD_MS = 10_000  # to which endpoints shorten longer leases


def max_lease_ms(lease_ms):
    """Returns the time after which a lease has ended on every endpoint.

    Parameters
    ----------
    lease_ms : int
        Length of the lease on the endpoint's clock, in milliseconds.

    Returns
    -------
    int
        Milliseconds on the owner's clock.
    """
    return round(lease_ms * (1 + MAX_CLOCK_DRIFT_SHARE)) + LEASE_MARGIN_MS


def deadline_ms(endpoint, now_ms, lease_ms):
    """Returns the end of a lease that begins now, on the endpoint's clock.

    The clock has gone on by the time since the reading at most, and may have
    gone slow: the lease is shorter than `lease_ms` rather than longer.

    Parameters
    ----------
    endpoint : Endpoint
    now_ms : int
    lease_ms : int
    """
    return _least_clock_ms(endpoint, now_ms) + lease_ms


def _least_clock_ms(endpoint, at_ms):
    """Returns what an endpoint's clock shows at the least at a time.

    Without a restart; the time may lie before the reading.
    """
    gone_ms = at_ms - endpoint.answered_ms
    if gone_ms > 0:
        gone_ms = int(gone_ms * (1 - MAX_CLOCK_DRIFT_SHARE))
    return endpoint.clock_ms + gone_ms


def is_doubtful(endpoint, now_ms):
    """Whether the endpoint can have restarted since its clock was read.

    Then an order by this clock may grant the longest lease: the new clock
    has begun with the process.

    Parameters
    ----------
    endpoint : Endpoint
    now_ms : int
    """
    return now_ms - endpoint.answered_ms >= MIN_RESTART_MS


def has_begun_anew(endpoint, clock_ms, sent_ms):
    """Whether a later reading is of a clock that has begun since the last.

    Parameters
    ----------
    endpoint : Endpoint
    clock_ms : int
        In the answer to an order.
    sent_ms : int
        When the order was sent.
    """
    return clock_ms + CLOCK_ROUNDING_MS < _least_clock_ms(endpoint, sent_ms)


def earliest_start_ms(clock_ms, at_ms):
    """Returns when a process can have started at the earliest.

    Parameters
    ----------
    clock_ms : int
        Its steady clock, which begins with it and may go slow.
    at_ms : int
        Local time at which the clock was read, or earlier.
    """
    return at_ms - clock_ms / (1 - MAX_CLOCK_DRIFT_SHARE)


def inherited_until_ms(clock_ms, now_ms, since_ms, max_hold_ms):
    """Returns when leases have ended that an earlier owner granted in doubt.

    An order by the clock of an earlier incarnation reaches an endpoint that is
    younger than the reading may be old. Its lease is the longest.

    Parameters
    ----------
    clock_ms : int
        The endpoint's steady clock, which has begun with its process.
    now_ms : int
    since_ms : int
        When the present owner took over.
    max_hold_ms : int
        To which endpoints shorten longer leases.
    """
    if earliest_start_ms(clock_ms, now_ms) > since_ms + MAX_ORDER_MS:
        return 0
    left_ms = MAX_READING_AGE_MS + MAX_ORDER_MS + max_hold_ms - clock_ms
    return now_ms + max_lease_ms(left_ms) if left_ms > 0 else 0


def has_current_reading(endpoint, now_ms):
    """Whether the clock and the incarnation of an endpoint are known now.

    Parameters
    ----------
    endpoint : Endpoint
    now_ms : int
    """
    if not is_doubtful(endpoint, now_ms):
        return True
    return (
        now_ms - endpoint.answered_ms < MAX_READING_AGE_MS
        and endpoint.polls_in_flight > 0
        and not endpoint.was_unwatched
    )


def may_extend(endpoint, now_ms):
    """Whether a poll may carry a deadline.

    Only while the endpoint cannot have restarted, or if it has runs whose
    lease no other poll extends: one that has restarted would take the
    deadline for the longest lease, also of runs that begin later.

    Parameters
    ----------
    endpoint : Endpoint
    now_ms : int
    """
    if not endpoint.has_answered or endpoint.failed_polls:
        return False
    if not is_doubtful(endpoint, now_ms):
        return True
    return endpoint.has_ordered_runs and not endpoint.polls_in_flight
