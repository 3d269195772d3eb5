"""What callers ask for: jobs, their steps, and the queues they go to."""

import enum

import attrs

DEFAULT_ESTIMATE_MS = 1_000


UNLIMITED_COUNT = 1_000_000  # of a task that needs nothing


@attrs.frozen
class Resources:
    """An amount of each thing that tasks compete for.

    Parameters
    ----------
    cpu_millis : int
        Processor time, in thousandths of a core.
    memory_mb : int
        Memory, in megabytes.
    gpus : int
        Accelerators.
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
        """Whether `room` has this much of everything."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def count_fitting_in(self, available):
        """Returns how many tasks of this size fit in `room`."""
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
        """Returns the largest share of `capacity` that this takes."""
        return max(
            self.cpu_millis / max(capacity.cpu_millis, 1),
            self.memory_mb / max(capacity.memory_mb, 1),
            self.gpus / capacity.gpus if capacity.gpus else 0.0,
        )


ZERO_RESOURCES = Resources()


@attrs.frozen
class PolicyTimings:
    """A queue's policy service decides which endpoints may run a step.

    Parameters
    ----------
    decide_ms, each_ms : float
        How long one question takes, plus this much for each endpoint named.
    valid_ms : int
        How long a ticket can be used.
    """

    decide_ms: float
    each_ms: float
    valid_ms: int


@attrs.frozen
class Queue:
    """Where jobs of one kind are sent.

    Parameters
    ----------
    name : str
    service : str
        The service whose endpoints run the tasks.
    priority : int
        0 goes first.
    max_attempts : int
        Failed runs of one task after which its job has failed.
    stretch : float
        Multiple of the longest chain of work in which a job is on time.
    target_ms : float
        Time on top of the stretched chain.
    advice : Advice or None
    """

    name: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 2.0
    target_ms: float = 1_000.0
    advice: PolicyTimings | None = None


@attrs.frozen
class Step:
    """Tasks of a job that are alike.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Resources
        What one task is given.
    estimate_ms : int
        Rough run time of one task.
    after : tuple of int
        Steps that have to be done first.
    checkpoints : bool
        Whether an ended run leaves a value from which the next resumes.
    gang : bool
        Whether the tasks work only all together.
    same_rack : bool
        Whether a gang slows down when spread over racks.
    required_label : str
        Label that an endpoint must have; empty for none.
    rack : str
        Rack near the data; empty for none.
    most_per_endpoint : int
        Most tasks of the step on one endpoint; 0 for no limit.
    speculative : bool
        Whether copies may run beside each other.
    long_running : bool
        Whether tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    latency_target_ms : float
        Bound of the latency of a task that serves; 0 for none.
    fills : bool
        Whether the tasks take only processor time left by others.
    max_unavailable : int
        Tasks that may be away at a time by our own doing; 0 for no limit.
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
        """What one task takes of an endpoint's capacity."""
        if not self.fills:
            return self.demand
        return attrs.evolve(self.demand, cpu_millis=0)


@attrs.frozen
class Schedule:
    """Times at which a job's steps run again.

    Parameters
    ----------
    first_unix_ms, interval_ms : int
        When the first occurrence is due, and the time between two.
    count : int
        Number of occurrences.
    """

    first_unix_ms: int
    interval_ms: int
    count: int

    def due_unix_ms(self, occurrence):
        """Returns when an occurrence, counted from 0, is due."""
        return self.first_unix_ms + occurrence * self.interval_ms


@attrs.frozen
class Job:
    """An accepted job, as it is kept in the store.

    Parameters
    ----------
    job_id : str
        Chosen by the caller.
    queue : Queue
        As it was when the job was accepted.
    account : str
        Client account; empty on queues that are open to all.
    payload : str
        Opaque text for the tasks.
    steps : tuple of Step
    schedule : Schedule or None
    """

    job_id: str
    queue: Queue
    account: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None

    @property
    def occurrence_count(self):
        """Number of times that the steps run."""
        return self.schedule.count if self.schedule else 1


@attrs.frozen
class Account:
    """A client account's part of the site.

    Parameters
    ----------
    name : str
    weight : float
        Share when everything is full; jobs a second that it is entitled to.
    cap : Resources
        Most that may run at a time; 0 of a thing means no limit on it.
    """

    name: str
    weight: float = 1.0
    cap: Resources = ZERO_RESOURCES


class JobState(enum.Enum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Whether the job never changes its state again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@attrs.frozen(cache_hash=True)
class TaskId:
    """Names one task."""

    job_id: str
    occurrence: int
    step: int
    index: int
