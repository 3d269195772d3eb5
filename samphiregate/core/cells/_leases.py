"""Computes deadlines on the clocks of endpoints, and when leases have ended.

The load that this answers: endpoints without work, whose clocks are known
from long ago and go slow, get a task and are cut off from the owner. A
deadline that goes by an old reading must not outlast the lease that the
owner, and the owners after it, count on.

A reading is the steady clock in an endpoint's answer. It is current while
the endpoint cannot have restarted since, and is not older than polls are
apart.
"""

MAX_CLOCK_DRIFT_SHARE = 0.02  # by which an endpoint's clock may run slow
LEASE_MARGIN_MS = 100
MIN_RESTART_MS = 300  # shortest time in which an endpoint can restart
MAX_READING_AGE_MS = 2_000  # of an endpoint that is polled all the time
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
    least_gone_ms = (now_ms - endpoint.answered_ms) * (
        1 - MAX_CLOCK_DRIFT_SHARE
    )
    return endpoint.clock_ms + int(least_gone_ms) + lease_ms


def until_ms_of_restarted(endpoint, max_hold_ms):
    """Returns when a lease that was granted by the clock before has ended.

    An order by the clock of an earlier incarnation grants a later one the
    longest lease.

    Parameters
    ----------
    endpoint : Endpoint
    max_hold_ms : int
        To which endpoints shorten longer leases.
    """
    if endpoint.extended_ms is None:
        return 0
    return endpoint.extended_ms + max_lease_ms(max_hold_ms)


def has_current_reading(endpoint, now_ms):
    """Whether the clock and the incarnation of an endpoint are known now.

    Parameters
    ----------
    endpoint : Endpoint
    now_ms : int
    """
    age_ms = now_ms - endpoint.answered_ms
    if age_ms < MIN_RESTART_MS:
        return True
    return (
        age_ms < MAX_READING_AGE_MS
        and endpoint.polls_in_flight > 0
        and not endpoint.was_unwatched
    )


def may_extend(endpoint, now_ms):
    """Whether a poll may carry a deadline.

    An endpoint that may have restarted during a rest would take a deadline
    on the clock of its earlier incarnation for the longest lease, also of
    runs that begin later. One with runs was polled all the time.

    Parameters
    ----------
    endpoint : Endpoint
    now_ms : int
    """
    return (
        endpoint.has_answered
        and not endpoint.failed_polls
        and (
            endpoint.has_ordered_runs
            or now_ms - endpoint.answered_ms < MIN_RESTART_MS
        )
    )
