"""What an owner knows of jobs, their stages, and the runs of their tasks."""

import enum

import attrs

from samphiregate.core.cells import _records
from samphiregate.core.cells import _work

OVERDUE_FACTOR = 1.3  # of an estimate
OVERDUE_MARGIN_MS = 200


class RunState(enum.Enum):
    """What is known of one run of a task on an endpoint."""

    PLANNED = "planned"  # the order waits for the record to be stored
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Booking:
    """A run of a task that may exist on an endpoint; it takes room there.

    Attributes
    ----------
    task : Task
    run : int
    endpoint_id : str
    state : RunState
    version : int
        Of the job's record that tells of the run.
    sent_ms : int
        When the order to start was sent.
    confirmed_ms : int or None
        When the run was last known to exist.
    stop_sent_ms, stop_confirmed_ms : int or None
    percent : float
        Progress, as the endpoint lists it.
    progressed_ms : int
        When `percent` last rose.
    orders : int
        Orders to start that were sent.
    """

    task: "Task"
    run: int
    endpoint_id: str
    sent_ms: int
    state: RunState = RunState.PLANNED
    version: int = 0
    confirmed_ms: int | None = None
    stop_sent_ms: int | None = None
    stop_confirmed_ms: int | None = None
    percent: float = 0.0
    progressed_ms: int = 0
    start_attempts: int = 0

    @property
    def key(self):
        """Names the run."""
        return (self.task.task_id, self.run)

    @property
    def step(self):
        """The step that the task belongs to."""
        return self.task.stage.step

    @property
    def overdue_ms(self):
        """When an end of the run should surely have been heard of."""
        expected_ms = self.step.estimate_ms * OVERDUE_FACTOR
        return self.sent_ms + expected_ms + OVERDUE_MARGIN_MS


@attrs.define(eq=False)
class Task:
    """One task of a stage.

    Attributes
    ----------
    last_run : int
        Highest run number given out.
    saved : str
        Latest checkpoint.
    failed_runs : set of int
        Runs that ended as failed.
    ended_runs : set
        Endpoint id and run of each end that was taken in.
    bookings_by_run : dict
        Runs that may exist.
    """

    task_id: _work.TaskId
    stage: "Stage"
    is_done: bool = False
    last_run: int = 0
    saved: str = ""
    failed_runs: set[int] = attrs.field(factory=set)
    ended_runs: set = attrs.field(factory=set)
    bookings_by_run: dict[int, Booking] = attrs.field(factory=dict)

    @property
    def is_waiting(self):
        """Whether the task is to run and no run of it may exist."""
        return not self.is_done and not self.bookings_by_run


@attrs.define(eq=False)
class Ticket:
    """Leave of the policy service to run a step on an endpoint."""

    text: str
    valid_until_ms: int


@attrs.define(eq=False)
class Stage:
    """One step of one occurrence of a job.

    Attributes
    ----------
    opened_ms : int or None
        When the steps before it were done.
    ticket_by_id : dict
        Latest ticket of each endpoint that may run it.
    asked_ids : set
        Endpoints that the policy service was asked about.
    asking : bool
        Whether a question is under way.
    ask_after_ms : int
        No question before this time.
    waits_for : WaitReason or None
        Why tasks were not placed when it was last tried.
    whole_ms_by_endpoint : dict
        Shortest time that a whole run took, or seems to take, on each
        endpoint that runs were seen on.
    """

    entry: "JobEntry"
    occurrence: int
    number: int
    step: _work.Step
    tasks: list[Task] = attrs.field(factory=list)
    done_count: int = 0
    opened_ms: int | None = None
    ticket_by_id: dict[str, Ticket] = attrs.field(factory=dict)
    queried_ids: set[str] = attrs.field(factory=set)
    query_in_flight: bool = False
    next_query_ms: int = 0
    waits_for: object = None
    min_run_ms_by_endpoint: dict[str, float] = attrs.field(factory=dict)

    @property
    def key(self):
        """Occurrence and number of the step."""
        return (self.occurrence, self.number)

    @property
    def is_done(self):
        """Whether every task has ended as done."""
        return self.done_count == len(self.tasks)

    @property
    def queue(self):
        """The queue that the job was sent to."""
        return self.entry.job.queue

    def startable(self):
        """Returns the tasks that can be started, none of a partial gang."""
        waiting = [task for task in self.tasks if task.is_waiting]
        if self.step.gang and len(waiting) < len(self.tasks):
            return []
        return waiting

    def max_more_on(self, endpoint_id):
        """Returns how many more tasks may run on an endpoint."""
        if not self.step.most_per_endpoint:
            return len(self.tasks)
        return self.step.most_per_endpoint - self.count_on(endpoint_id)

    def count_on(self, endpoint_id):
        """Returns how many runs of the stage may exist on an endpoint."""
        return sum(
            booking.endpoint_id == endpoint_id
            for task in self.tasks
            for booking in task.bookings_by_run.values()
        )


