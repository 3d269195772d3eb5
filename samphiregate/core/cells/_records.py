"""Records of job progress in the store, and their encoding."""

import attrs
import cattrs
from cattrs.preconf import orjson as cattrs_orjson

from samphiregate.core.cells import _crash_history
from samphiregate.core.cells import _work
from samphiregate import errors

_converter = cattrs_orjson.make_converter(
    omit_if_default=True, detailed_validation=False
)


@attrs.frozen
class StageRecord:
    """Progress of one step of one occurrence of a job.

    Parameters
    ----------
    occurrence, step : int
    all_done : bool
        Whether every task is done; `done` is then empty.
    done : tuple of int
        Indices of the tasks that are done.
    failures : dict
        Run numbers of the failed runs of each task, keyed by task index.
    saved : dict
        Latest checkpoint, keyed by task index.
    last_run : int
        Highest run number assigned to any of the tasks.
    placed : tuple
        Task index, run number and endpoint id of each run that may exist.
    crashes : dict
        `CrashHistory` of tasks under which endpoints crashed, keyed by task
        index; earlier builds write none.
    lapsed : tuple
        As `placed`, for runs that were released as their lease had expired;
        earlier builds write none.
    preempted : dict
        Number of runs of each task that were stopped for urgent tasks, keyed
        by task index; earlier builds write none.
    done_ranges : tuple
        In place of `done` in a compact record: first index and length of each
        range.
    runs_by_endpoint : dict
        In place of `placed` in a compact record: task index and run number of
        each run, by endpoint id.
    """

    occurrence: int
    step: int
    all_done: bool = False
    done: tuple[int, ...] = ()
    failures: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    saved: dict[int, str] = attrs.field(factory=dict)
    last_run: int = 0
    placed: tuple[tuple[int, int, str], ...] = ()
    crashes: dict[int, _crash_history.CrashHistory] = attrs.field(factory=dict)
    lapsed: tuple[tuple[int, int, str], ...] = ()
    preempted: dict[int, int] = attrs.field(factory=dict)
    done_ranges: tuple[tuple[int, int], ...] = ()
    runs_by_endpoint: dict[str, tuple[tuple[int, int], ...]] = attrs.field(
        factory=dict
    )

    def fitting(self, step):
        """Returns the record without runs of tasks that a step lacks."""
        return attrs.evolve(
            self,
            placed=tuple(row for row in self.placed if row[0] < step.count),
            lapsed=tuple(row for row in self.lapsed if row[0] < step.count),
        )


@attrs.frozen
class JobRecord:
    """Progress of a job.

    Parameters
    ----------
    state : JobState
    stages : tuple of StageRecord
        Stages with at least one run assigned so far.
    ended_unix_ms : int
        When a final state was reached; 0 before.
    address_by_id : dict
        Addresses of the endpoints on which runs may exist, by endpoint id.
    started_unix_ms_by_id : dict
        When the incarnation of each began on which the runs were placed;
        earlier builds write none.
    done_steps : tuple
        In place of stages that are all done in a compact record: occurrence,
        first step and number of steps of each range.
    ended_occurrences : tuple
        In place of stages of occurrences that have ended in a compact record:
        first occurrence and number of occurrences of each range.
    """

    state: _work.JobState
    stages: tuple[StageRecord, ...] = ()
    ended_unix_ms: int = 0
    address_by_id: dict[str, str] = attrs.field(factory=dict)
    started_unix_ms_by_id: dict[str, int] = attrs.field(factory=dict)
    done_steps: tuple[tuple[int, int, int], ...] = ()
    ended_occurrences: tuple[tuple[int, int], ...] = ()

    def fitting(self, job):
        """Returns the record without what the job lacks.

        Such a record would end the process of each owner that reads it.
        """
        stages = tuple(
            row.fitting(job.steps[row.step])
            for row in self.stages
            if 0 <= row.step < len(job.steps)
            and 0 <= row.occurrence < job.occurrence_count
        )
        ended = tuple(
            (first, min(count, job.occurrence_count - first))
            for first, count in self.ended_occurrences
            if 0 <= first < job.occurrence_count
        )
        return attrs.evolve(self, stages=stages, ended_occurrences=ended)


@attrs.frozen
class StoredRow:
    """What is written to the store after a change of a job.

    Parameters
    ----------
    job_id : str
    version : int
        Version of the job's record.
    record : bytes
        Encoded `JobRecord`.
    job : bytes or None
        Encoded `Job` that replaces the stored one; None to keep that.
    """

    job_id: str
    version: int
    record: bytes
    job: bytes | None = None

    @property
    def item_count(self):
        """Number of items to write."""
        return 1 if self.job is None else 2

    @property
    def size_bytes(self):
        """Size of the values to write."""
        return len(self.record) + len(self.job or b"")


def encode(value):
    """Encodes a job or a record as JSON bytes."""
    return _converter.dumps(value)


def decode(data, cls):
    """Decodes JSON bytes to an instance of `cls`.

    Raises
    ------
    BadInputError
        If the data do not hold a valid instance.
    """
    try:
        return _converter.loads(data, cls)
    except (
        cattrs.BaseValidationError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        detail = f"cannot decode {cls.__name__}: {error!r}"
        raise errors.BadInputError(detail) from error
