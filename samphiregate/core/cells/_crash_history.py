"""Decides when a task is given up because endpoints crash under it.

The load that this answers: tasks that end the process of each endpoint that
starts them. Each start costs the other runs there their work, so such a task
is given up after a few starts, and its job has failed. Endpoints also fail by
themselves, under tasks that are sound. So it is asked how likely it is that
endpoints fail by themselves within the times that the runs had worked: a crash
right after a start is evidence against the task, a later one less, and where
endpoints fail often still less.
"""

import math

import attrs

SETTLED_RUN_MS = 200
SETTLED_FACTOR = 2  # of the longest run that ended in a crash
MIN_RUN_MS = 10  # shorter times are not told apart
MAX_RUNS = 16
# Until a task is given up: all right after the start, or at any time.
MIN_CRASHES_AT_START = 3
MIN_CRASHES = 4
# Evidence in nats: the negative natural logarithm of the probability that
# endpoints fail by themselves in the times that the runs had worked.
SUSPECT_NATS = 6.0
STRONG_SUSPECT_NATS = 12.0
CRASH_LOOP_NATS = 18.0


@attrs.frozen
class CrashHistory:
    """Runs of a task in a row under which the endpoint's process ended.

    Parameters
    ----------
    run_ms : tuple of int
        How long each may have worked at most, in milliseconds.
    """

    run_ms: tuple[int, ...] = ()

    @property
    def settled_ms(self):
        """How long a run has to work to outlast the earlier ones."""
        longest_ms = max(self.run_ms, default=0)
        return SETTLED_RUN_MS + SETTLED_FACTOR * longest_ms

    def after_crash(self, run_ms):
        """Returns the history after one more crash."""
        return CrashHistory((*self.run_ms, run_ms)[-MAX_RUNS:])

    def after_work(self, survived_ms):
        """Returns the history after a run has worked for a time."""
        return NO_CRASHES if survived_ms >= self.settled_ms else self

    def is_suspect(self, failures_per_s):
        """Whether the task may end its endpoint's process.

        Parameters
        ----------
        failures_per_s : float
            How often an endpoint of the service fails by itself.
        """
        return self._evidence(failures_per_s) >= SUSPECT_NATS

    def is_strong_suspect(self, failures_per_s):
        """Whether the task probably ends its endpoint's process."""
        return self._evidence(failures_per_s) >= STRONG_SUSPECT_NATS

    def is_crash_loop(self, failures_per_s):
        """Whether the task is to be given up."""
        all_at_start = all(one < SETTLED_RUN_MS for one in self.run_ms)
        needed = MIN_CRASHES_AT_START if all_at_start else MIN_CRASHES
        return (
            len(self.run_ms) >= needed
            and self._evidence(failures_per_s) >= CRASH_LOOP_NATS
        )

    def _evidence(self, failures_per_s):
        return sum(
            -math.log1p(-math.exp(-failures_per_s * one_ms / 1000))
            for one_ms in (max(one, MIN_RUN_MS) for one in self.run_ms)
        )


NO_CRASHES = CrashHistory()
