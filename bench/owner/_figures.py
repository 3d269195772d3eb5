"""Figures of an owner's cost: calls and processor time for each start."""

import cProfile
import os
import pstats
import time

import attrs

import bench
from bench.owner import _owner
from bench.owner import _stream

LENGTH_MS = 30_000
QUICK_LENGTH_MS = 4_000
SMALL_PART = 10
PROFILE_VARIABLE = "OWNER_PROFILE"  # a file for `pstats`


@attrs.define
class Cost:
    """What the calls of one played cell cost.

    Attributes
    ----------
    starts : int
        Start orders sent.
    calls : int
        Calls of Python functions.
    seconds : float
        Processor time, without the profiler.
    longest_ms : float
        Processor time of the longest call.
    digest : str
        Of all decisions.
    """

    starts: int = 0
    calls: int = 0
    seconds: float = 0.0
    longest_ms: float = 0.0
    digest: str = ""

    def measure(self, call, *args):
        """Calls `call` and adds its processor time."""
        started_s = time.process_time()
        result = call(*args)
        elapsed_s = time.process_time() - started_s
        self.seconds += elapsed_s
        self.longest_ms = max(self.longest_ms, elapsed_s * 1_000)
        return result


def play(endpoint_count, settings):
    """Plays one cell twice, timed and counted; returns the `Cost`."""
    cost = Cost()
    owner = _play_once(endpoint_count, settings, cost.measure)
    profile = cProfile.Profile()
    _play_once(endpoint_count, settings, profile.runcall)
    path = os.environ.get(PROFILE_VARIABLE)
    if path:
        profile.dump_stats(path)
    cost.calls = pstats.Stats(profile).total_calls
    cost.starts = owner.start_count
    cost.digest = owner.digest.hexdigest()
    return cost


def _play_once(endpoint_count, settings, measure):
    length_ms = QUICK_LENGTH_MS if settings.quick else LENGTH_MS
    owner = _owner.Owner(endpoint_count, settings.seed, measure)
    arrivals = _stream.jobs(endpoint_count, length_ms, settings.seed)
    owner.play(arrivals, length_ms)
    return owner


def measure(settings):
    """Yields the figures of a large cell beside those of a small one."""
    count = _stream.STREAM_ENDPOINTS
    small = play(count // SMALL_PART, settings)
    large = play(count, settings)
    print(f"decisions of the large cell: {large.digest}")
    for name, unit, value, baseline in (
        ("starts", "starts", large.starts, small.starts),
        (
            "calls for each start",
            "calls",
            large.calls / large.starts,
            small.calls / small.starts,
        ),
        (
            "processor time for each start",
            "ms",
            large.seconds * 1_000 / large.starts,
            small.seconds * 1_000 / small.starts,
        ),
        ("longest call", "ms", large.longest_ms, small.longest_ms),
    ):
        yield bench.Figure(
            f"{count} endpoints, {name}",
            value,
            unit,
            baseline=baseline,
            baseline_name="a tenth of the cell",
        )
