"""Jobs of a cell, with their stages and what is known of their records."""

import attrs

from samphiregate.core.cells import _number_ranges
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work


@attrs.define(eq=False)
class JobEntry:
    """A job and its progress.

    Attributes
    ----------
    arrived_ms : int
        When the owner read it from the store.
    accepted_ms : int
        When a VM accepted it; `arrived_ms` if that is not known.
    due_ms : int
        Until when it is on time, counted from `accepted_ms`.
    useful_until_ms : int
        After which its result is of no more use.
    left_ms_by_step : list of float
        Expected time from the start of a step to the end of the job.
    within_share : bool
        Whether its account was within its share when the job was accepted.
    stages_by_key : dict
        `Stage` by occurrence and step number.
    version, stored_version : int
        Version of the record here, and in the store.
    ended_unix_ms : int
        When it reached a final state; 0 before.
    began_ms_by_occurrence : dict
        When each occurrence of a recurring job was due.
    has_started : bool
        Whether a run of any task was ever reserved.
    added_count : int
        Number of occurrences that were added, or named by the record.
    ended_occurrences : NumberRanges
        Occurrences that have ended, of which no stages are kept.
    is_compacted : bool
        Whether the stored job is reduced to what is needed after its end.
    is_record_refused : bool
        Whether the job was given up as the store takes no record of it.
    max_open : int or None
        How many tasks may be open at a time, if the store has refused a record
        with more.
    """

    job: _work.Job
    arrived_ms: int
    accepted_ms: int
    due_ms: int
    useful_until_ms: int
    left_ms_by_step: list[float] = attrs.field(factory=list)
    within_share: bool = True
    state: _work.JobState = _work.JobState.QUEUED
    stages_by_key: dict = attrs.field(factory=dict)
    version: int = 0
    stored_version: int = 0
    began_ms_by_occurrence: dict = attrs.field(factory=dict)
    ended_unix_ms: int = 0
    has_started: bool = False
    added_count: int = 0
    ended_occurrences: _number_ranges.NumberRanges = attrs.field(
        factory=_number_ranges.NumberRanges
    )
    is_compacted: bool = False
    is_record_refused: bool = False
    max_open: int | None = None
    _open_tasks: dict = attrs.field(factory=dict)

    @property
    def has_speculative(self):
        """Whether tasks of any step may run in copies."""
        return any(step.speculative for step in self.job.steps)

    @property
    def visible_state(self):
        """State to report to callers; a final one only once it is stored."""
        if self.state.is_final and self.stored_version < self.version:
            return _work.JobState.RUNNING
        return self.state

    def add_occurrence(self, occurrence):
        """Adds the stages and tasks of an occurrence that is due."""
        for number, step in enumerate(self.job.steps):
            stage = _tasks.Stage(self, occurrence, number, step)
            for index in range(step.count):
                task_id = _work.TaskId(
                    self.job.job_id, occurrence, number, index
                )
                stage.tasks.append(_tasks.Task(task_id, stage))
            self.stages_by_key[stage.key] = stage

    def stages_of(self, occurrence):
        """Returns the stages of an occurrence that is under way."""
        return [
            self.stages_by_key[occurrence, number]
            for number in range(len(self.job.steps))
        ]

    def has_occurrence(self, occurrence):
        """Whether an occurrence is under way or has ended."""
        return (
            occurrence in self.ended_occurrences
            or (occurrence, 0) in self.stages_by_key
        )

    def forget_occurrence(self, occurrence):
        """Keeps of an occurrence only that it has ended."""
        for stage in self.stages_of(occurrence):
            del self.stages_by_key[stage.key]
        self.began_ms_by_occurrence.pop(occurrence, None)
        self.ended_occurrences.add(occurrence)

    def task(self, task_id):
        """Returns the `Task` with an id, or None if there is none."""
        stage = self.stages_by_key.get((task_id.occurrence, task_id.step))
        if stage is None or task_id.index >= len(stage.tasks):
            return None
        return stage.tasks[task_id.index]

    def note_open(self, task):
        """Notes that a task may be open; see `Task.is_open`."""
        self._open_tasks[task.task_id] = task

    def count_open(self):
        """Returns the number of open tasks; see `Task.is_open`."""
        self._open_tasks = {
            task_id: task
            for task_id, task in self._open_tasks.items()
            if task.is_open
        }
        return len(self._open_tasks)

    def may_open(self, tasks, max_open):
        """Returns the tasks that may run while at most `max_open` are open.

        Those that are open already, and as many others as there is room for.
        """
        new_count = sum(one.task_id not in self._open_tasks for one in tasks)
        if len(self._open_tasks) + new_count <= max_open:
            return tasks
        room = max(max_open - self.count_open(), 0)
        known = [one for one in tasks if one.task_id in self._open_tasks]
        new = [one for one in tasks if one.task_id not in self._open_tasks]
        return known + new[:room]

    def are_dependencies_done(self, stage):
        """Whether the steps that a stage depends on are done."""
        return all(
            self.stages_by_key[stage.occurrence, number].is_done
            for number in stage.step.after
        )

    @property
    def is_done(self):
        """Whether all occurrences were added and every task is done."""
        left_count = self.job.occurrence_count - len(self.ended_occurrences)
        stage_count = len(self.job.steps) * left_count
        return len(self.stages_by_key) == stage_count and all(
            stage.is_done for stage in self.stages_by_key.values()
        )

    def unstored_bookings(self):
        """Returns the bookings of runs that no stored record names."""
        return [
            booking
            for booking in self.bookings()
            if booking.state is _tasks.RunState.PLANNED
            and booking.version > self.stored_version
        ]

    def bookings(self):
        """Yields the bookings of the runs that may exist."""
        for stage in self.stages_by_key.values():
            for task in stage.tasks:
                yield from task.bookings_by_run.values()
