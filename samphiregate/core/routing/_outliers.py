"""Detection of endpoints that fail or are slow, and their probing."""

import statistics

import attrs

from samphiregate.core import base
from samphiregate.core.routing import _messages
from samphiregate import parameters

# Weight of the newest attempt in the moving average.
FAILURE_RATE_WEIGHT = 0.2
FAILURE_RATE_FACTOR = 2.0
FAILURE_RATE_MARGIN = 0.2
# Weight of the newest attempt in the moving average.
LATENCY_WEIGHT = 0.2
ATTEMPTS_PER_MEDIAN = 16
MIN_SLOW_MS = 50.0


@attrs.define
class _EndpointRecord:
    """Recent failures, latency and avoidance of one endpoint."""

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    latency_samples: int = 0
    latency_ms: float = 0.0
    avoided_until_ms: int = 0
    gap_ms: int = 0


class OutlierDetector(base.Policy):
    """Limits the slots that are offered on failing or slow endpoints.

    An endpoint is avoided if it can't be reached several times in a row, if
    it fails several times in a row and far more often than the others, or if
    its recent latency is far above the median of all endpoints. It is then
    offered no slots for a gap of `first_gap_ms`, and probed by one attempt
    at a time after that. A failed probe doubles the gap; a successful
    attempt that isn't slow ends the avoidance.

    Requests that fail on every endpoint cause no avoidance, because no
    endpoint fails more often than the others.

    Parameters
    ----------
    failures_in_row : int
        Consecutive failures after which an endpoint is avoided.
    slow_factor : float
        Multiple of the median latency above which an endpoint is slow.
    slow_after : int
        Successful attempts before an endpoint can count as slow.
    first_gap_ms, longest_gap_ms : int
        Bounds of the gap before each probe, in milliseconds.
    most_avoided : float
        Share of avoided endpoints, from 0 to 1, above which no further one
        is avoided for slowness.
    """

    parameter_table = {
        "failures_in_row": parameters.Interval(int, 1, 100),
        "slow_factor": parameters.Interval(float, 1.5, 100),
        "slow_after": parameters.Interval(int, 1, 10_000),
        "first_gap_ms": parameters.Interval(int, 1, 600_000),
        "longest_gap_ms": parameters.Interval(int, 1, 3_600_000),
        "most_avoided": parameters.Interval(float, 0, 1),
    }

    def __init__(
        self,
        *,
        failures_in_row=3,
        slow_factor=5.0,
        slow_after=10,
        first_gap_ms=1_000,
        longest_gap_ms=60_000,
        most_avoided=0.3,
    ):
        self.failures_in_row = failures_in_row
        self.slow_factor = slow_factor
        self.slow_after = slow_after
        self.first_gap_ms = first_gap_ms
        self.longest_gap_ms = longest_gap_ms
        self.most_avoided = most_avoided
        self.check_parameters()
        self.records_by_id_ = {}
        self.avoided_ids_ = set()
        self.median_ms_ = 0.0
        self._latency_samples = 0

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies `AttemptEnded` and `EndpointRemoved`; others are ignored."""

    @observe.register
    def _(self, event: _messages.EndpointRemoved, now_ms):
        self.records_by_id_.pop(event.endpoint_id, None)
        self.avoided_ids_.discard(event.endpoint_id)

    @observe.register
    def _(self, event: _messages.AttemptEnded, now_ms):
        record = self.records_by_id_.setdefault(
            event.endpoint_id, _EndpointRecord()
        )
        if not event.succeeded:
            self._record_failure(event, record, now_ms)
            return
        record.consecutive_failures = 0
        record.failure_rate *= 1 - FAILURE_RATE_WEIGHT
        self._record_latency(record, event.elapsed_ms)
        if self._is_slow(event.endpoint_id, record):
            self._start_avoidance(event.endpoint_id, record, now_ms)
        else:
            self.avoided_ids_.discard(event.endpoint_id)
            record.gap_ms = 0

    def choose(self, question, now_ms):
        """Returns the number of slots to offer for a `SlotsToOffer`."""
        if question.endpoint_id not in self.avoided_ids_:
            return question.free
        record = self.records_by_id_[question.endpoint_id]
        if now_ms < record.avoided_until_ms or question.running:
            return 0
        return min(1, question.free)

    def describe(self):
        """Returns the sorted ids of the endpoints that are avoided."""
        return {"avoided": sorted(self.avoided_ids_)}

    def _record_failure(self, event, record, now_ms):
        record.consecutive_failures += 1
        record.failure_rate += FAILURE_RATE_WEIGHT * (1 - record.failure_rate)
        if event.endpoint_id in self.avoided_ids_:
            self._start_avoidance(event.endpoint_id, record, now_ms)
        elif record.consecutive_failures >= self.failures_in_row and (
            not event.reached
            or self._fails_more_than_others(event.endpoint_id, record)
        ):
            self._start_avoidance(event.endpoint_id, record, now_ms)

    def _fails_more_than_others(self, endpoint_id, record):
        """Returns whether an endpoint fails far more than the others."""
        others = [
            entry.failure_rate
            for other_id, entry in self.records_by_id_.items()
            if other_id != endpoint_id
        ]
        if not others:
            return False
        median_rate = statistics.median(others)
        return (
            record.failure_rate
            > median_rate * FAILURE_RATE_FACTOR + FAILURE_RATE_MARGIN
        )

    def _record_latency(self, record, elapsed_ms):
        record.latency_samples += 1
        record.latency_ms = _moving_average(record.latency_ms, elapsed_ms)
        if self._latency_samples % ATTEMPTS_PER_MEDIAN == 0:
            self.median_ms_ = statistics.median(
                entry.latency_ms
                for entry in self.records_by_id_.values()
                if entry.latency_samples
            )
        self._latency_samples += 1

    def _max_latency_ms(self):
        return max(self.median_ms_ * self.slow_factor, MIN_SLOW_MS)

    def _is_slow(self, endpoint_id, record):
        if record.latency_samples < self.slow_after:
            return False
        if record.latency_ms <= self._max_latency_ms():
            return False
        others = len(self.avoided_ids_ - {endpoint_id})
        return others + 1 <= self.most_avoided * len(self.records_by_id_)

    def _start_avoidance(self, endpoint_id, record, now_ms):
        if endpoint_id in self.avoided_ids_ and now_ms < (
            record.avoided_until_ms
        ):
            return
        doubled_ms = max(record.gap_ms * 2, self.first_gap_ms)
        record.gap_ms = min(doubled_ms, self.longest_gap_ms)
        record.avoided_until_ms = now_ms + record.gap_ms
        self.avoided_ids_.add(endpoint_id)


def _moving_average(mean, value):
    if not mean:
        return float(value)
    return mean + LATENCY_WEIGHT * (value - mean)
