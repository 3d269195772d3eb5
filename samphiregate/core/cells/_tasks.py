"""State of jobs, their stages and tasks, and the runs of the tasks."""

import enum

import attrs

from samphiregate.core.cells import _crash_history
from samphiregate.core.cells import _run_samples
from samphiregate.core.cells import _work

OVERDUE_FACTOR = 1.3  # of an estimate
OVERDUE_MARGIN_MS = 200


class RunState(enum.Enum):
    """State of one run of a task on an endpoint, as tracked by the owner."""

    PLANNED = "planned"  # not ordered before the job's record is stored
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(eq=False)
class Booking:
    """A run of a task that may exist on an endpoint and has room reserved.

    Attributes
    ----------
    task : Task
    run : int
    endpoint_id : str
    state : RunState
    version : int
        Version of the job's record that first contains the run.
    sent_ms : int
        When the latest order to start was sent; before the first, or if an
        earlier owner sent it, when the room was reserved.
    confirmed_ms : int or None
        When the endpoint last confirmed that the run exists; for an
        inherited run, at first when it was read from the record.
    stop_sent_ms, stop_confirmed_ms : int or None
        When the latest order to stop was sent, and when one was confirmed.
    percent : float
        Progress that the endpoint reports.
    progressed_ms : int
        When `percent` last rose; at first, when the room was reserved.
    expected_ms : float
        Expected run time, as it was known when the room was reserved.
    gang_factor : float
        How many times as long its gang takes for the places of its members.
    start_attempts : int
        Number of start orders sent.
    order_answered_ms : int or None
        When the result of the latest of them came; None before. For an
        inherited run, when it was read from the record.
    address : str
        Where the latest of them was sent.
    incarnation_unix_ms : int
        Start of the incarnation of the endpoint that was the latest known
        when the run was ordered or listed; 0 if none was.
    is_listed : bool
        Whether that incarnation has listed it; otherwise a later one may
        have started it.
    is_inherited : bool
        Whether an earlier owner ordered it, or an endpoint listed it.
    is_resumed : bool
        Whether it was ordered to go on from a checkpoint.
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
    expected_ms: float = 0.0
    gang_factor: float = 1.0
    start_attempts: int = 0
    order_answered_ms: int | None = None
    address: str = ""
    incarnation_unix_ms: int = 0
    is_listed: bool = False
    is_inherited: bool = False
    is_resumed: bool = False

    @property
    def key(self):
        """Task id and run number, which identify the run."""
        return (self.task.task_id, self.run)

    @property
    def step(self):
        """The step that the task belongs to."""
        return self.task.stage.step

    @property
    def survived_ms(self):
        """How long after its order the endpoint last confirmed the run.

        None if no order was confirmed. For an inherited run, counted from
        when it was read from the record.
        """
        if self.confirmed_ms is None:
            return None
        return max(self.confirmed_ms - self.sent_ms, 0)

    @property
    def has_order_in_flight(self):
        """Whether the result of the latest order to start it is not known."""
        return self.order_answered_ms is None

    @property
    def listed_since_ms(self):
        """Time from which a poll must list the run if it exists.

        That is the last confirmation by the endpoint; None before the first,
        as the order to start or stop may still be on its way.
        """
        if self.state is RunState.STOPPING:
            return self.stop_confirmed_ms
        return self.confirmed_ms

    def note_ordered(self, registration, now_ms):
        """Notes an order to start the run at an endpoint as it is known."""
        self.state = RunState.STARTING
        self.is_resumed = bool(self.task.saved)
        self.sent_ms = now_ms
        self.order_answered_ms = None
        self.address = registration.address
        self.incarnation_unix_ms = registration.started_unix_ms
        self.start_attempts += 1

    def was_listed_before(self, started_unix_ms):
        """Whether an incarnation before one with this start has listed it."""
        return self.is_listed and (
            0 < self.incarnation_unix_ms != started_unix_ms
        )

    def note_listed(self, started_unix_ms):
        """Notes that an incarnation of the endpoint lists the run."""
        self.is_listed = True
        self.incarnation_unix_ms = started_unix_ms

    @property
    def will_end(self):
        """Whether it ends by itself or is being stopped."""
        return not self.step.long_running or self.state is RunState.STOPPING

    @property
    def overdue_ms(self):
        """When the end of the run should have been reported at the latest."""
        return overdue_ms(self.sent_ms, self.expected_ms)


def overdue_ms(sent_ms, expected_ms):
    """Returns when the end of a run should have been reported at the latest.

    Parameters
    ----------
    sent_ms : int
        When its start was ordered.
    expected_ms : float
        Expected run time.
    """
    return sent_ms + expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS


@attrs.define(eq=False)
class Task:
    """One task of a stage.

    Attributes
    ----------
    last_run : int
        Highest run number assigned.
    saved : str
        Latest checkpoint; empty for none.
    interrupted_ms : int or None
        When its latest run was lost or ended; None before the first run.
    failed_runs : set of int
        Runs that ended as failed.
    ended_runs : set
        Endpoint id and run number of each end that was applied.
    bookings_by_run : dict
        `Booking` of each run that may exist, keyed by run number.
    crash_history : CrashHistory
    lapsed_by_run : dict
        Endpoint id of each run that was released as its lease had expired,
        while it is not known whether the endpoint's process has ended.
    preempted_count : int
        Number of its runs that were stopped for urgent tasks.
    was_moved : bool
        Whether a run was stopped as it was slow.
    """

    task_id: _work.TaskId
    stage: "Stage"
    is_done: bool = False
    last_run: int = 0
    saved: str = ""
    interrupted_ms: int | None = None
    failed_runs: set[int] = attrs.field(factory=set)
    ended_runs: set = attrs.field(factory=set)
    bookings_by_run: dict[int, Booking] = attrs.field(factory=dict)
    crash_history: _crash_history.CrashHistory = _crash_history.NO_CRASHES
    lapsed_by_run: dict[int, str] = attrs.field(factory=dict)
    preempted_count: int = 0
    was_moved: bool = False

    @property
    def is_waiting(self):
        """Whether the task is not done and no run of it can exist."""
        return not self.is_done and not self.bookings_by_run

    @property
    def is_open(self):
        """Whether the record of the job has to name the task."""
        return bool(self.bookings_by_run) or (
            not self.is_done
            and bool(
                self.failed_runs
                or self.saved
                or self.lapsed_by_run
                or self.preempted_count
                or self.crash_history != _crash_history.NO_CRASHES
            )
        )

    @property
    def needs_run(self):
        """Whether a run of the task is still of use."""
        return not self.is_done and not self.stage.entry.state.is_final


@attrs.define(eq=False)
class Ticket:
    """Permission of the policy service to run a step on an endpoint."""

    text: str
    valid_until_ms: int


@attrs.define(eq=False)
class Stage:
    """One step of one occurrence of a job.

    Attributes
    ----------
    entry : JobEntry
        The job and its progress.
    opened_ms : int or None
        When the steps that it comes after were done; None before.
    ticket_by_id : dict
        Latest `Ticket` of each endpoint that may run the step.
    queried_ids : set
        Endpoints that queries of the policy service have named.
    query_in_flight : bool
    next_query_ms : int
        No query before this time.
    waits_for : WaitReason or None
        Why tasks were not placed at the last attempt.
    failed_ids : set
        Endpoints on which tasks of it failed.
    run_sample : StageSample
        Run times of its tasks.
    next_progress_ms : int
        When run times are next learned from the progress of its runs.
    min_run_ms_by_endpoint : dict
        Shortest time of a complete run on each endpoint, in milliseconds:
        measured, or projected from the progress of a run.
    place_wait : PlaceWait or None
        The wait for a place near its data or in one rack, if one began.
    """

    entry: object
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
    failed_ids: set[str] = attrs.field(factory=set)
    run_sample: _run_samples.StageSample = attrs.field(
        factory=_run_samples.StageSample
    )
    next_progress_ms: int = 0
    min_run_ms_by_endpoint: dict[str, float] = attrs.field(factory=dict)
    place_wait: object = None

    @property
    def waits_for_place(self):
        """Whether tasks wait for a better place by choice."""
        return self.place_wait is not None and not self.place_wait.is_over

    @property
    def key(self):
        """Occurrence and step number, which identify the stage in its job."""
        return (self.occurrence, self.number)

    @property
    def began_ms(self):
        """When the time of its occurrence began to count."""
        entry = self.entry
        return entry.began_ms_by_occurrence.get(
            self.occurrence, entry.accepted_ms
        )

    @property
    def due_ms(self):
        """Until when its occurrence is on time."""
        entry = self.entry
        return entry.due_ms + self.began_ms - entry.accepted_ms

    @property
    def useful_until_ms(self):
        """After which the result of its occurrence is of no more use."""
        entry = self.entry
        return entry.useful_until_ms + self.began_ms - entry.accepted_ms

    @property
    def is_done(self):
        """Whether every task has ended as done."""
        return self.done_count == len(self.tasks)

    @property
    def has_bookings(self):
        """Whether a run of any task may exist."""
        return any(task.bookings_by_run for task in self.tasks)

    @property
    def queue(self):
        """The queue that the job was submitted to."""
        return self.entry.job.queue

    def startable(self):
        """Returns the tasks that can be started: all or none of a gang."""
        waiting = [task for task in self.tasks if task.is_waiting]
        if self.step.gang and len(waiting) < len(self.tasks):
            return []
        return waiting

    def has_failed(self, task):
        """Whether a run of a task failed, or of any member of its gang."""
        counted = self.tasks[0] if self.step.gang else task
        return bool(counted.failed_runs)

    def interrupted(self):
        """Returns the startable long-running tasks that ran before.

        All members of a gang if one of them ran.
        """
        if not self.step.long_running:
            return []
        waiting = self.startable()
        interrupted = [
            task for task in waiting if task.interrupted_ms is not None
        ]
        return waiting if interrupted and self.step.gang else interrupted

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


def mark_done(task):
    """Marks a task as done, once."""
    if not task.is_done:
        task.is_done = True
        task.stage.done_count += 1
