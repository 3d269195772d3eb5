"""Jobs, their steps and tasks, queues, and client accounts."""

import enum

import attrs

DEFAULT_ESTIMATE_MS = 1_000
UNLIMITED_COUNT = 1_000_000  # of tasks that need no resources
URGENT_PRIORITY = 0  # the only one whose tasks may preempt others


@attrs.frozen
class Resources:
    """An amount of each resource that tasks compete for.

    Parameters
    ----------
    cpu_millis : int
        CPU time, in thousandths of a core.
    memory_mb : int
        Memory, in megabytes.
    gpus : int
        Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other):
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def scaled_by(self, n):
        """Returns the amount that `n` tasks of this size need."""
        return Resources(
            self.cpu_millis * n, self.memory_mb * n, self.gpus * n
        )

    def fits_in(self, available):
        """Whether `available` has at least this much of each resource."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def count_fitting_in(self, available):
        """Returns how many tasks of this size fit in `available`."""
        return min(
            (
                max(available_amount, 0) // needed
                for needed, available_amount in (
                    (self.cpu_millis, available.cpu_millis),
                    (self.memory_mb, available.memory_mb),
                    (self.gpus, available.gpus),
                )
                if needed
            ),
            default=UNLIMITED_COUNT,
        )

    def dominant_share(self, capacity):
        """Returns the largest share of `capacity` over all resources."""
        return max(
            self.cpu_millis / max(capacity.cpu_millis, 1),
            self.memory_mb / max(capacity.memory_mb, 1),
            self.gpus / capacity.gpus if capacity.gpus else 0.0,
        )


ZERO_RESOURCES = Resources()


@attrs.frozen
class PolicyTimings:
    """Timings of the policy service that decides where a step may run.

    Parameters
    ----------
    decide_ms, each_ms : float
        Expected time of one query, and the additional time for each endpoint
        that it names.
    valid_ms : int
        How long a ticket is valid.
    """

    decide_ms: float
    each_ms: float
    valid_ms: int


@attrs.frozen
class Queue:
    """A queue to which callers submit jobs of one kind.

    Parameters
    ----------
    name : str
    service : str
        The service whose endpoints run the tasks.
    priority : int
        0 is the highest priority.
    max_attempts : int
        Number of failed runs of one task after which its job has failed.
    stretch : float
        Multiple of the job's critical path within which it is on time.
    target_ms : float
        Time added to the stretched critical path.
    advice : PolicyTimings or None
        None if no policy service restricts the endpoints.
    """

    name: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 2.0
    target_ms: float = 1_000.0
    advice: PolicyTimings | None = None

    @property
    def is_urgent(self):
        """Whether its jobs have the highest priority."""
        return self.priority == URGENT_PRIORITY


@attrs.frozen
class Step:
    """A set of identical tasks of a job.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Resources
        Resources of one task.
    estimate_ms : int
        Rough run time of one task.
    after : tuple of int
        Numbers of the steps that must be done first.
    checkpoints : bool
        Whether an ended run leaves a value from which the next one resumes.
    gang : bool
        Whether the tasks can only run all together.
    same_rack : bool
        Whether a gang slows down when spread over racks.
    required_label : str
        Label that an endpoint must have; empty for none.
    rack : str
        Rack close to the data; empty for none.
    most_per_endpoint : int
        Maximum number of tasks of the step on one endpoint; 0 for no limit.
    speculative : bool
        Whether several copies of a task may run at the same time.
    long_running : bool
        Whether tasks run until the job is cancelled.
    image : str
        Program that the tasks run; tasks of one image behave alike.
    latency_target_ms : float
        Maximum latency of a task that serves requests; 0 for none.
    fills : bool
        Whether the tasks use only CPU time that others leave idle.
    max_unavailable : int
        Maximum number of tasks that the scheduler itself may interrupt at a
        time; 0 for no limit.
    """

    count: int
    demand: Resources
    estimate_ms: int = DEFAULT_ESTIMATE_MS
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    rack: str = ""
    most_per_endpoint: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def booked(self):
        """Resources that one task reserves on an endpoint.

        Tasks that use only idle CPU time reserve none of it.
        """
        if not self.fills:
            return self.demand
        return attrs.evolve(self.demand, cpu_millis=0)


@attrs.frozen
class Schedule:
    """Times at which the steps of a recurring job run.

    Parameters
    ----------
    first_unix_ms, interval_ms : int
        When the first occurrence is due, and the time between two of them.
    count : int
        Number of occurrences.
    """

    first_unix_ms: int
    interval_ms: int
    count: int

    def due_unix_ms(self, occurrence):
        """Returns when an occurrence is due, in Unix milliseconds."""
        return self.first_unix_ms + occurrence * self.interval_ms

    def due_count(self, unix_ms):
        """Returns how many occurrences are due at a time."""
        if unix_ms < self.first_unix_ms:
            return 0
        if not self.interval_ms:
            return self.count
        elapsed_ms = unix_ms - self.first_unix_ms
        return min(self.count, elapsed_ms // self.interval_ms + 1)


@attrs.frozen
class Job:
    """An accepted job, as stored.

    Parameters
    ----------
    job_id : str
        Chosen by the caller.
    queue : Queue
        Its configuration when the job was accepted.
    account : str
        Client account; empty on queues that are open to all.
    payload : str
        Opaque text for the tasks.
    steps : tuple of Step
    schedule : Schedule or None
    accepted_unix_ms : int
        When a VM accepted it, on that VM's clock; 0 if an earlier build did.
    """

    job_id: str
    queue: Queue
    account: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None
    accepted_unix_ms: int = 0

    @property
    def occurrence_count(self):
        """Number of times that the steps run."""
        return self.schedule.count if self.schedule else 1

    @property
    def task_count(self):
        """Number of tasks of all occurrences."""
        per_occurrence = sum(step.count for step in self.steps)
        return per_occurrence * self.occurrence_count


@attrs.frozen
class Account:
    """The share and the limit of a client account.

    Parameters
    ----------
    name : str
    weight : float
        The account's share: jobs per second that are placed before those of
        accounts above their share.
    cap : Resources
        Limit of the resources in use at a time; 0 means that a resource is
        not limited.
    """

    name: str
    weight: float = 1.0
    cap: Resources = ZERO_RESOURCES


class JobState(enum.Enum):
    """State of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Whether the state cannot change any more."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@attrs.frozen(cache_hash=True)
class TaskId:
    """Identifies one task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def position(self):
        """Place in the job: occurrence, step and index."""
        return (self.occurrence, self.step, self.index)
