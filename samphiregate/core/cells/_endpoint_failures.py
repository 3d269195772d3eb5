"""Tells how often the endpoints of a service fail by themselves.

The load that this answers: endpoints whose processes end again and again, by
no fault of the tasks that they run. A crash counts as the endpoint's own if
no run had just started there, or if all tasks that had were sound when they
were tried again.
"""

import collections

import attrs

from samphiregate.core.cells import _crash_counts

PERIOD_MS = 30_000
MIN_SPAN_S = 1.0
MAX_START_CHANCE = 0.02  # that an endpoint fails by itself right at a start
MIN_START_WINDOW_MS = 50
SOUND_FAILURES_PER_S = 1 / 30  # of one endpoint of a service that is sound


@attrs.frozen
class _Crash:
    """An end of an endpoint's process, and the tasks that may be the cause."""

    at_ms: int
    blamed_tasks: tuple

    @property
    def is_own(self):
        """Whether none of the tasks is under suspicion any more."""
        return all(
            task.is_done or not task.crash_count.at_start
            for task in self.blamed_tasks
        )


class EndpointFailures:
    """The crashes of endpoints in the last `PERIOD_MS`, by service."""

    def __init__(self):
        self._crashes_by_service = collections.defaultdict(collections.deque)

    def record_crash(self, service, blamed_tasks, now_ms):
        """Records that a process has ended.

        Parameters
        ----------
        service : str
        blamed_tasks : iterable of Task
            Tasks that may have ended it.
        now_ms : int
        """
        crashes = self._crashes_by_service[service]
        crashes.append(_Crash(now_ms, tuple(blamed_tasks)))
        _forget_old(crashes, now_ms)

    def start_window_ms(self, service, endpoint_count, now_ms):
        """Returns for how long after its start a run may be to blame.

        The more often endpoints fail by themselves, the shorter, so that
        chance alone rarely ends one in that time.
        """
        rate = self._failures_per_s(service, endpoint_count, now_ms)
        if not rate:
            return _crash_counts.SETTLED_RUN_MS
        window_ms = max(MAX_START_CHANCE / rate * 1000, MIN_START_WINDOW_MS)
        return min(window_ms, _crash_counts.SETTLED_RUN_MS)

    def is_failing(self, service, endpoint_count, now_ms):
        """Whether the endpoints of a service keep failing by themselves."""
        rate = self._failures_per_s(service, endpoint_count, now_ms)
        return rate >= SOUND_FAILURES_PER_S

    def _failures_per_s(self, service, endpoint_count, now_ms):
        """Returns how often one endpoint fails by itself, in the mean."""
        crashes = self._crashes_by_service.get(service)
        if not crashes or not endpoint_count:
            return 0.0
        _forget_old(crashes, now_ms)
        own = [crash.at_ms for crash in crashes if crash.is_own]
        if not own:
            return 0.0
        span_s = max((now_ms - own[0]) / 1000, MIN_SPAN_S)
        return len(own) / endpoint_count / span_s


def _forget_old(crashes, now_ms):
    while crashes and now_ms - crashes[0].at_ms > PERIOD_MS:
        crashes.popleft()
