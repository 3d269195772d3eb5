"""Histograms for each team and class of work, and named counters."""

import collections

import attrs
import gevent
from hdrh import histogram
import statsd

SHORTEST_MS = 1
LONGEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
MAX_HISTOGRAMS = 1_024
SUMMARIES_AT_A_TIME = 16
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@attrs.frozen
class HistogramSummary:
    """What is shown of one histogram; times in milliseconds."""

    name: str
    team: str
    work_class: str
    count: int
    mean_ms: float
    p50_ms: int
    p90_ms: int
    p99_ms: int
    p999_ms: int
    max_ms: int


@attrs.define
class _Recorded:
    """A histogram, and the sum that its mean is worked out from."""

    values: histogram.HdrHistogram
    sum_ms: int = 0


class Metrics:
    """Records waits, run times and counts of one process.

    Parameters
    ----------
    statsd_endpoint : str
        ``ip:port`` of a statsd server; empty sends nothing.
    prefix : str
        First part of each metric's name.

    Notes
    -----
    At most `MAX_HISTOGRAMS` histograms are held; the least recently used
    one makes room, so that memory is bounded whatever the number of teams.
    """

    def __init__(self, *, statsd_endpoint="", prefix="samphiregate"):
        self.counts_by_name = collections.Counter()
        self._histograms_by_key = collections.OrderedDict()
        self._statsd = None
        if statsd_endpoint:
            host, _colon, port = statsd_endpoint.rpartition(":")
            self._statsd = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name, n=1):
        """Adds `n` to a counter."""
        self.counts_by_name[name] += n
        if self._statsd:
            self._statsd.incr(name, n)

    def gauge(self, name, value):
        """Sends the present value of a quantity."""
        if self._statsd:
            self._statsd.gauge(name, value)

    def observe_wait(self, team, work_class, elapsed_ms):
        """Records how long work waited before it was started."""
        self._observe("wait", team, work_class, elapsed_ms)

    def observe_run(self, team, work_class, elapsed_ms):
        """Records how long work ran."""
        self._observe("run", team, work_class, elapsed_ms)

    def histograms(self):
        """Returns a `HistogramSummary` for each histogram held.

        Other greenlets run in between, as a thousand take 0.2 s.
        """
        summaries = []
        for key, recorded in sorted(self._histograms_by_key.items()):
            summaries.append(_summarise(key, recorded))
            if len(summaries) % SUMMARIES_AT_A_TIME == 0:
                gevent.sleep(0)
        return summaries

    def _observe(self, name, team, work_class, elapsed_ms):
        elapsed_ms = min(max(int(elapsed_ms), SHORTEST_MS), LONGEST_MS)
        key = (name, team, getattr(work_class, "value", work_class))
        recorded = self._recorded(key)
        recorded.values.record_value(elapsed_ms)
        recorded.sum_ms += elapsed_ms
        if self._statsd:
            self._statsd.timing(".".join(key), elapsed_ms)

    def _recorded(self, key):
        found = self._histograms_by_key.get(key)
        if found is None:
            found = _Recorded(
                histogram.HdrHistogram(
                    SHORTEST_MS,
                    LONGEST_MS,
                    SIGNIFICANT_DIGITS,
                    word_size=COUNTER_BYTES,
                )
            )
            self._histograms_by_key[key] = found
            if len(self._histograms_by_key) > MAX_HISTOGRAMS:
                self._histograms_by_key.popitem(last=False)
        else:
            self._histograms_by_key.move_to_end(key)
        return found


def _summarise(key, recorded):
    name, team, work_class = key
    values = recorded.values
    count = values.get_total_count()
    percentiles = values.get_percentile_to_value_dict(list(PERCENTILES))
    return HistogramSummary(
        name,
        team,
        work_class,
        count,
        recorded.sum_ms / count,
        *(percentiles[percentile] for percentile in PERCENTILES),
        values.get_max_value(),
    )