@attrs.define(eq=False)
class JobEntry:
    """A job and its progress.

    Attributes
    ----------
    arrived_ms, on_time_ms, late_ms : int
        When it was learnt of; until when it is on time, and of any use.
    within_share : bool
        Whether its account kept to its share when it was sent.
    version, stored_version : int
        Of the record here, and in the store.
    has_started : bool
        Whether any task was ordered to start, or listed.
    """

    job: _work.Job
    arrived_ms: int
    due_ms: int
    useful_until_ms: int
    within_share: bool = True
    state: _work.JobState = _work.JobState.QUEUED
    stages_by_key: dict = attrs.field(factory=dict)
    version: int = 0
    stored_version: int = 0
    ended_unix_ms: int = 0
    has_started: bool = False

    @property
    def has_speculative(self):
        """Whether tasks of a step may run in copies."""
        return any(step.speculative for step in self.job.steps)

    @property
    def visible_state(self):
        """The state that callers may be told: a final one once stored."""
        if self.state.is_final and self.stored_version < self.version:
            return _work.JobState.RUNNING
        return self.state

    def add_occurrence(self, occurrence):
        """Adds the stages of an occurrence that is due."""
        for number, step in enumerate(self.job.steps):
            stage = Stage(self, occurrence, number, step)
            for index in range(step.count):
                task_id = _work.TaskId(
                    self.job.job_id, occurrence, number, index
                )
                stage.tasks.append(Task(task_id, stage))
            self.stages_by_key[stage.key] = stage

    def task(self, task_id):
        """Returns a task, or None if the job has no such task."""
        stage = self.stages_by_key.get((task_id.occurrence, task_id.step))
        if stage is None or task_id.index >= len(stage.tasks):
            return None
        return stage.tasks[task_id.index]

    def is_open(self, stage):
        """Whether the steps before a stage are done."""
        return all(
            self.stages_by_key[stage.occurrence, number].is_done
            for number in stage.step.after
        )

    @property
    def is_done(self):
        """Whether every occurrence has run and every task is done."""
        due = len(self.job.steps) * self.job.occurrences
        return len(self.stages_by_key) == due and all(
            stage.is_done for stage in self.stages_by_key.values()
        )

    def bookings(self):
        """Yields the runs that may exist."""
        for stage in self.stages_by_key.values():
            for task in stage.tasks:
                yield from task.bookings_by_run.values()

    def to_record(self, address_of):
        """Returns what the store is to keep of the progress.

        Parameters
        ----------
        address_of : callable
            Takes an endpoint id; returns its address.
        """
        stages = tuple(
            record
            for stage in self.stages_by_key.values()
            if (record := _stage_record(stage))
        )
        addresses = {
            booking.endpoint_id: address_of(booking.endpoint_id)
            for booking in self.bookings()
        }
        return _records.JobRecord(
            self.state, stages, self.ended_unix_ms, addresses
        )

    def restore(self, record):
        """Takes over the progress that an earlier owner noted."""
        self.state = record.state
        self.ended_unix_ms = record.ended_unix_ms
        for stage_record in record.stages:
            key = (stage_record.occurrence, stage_record.step)
            if key not in self.stages_by_key:
                self.add_occurrence(stage_record.occurrence)
            _restore_stage(self.stages_by_key[key], stage_record)


def mark_done(task):
    """Notes that a task has ended as done."""
    if not task.is_done:
        task.is_done = True
        task.stage.done_count += 1


def _stage_record(stage):
    if stage.is_done and not any(task.bookings_by_run for task in stage.tasks):
        return _records.StageRecord(
            stage.occurrence, stage.number, all_done=True
        )
    done = tuple(
        index for index, task in enumerate(stage.tasks) if task.is_done
    )
    failures = {
        index: tuple(sorted(task.failed_runs))
        for index, task in enumerate(stage.tasks)
        if task.failed_runs and not task.is_done
    }
    saved = {
        index: task.saved
        for index, task in enumerate(stage.tasks)
        if task.saved and not task.is_done
    }
    placed = tuple(
        (index, booking.run, booking.endpoint_id)
        for index, task in enumerate(stage.tasks)
        for booking in task.bookings_by_run.values()
    )
    last_run = max(task.last_run for task in stage.tasks)
    if not last_run:
        return None
    return _records.StageRecord(
        stage.occurrence,
        stage.number,
        False,
        done,
        failures,
        saved,
        last_run,
        placed,
    )


def _restore_stage(stage, stage_record):
    for index, task in enumerate(stage.tasks):
        if stage_record.all_done or index in stage_record.done:
            mark_done(task)
        task.failed_runs.update(stage_record.failures.get(index, ()))
        task.saved = stage_record.saved.get(index, "")
        task.last_run = stage_record.last_run
