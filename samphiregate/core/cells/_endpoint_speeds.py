"""Lasting speeds of endpoints, learned from the runs that ended there.

The load that this answers: a service of whose endpoints some are slower than
others for good, such as one in four at half the speed. What counts is the
time of a run against others of its step and image, so tasks that are long
themselves do not count against the endpoint that happens to run them. An
endpoint that is slow for some seconds is not slow for good: runs are
gathered by period, and the median period decides. As long as it is not known
how long an image takes, all endpoints look slow, so an endpoint is compared
with the median one of its service.

What is learned of an endpoint is kept in memory, with its incarnation. A new
one is taken to be as its kind is, if the endpoints of that kind are alike.
"""

import collections
import math
import statistics

import attrs

PERIOD_MS = 2_500
MIN_PERIODS = 3
MAX_PERIODS = 12
MAX_RUNS_IN_PERIOD = 32
MIN_DEVIATION = 0.1  # of the logarithm, of one period
CERTAINTY = 2.0  # standard errors by which a factor differs from 1
MIN_LOG = math.log(1.1)  # a smaller difference does not change where tasks go
MAX_RUN_LOG = math.log(4)  # logarithms of runs are cut here
MAX_ENDPOINTS_OF_KIND = 32
MAX_KINDS = 256
MAX_ENDPOINTS_OF_SERVICE = 512


def lasting_log(values):
    """Returns the median of logarithms, or 0 if it may be 0 or is small.

    Parameters
    ----------
    values : collection of float
        One for each period, or for each endpoint.
    """
    count = len(values)
    if count < MIN_PERIODS:
        return 0.0
    median = statistics.median(values)
    deviation = statistics.median(abs(one - median) for one in values)
    error = max(deviation, MIN_DEVIATION) / math.sqrt(count)
    return median if abs(median) > max(CERTAINTY * error, MIN_LOG) else 0.0


@attrs.define
class EndpointSpeed:
    """What was seen of the speed of one incarnation of an endpoint.

    Attributes
    ----------
    period_logs : deque of float
        Logarithm of the time of the median run against what was expected on
        an endpoint of usual speed, for each period.
    lasting_log : float or None
        From them; None while there are not enough.
    """

    period_logs: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_PERIODS)
    )
    lasting_log: float | None = None
    _run_logs: list = attrs.field(factory=list)
    _period_end_ms: int = 0

    def add(self, run_log, now_ms):
        """Adds a run; returns whether a period has ended before it."""
        has_ended = bool(self._run_logs) and now_ms >= self._period_end_ms
        if has_ended:
            self.period_logs.append(statistics.median(self._run_logs))
            self._run_logs.clear()
            if len(self.period_logs) >= MIN_PERIODS:
                self.lasting_log = lasting_log(self.period_logs)
        if not self._run_logs:
            self._period_end_ms = now_ms + PERIOD_MS
        if len(self._run_logs) < MAX_RUNS_IN_PERIOD:
            self._run_logs.append(run_log)
        return has_ended


class EndpointSpeeds:
    """Tells how many times the usual time runs take on an endpoint."""

    def __init__(self):
        self._logs_by_kind = collections.OrderedDict()
        self._log_by_kind = {}
        self._logs_by_service = {}
        self._median_by_service = {}

    def add_run(self, endpoint, ratio, now_ms):
        """Learns from a run that ended as done.

        Parameters
        ----------
        endpoint : Endpoint
        ratio : float
            Its time against what was expected on an endpoint of usual speed.
        now_ms : int
        """
        run_log = math.log(max(ratio, 1e-3))
        run_log = min(max(run_log, -MAX_RUN_LOG), MAX_RUN_LOG)
        speed = endpoint.speed
        if speed.add(run_log, now_ms) and speed.lasting_log is not None:
            self._add_to_kind(endpoint)
            self._add_to_service(endpoint)

    def time_factor(self, endpoint):
        """Returns the factor; 1 for an endpoint of usual speed."""
        own = endpoint.speed.lasting_log
        if own is None:
            own = self._log_by_kind.get(_kind_of(endpoint))
        if own is None:
            return 1.0
        service = endpoint.registration.service
        relative = own - self._median_by_service.get(service, 0.0)
        return math.exp(relative) if relative else 1.0

    def _add_to_service(self, endpoint):
        """Adds an endpoint's speed to those that the median is of."""
        service = endpoint.registration.service
        logs = self._logs_by_service.setdefault(
            service, collections.OrderedDict()
        )
        logs[_incarnation_of(endpoint)] = endpoint.speed.lasting_log
        if len(logs) > MAX_ENDPOINTS_OF_SERVICE:
            logs.popitem(last=False)
        self._median_by_service[service] = statistics.median_low(logs.values())

    def _add_to_kind(self, endpoint):
        """Adds an endpoint's speed to what new ones of its kind begin with."""
        kind = _kind_of(endpoint)
        logs = self._logs_by_kind.get(kind)
        if logs is None:
            logs = self._logs_by_kind[kind] = collections.OrderedDict()
            if len(self._logs_by_kind) > MAX_KINDS:
                oldest, _logs = self._logs_by_kind.popitem(last=False)
                self._log_by_kind.pop(oldest, None)
        incarnation = _incarnation_of(endpoint)
        logs[incarnation] = endpoint.speed.lasting_log
        logs.move_to_end(incarnation)
        if len(logs) > MAX_ENDPOINTS_OF_KIND:
            logs.popitem(last=False)
        self._log_by_kind[kind] = lasting_log(logs.values())


def _incarnation_of(endpoint):
    """Returns what tells one incarnation of an endpoint from others."""
    return (endpoint.endpoint_id, endpoint.registration.started_unix_ms)


def _kind_of(endpoint):
    """Returns what endpoints of equal speed may have in common."""
    registration = endpoint.registration
    kind = registration.labels[0] if registration.labels else ""
    return (registration.service, kind)
