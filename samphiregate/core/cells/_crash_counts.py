"""Decides when a task is given up because endpoints crash under it.

The load that this answers: tasks that end the process of each endpoint that
starts them. Each start costs the other runs there their work, so such a task
is given up after a few starts, and its job has failed. A run that is lost
right after its start says much about its task, a later loss little.
"""

import attrs

SETTLED_RUN_MS = 500
SOUND_RUN_MS = 5_000  # work after which earlier crashes say nothing
MAX_CRASHES_AT_START = 3
MAX_CRASHES = 4


@attrs.frozen
class CrashCount:
    """Runs of a task in a row under which the endpoint's process ended.

    Parameters
    ----------
    at_start : int
        Those that may have ended it at their start; a run that settled
        begins the count anew.
    crashes : int
        All of them; a run of `SOUND_RUN_MS` begins the count anew.
    """

    at_start: int = 0
    crashes: int = 0

    @property
    def is_suspect(self):
        """Whether a start of the task may harm the runs beside it."""
        return self.at_start > 0 or self.crashes > 1

    def after_crash(self, run_ms, *, at_start):
        """Returns the count after one more crash.

        Parameters
        ----------
        run_ms : int
            How long the run may have worked at most.
        at_start : bool
            Whether the run is one that may have ended the process.
        """
        crashes = 1 if run_ms >= SOUND_RUN_MS else self.crashes + 1
        if at_start:
            return CrashCount(self.at_start + 1, crashes)
        if run_ms >= SETTLED_RUN_MS:
            return CrashCount(0, crashes)
        return CrashCount(self.at_start, crashes)

    def after_work(self, survived_ms):
        """Returns the count after a run has worked for a time."""
        if survived_ms >= SOUND_RUN_MS:
            return NO_CRASHES
        if survived_ms >= SETTLED_RUN_MS and self.at_start:
            return attrs.evolve(self, at_start=0)
        return self

    def is_exhausted(self, *, service_fails):
        """Whether the task is to be given up.

        Parameters
        ----------
        service_fails : bool
            Whether endpoints of the service keep failing by themselves, so
            that crashes are no fault of the task.
        """
        if self.at_start >= MAX_CRASHES_AT_START:
            return True
        return self.crashes >= MAX_CRASHES and not service_fails


NO_CRASHES = CrashCount()
