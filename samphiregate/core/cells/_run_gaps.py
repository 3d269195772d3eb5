"""Follows long-running tasks that have no run, for logs and metrics."""

import collections
import itertools

import attrs

MAX_RUNS_TOLD = 20  # in one log line


@attrs.define(eq=False)
class RunGap:
    """A time in which no run of a long-running task is known to exist.

    Attributes
    ----------
    task : Task
    since_ms : int
        When the last run was released, or the owner began to want a run.
    ran_before : bool
        Whether the task was ever placed before.
    inherited : bool
        Whether it may have begun under an earlier owner: before `since_ms`.
    placed_before : int
        Tasks of its service that had been placed when it began.
    told_reason : str
        What the last line said that the task waits for.
    told_count : int
        Number of lines about it.
    """

    task: object
    since_ms: int
    ran_before: bool
    inherited: bool
    placed_before: int = 0
    told_reason: str = ""
    told_count: int = 0

    @property
    def is_over(self):
        """Whether no run is needed, or an inherited one was confirmed."""
        return not self.task.needs_run or (
            self.inherited
            and any(
                (booking.confirmed_ms or 0) > self.since_ms
                for booking in self.task.bookings_by_run.values()
            )
        )


@attrs.define(eq=False)
class RunGaps:
    """The gaps of a cell's long-running tasks.

    Attributes
    ----------
    gap_by_id : dict
        `RunGap` by task id.
    placed_by_service : collections.Counter
        Number of tasks placed by this owner.
    restart_count, restart_ms : int
        Interrupted tasks that run again, and how long all of them together
        were without a run.
    """

    gap_by_id: dict = attrs.field(factory=dict)
    placed_by_service: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    restart_count: int = 0
    restart_ms: int = 0

    def open_stage(self, stage, now_ms):
        """Begins a gap for each task of a long-running stage that opens."""
        if stage.step.long_running:
            for task in stage.tasks:
                self._begin(task, now_ms, inherited=bool(task.last_run))

    def note_release(self, booking, now_ms):
        """Begins a gap if the last run of a long-running task was released."""
        task = booking.task
        if booking.step.long_running and task.is_waiting and task.needs_run:
            self._begin(task, now_ms, inherited=False)

    def close(self, task, now_ms):
        """Ends the gap of a task that was started.

        Returns
        -------
        RunGap or None
            None if the task had none, or never ran before.
        """
        gap = self.gap_by_id.pop(task.task_id, None)
        if gap is None or not gap.ran_before:
            return None
        self.restart_count += 1
        self.restart_ms += now_ms - gap.since_ms
        return gap

    def drop(self, task):
        """Forgets the gap of a task that was found running."""
        self.gap_by_id.pop(task.task_id, None)

    def drop_ended(self):
        """Forgets the gaps that are over."""
        for task_id, gap in list(self.gap_by_id.items()):
            if gap.is_over:
                del self.gap_by_id[task_id]

    def describe(self, now_ms):
        """Returns counts for logs and metrics; drops the gaps that ended."""
        self.drop_ended()
        gaps = self.gap_by_id.values()
        idle = [gap for gap in gaps if gap.task.is_waiting]
        oldest_ms = min((gap.since_ms for gap in idle), default=now_ms)
        return {
            "without_run": len(idle),
            "oldest_ms": now_ms - oldest_ms,
            "unconfirmed": len(gaps) - len(idle),
            "restarted": self.restart_count,
            "restart_ms": self.restart_ms,
        }

    def _begin(self, task, now_ms, *, inherited):
        if task.task_id in self.gap_by_id or not task.needs_run:
            return
        self.gap_by_id[task.task_id] = RunGap(
            task,
            now_ms,
            ran_before=task.last_run > 0,
            inherited=inherited,
            placed_before=self.placed_by_service[task.stage.queue.service],
        )


def describe_runs(bookings):
    """Returns job, task, run and endpoint of some runs, for the log."""
    return [
        (
            booking.task.task_id.job_id,
            *booking.task.task_id.position,
            booking.run,
            booking.endpoint_id,
        )
        for booking in itertools.islice(bookings, MAX_RUNS_TOLD)
    ]
