"""Records of jobs and their tasks at the owner."""

import pathlib

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _messages
from samphiregate.core.jobs import _peer
from samphiregate.core import model

TASK_CHART = base.Chart.load(pathlib.Path(__file__).with_name("task.yaml"))
QUEUED = "queued"
STARTING = "starting"
RUNNING = "running"
RECALLING = "recalling"  # stopping with a checkpoint, to be queued again
STOPPING = "stopping"  # stopping after a cancellation
SETTLING = "settling"  # succeeded, but a later attempt is stopping
SUCCEEDED = "succeeded"
FAILED = "failed"
CANCELLED = "cancelled"
LIVE_STATES = frozenset({STARTING, RUNNING, RECALLING, STOPPING, SETTLING})
ENDED_STATES = frozenset({SUCCEEDED, FAILED, CANCELLED})
DECIDED_STATES = ENDED_STATES | {SETTLING}
"""States of a task whose outcome is decided; `SETTLING` has not ended."""
FAILED_WORKERS_MAX = 4


@attrs.define
class TaskRecord:
    """Record of one task.

    Parameters
    ----------
    state : str
        State in `TASK_CHART`.
    attempt : int
        Number of the latest attempt; 0 before the first.
    vm_id : str
        Entry VM that was ordered to run the latest attempt.
    ordered_ms : int
        When that order was sent; 0 before the first, or if an earlier
        owner sent it.
    requested_ms : int
        When that order or an order to stop was last sent, or the task last
        caused an inquiry. For a queued urgent task, earliest time of the
        next attempt to preempt for it.
    running_since_ms : int
        When that attempt was first known to be running; 0 if it is not.
    failures : int
        Number of attempts that failed.
    starts : int
        Number of attempts that ran.
    not_before_ms : int
        Earliest time at which it may be queued again.
    failed_workers : tuple of str
        Workers on which it most recently failed.
    """

    index: int
    remaining_ms: int
    state: str = TASK_CHART.initial
    attempt: int = 0
    vm_id: str = ""
    worker_id: str = ""
    ordered_ms: int = 0
    requested_ms: int = 0
    running_since_ms: int = 0
    failures: int = 0
    starts: int = 0
    not_before_ms: int = 0
    checkpoint: str = ""
    failed_workers: tuple[str, ...] = ()

    @property
    def is_live(self):
        """Whether the latest attempt may be running."""
        return self.state in LIVE_STATES


@attrs.define
class JobRecord:
    """Record of one job.

    Parameters
    ----------
    version : int
        Increases with each change that is replicated.
    changed_indices : set of int
        Indices of tasks whose progress changed since the last replication.
    is_new : bool
        Whether this owner has not replicated the job yet.
    """

    spec: model.JobSpec
    shard_id: model.ShardId
    queued_ms: int = 0
    version: int = 0
    cancelled: bool = False
    ended_ms: int | None = None
    changed_indices: set[int] = attrs.field(factory=set)
    is_new: bool = True
    tasks: list[TaskRecord] = attrs.field(factory=list)
    count_by_state: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        if not self.tasks:
            self.tasks = [
                TaskRecord(index, self.spec.run_time_ms)
                for index in range(self.spec.task_count)
            ]
        self.count_by_state = {}
        for task in self.tasks:
            self._change_count(task.state, 1)

    def step(self, task, event):
        """Applies a chart event; returns whether the state changed."""
        state = TASK_CHART.next_state(task.state, event)
        if state == task.state:
            return False
        self._change_count(task.state, -1)
        self._change_count(state, 1)
        task.state = state
        if state in DECIDED_STATES:
            self.changed_indices.add(task.index)
        return True

    def restore(self, task, state):
        """Sets the state of a task to that in a copy."""
        self._change_count(task.state, -1)
        self._change_count(state, 1)
        task.state = state

    @property
    def has_ended(self):
        """Whether all tasks have ended for good."""
        ended = sum(self.count_by_state.get(one, 0) for one in ENDED_STATES)
        return ended == len(self.tasks)

    @property
    def live_count(self):
        """Number of tasks that may be running."""
        return sum(self.count_by_state.get(one, 0) for one in LIVE_STATES)

    def state(self):
        """Returns the state shown to the submitter."""
        if self.has_ended:
            if self.cancelled:
                return model.JobState.CANCELLED
            if self.count_by_state.get(FAILED):
                return model.JobState.FAILED
            return model.JobState.SUCCEEDED
        started = self.live_count or any(task.starts for task in self.tasks)
        return model.JobState.RUNNING if started else model.JobState.QUEUED

    def view(self):
        """Returns the job as shown to its submitter."""
        counts = {
            _shown_state(state): 0
            for state, count in self.count_by_state.items()
            if count
        }
        for state, count in self.count_by_state.items():
            if count:
                counts[_shown_state(state)] += count
        return _messages.JobView(
            self.spec.job_id,
            self.spec.team,
            self.spec.work_class,
            self.state(),
            self.spec.task_count,
            urgent=self.spec.urgent,
            attempts=sum(task.starts for task in self.tasks),
            task_counts_by_state=counts,
        )

    def copy(self):
        """Returns a full copy for other entry VMs."""
        return _peer.JobCopy(
            self.spec,
            self.version,
            self.cancelled,
            tuple(
                _progress_of(task)
                for task in self.tasks
                if _has_progress(task)
            ),
        )

    def changes_since(self, base_version):
        """Returns the changes since the copy of `base_version`."""
        return _peer.JobMarks(
            self.spec.job_id,
            base_version,
            self.version,
            self.cancelled,
            tuple(
                _progress_of(self.tasks[index])
                for index in sorted(self.changed_indices)
            ),
        )

    def _change_count(self, state, change):
        count = self.count_by_state.get(state, 0) + change
        self.count_by_state[state] = count


def job_from_copy(copy, shard_id, now_ms):
    """Returns a record restored from a copy."""
    job = JobRecord(
        copy.spec,
        shard_id,
        queued_ms=now_ms,
        version=copy.version,
        cancelled=copy.cancelled,
        is_new=False,
    )
    for progress in copy.marks:
        task = job.tasks[progress.index]
        task.failures = progress.failures
        task.starts = progress.starts
        task.checkpoint = progress.checkpoint
        task.remaining_ms = progress.remaining_ms
        if progress.state:
            job.restore(task, progress.state)
    if job.has_ended:
        job.ended_ms = now_ms
    return job


def _shown_state(state):
    return STOPPING if state in (RECALLING, SETTLING) else state


def _has_progress(task):
    return task.state in DECIDED_STATES or task.failures or task.checkpoint


def _final_state(task):
    if task.state == SETTLING:
        return SUCCEEDED
    return task.state if task.state in ENDED_STATES else ""


def _progress_of(task):
    return _peer.TaskMark(
        task.index,
        _final_state(task),
        failures=task.failures,
        starts=task.starts,
        checkpoint=task.checkpoint,
        remaining_ms=task.remaining_ms,
    )
