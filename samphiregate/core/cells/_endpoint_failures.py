"""Tells how often the endpoints of a service fail by themselves.

The load that this answers: endpoints whose processes end again and again, by
no fault of the tasks that they run. A crash counts as the endpoint's own
unless a task that it interrupted is strongly suspected.
"""

import collections

import attrs

PERIOD_MS = 30_000
# Assumed before anything is seen: one failure in this time.
PRIOR_EXPOSURE_S = 20
RATE_INTERVAL_MS = 100  # for which a rate that was found is used
MIN_FAILURES_PER_S = 1 / 300  # assumed of one endpoint of any service


@attrs.frozen
class _Crash:
    """An end of an endpoint's process, and the tasks that ran there."""

    at_ms: int
    tasks: tuple

    @property
    def is_own(self):
        """Whether none of the tasks is strongly suspected."""
        return all(
            task.is_done
            or not task.crash_history.is_strong_suspect(MIN_FAILURES_PER_S)
            for task in self.tasks
        )


@attrs.frozen
class _Rate:
    """Failures of one endpoint in a second, and when that was found."""

    at_ms: int
    per_s: float


class EndpointFailures:
    """The crashes of endpoints in the last `PERIOD_MS`, by service."""

    def __init__(self):
        self._crashes_by_service = collections.defaultdict(collections.deque)
        self._rate_by_service = {}

    def record_crash(self, service, tasks, now_ms):
        """Records that a process has ended.

        Parameters
        ----------
        service : str
        tasks : iterable of Task
            Tasks that ran there.
        now_ms : int
        """
        crashes = self._crashes_by_service[service]
        crashes.append(_Crash(now_ms, tuple(tasks)))
        self._rate_by_service.pop(service, None)

    def failures_per_s(self, service, endpoints, now_ms):
        """Returns how often one endpoint fails by itself, in the mean.

        Parameters
        ----------
        service : str
        endpoints : collection of Endpoint
            Those of all services.
        now_ms : int
        """
        if service not in self._crashes_by_service:
            return MIN_FAILURES_PER_S
        rate = self._rate_by_service.get(service)
        if rate is None or now_ms - rate.at_ms >= RATE_INTERVAL_MS:
            exposure_s = _exposure_s(service, endpoints, now_ms)
            per_s = self._find_rate(service, exposure_s, now_ms)
            rate = _Rate(now_ms, per_s)
            self._rate_by_service[service] = rate
        return rate.per_s

    def _find_rate(self, service, exposure_s, now_ms):
        crashes = self._crashes_by_service[service]
        _forget_old(crashes, now_ms)
        own_count = sum(crash.is_own for crash in crashes)
        rate = (1 + own_count) / (PRIOR_EXPOSURE_S + exposure_s)
        return max(rate, MIN_FAILURES_PER_S)


def _exposure_s(service, endpoints, now_ms):
    """Returns for how long endpoints were seen, all together, in seconds.

    In the last `PERIOD_MS`, and only those that answer now.
    """
    return sum(
        min(now_ms - one.first_polled_ms, PERIOD_MS) / 1000
        for one in endpoints
        if one.registration.service == service
        and one.has_answered
        and one.first_polled_ms is not None
        and not one.failed_polls
    )


def _forget_old(crashes, now_ms):
    while crashes and now_ms - crashes[0].at_ms > PERIOD_MS:
        crashes.popleft()
