"""Owned shards of jobs, and inquiries that find lost attempts."""

import enum
import itertools

import attrs

from samphiregate.core.jobs import _records
from samphiregate.core.jobs import _replication
from samphiregate.core import model
from samphiregate.core import workers


class ShardPhase(enum.Enum):
    """Recovery phase of a shard at its new owner.

    Calls are accepted from `COPIES_READ` on, and tasks are started when
    `READY`.
    """

    READING_COPIES = "reading-copies"
    COPIES_READ = "copies-read"
    READY = "ready"


@attrs.define
class Inquiry:
    """Request to every entry VM for the attempts of a shard that it has.

    Parameters
    ----------
    number : int
        Increases with each inquiry of a shard.
    started_ms : int
        Attempts ordered from then on are outside this inquiry.
    epochs_by_worker_shard : dict of int to int
        Highest reported epoch by number of the worker shards covered.
    reported : dict of workers.AttemptId to str
        Reported attempts, and the entry VM that reported each.
    requested_ms : int
        When the request was last sent; None before the first time.
    """

    number: int
    started_ms: int
    epochs_by_worker_shard: dict[int, int] = attrs.field(factory=dict)
    reported: dict[workers.AttemptId, str] = attrs.field(factory=dict)
    requested_ms: int | None = None

    def apply_answer(self, message, sender):
        """Applies one `TasksOfShard`."""
        for covered in message.covered:
            previous_epoch = self.epochs_by_worker_shard.get(covered.number, 0)
            epoch = max(previous_epoch, covered.epoch)
            self.epochs_by_worker_shard[covered.number] = epoch
        for update in message.news:
            attempt_id = workers.AttemptId(update.task_id, update.attempt)
            self.reported[attempt_id] = sender


@attrs.define
class JobShard:
    """One owned shard of jobs.

    Parameters
    ----------
    counter : itertools.count
        Numbers attempts and inquiries; shared by all shards of the entry
        VM, so that no number is used twice.
    copies_received_from : set of str
        Entry VMs that have sent their copies.
    inquiry : Inquiry or None
        The inquiry in progress.
    next_audit_ms : int
        When an inquiry is due even if nothing else triggers one.
    """

    shard_id: model.ShardId
    epoch: int
    sender: _replication.ReplicaSender
    jobs_by_id: dict[str, _records.JobRecord]
    counter: itertools.count
    phase: ShardPhase = ShardPhase.READING_COPIES
    copies_requested_ms: int | None = None
    copies_received_from: set[str] = attrs.field(factory=set)
    inquiry: Inquiry | None = None
    next_audit_ms: int = 0

    @property
    def is_ready(self):
        """Whether tasks may be started."""
        return self.phase is ShardPhase.READY

    def next_attempt(self):
        """Returns a number greater than that of every earlier attempt."""
        return workers.attempt_number(self.epoch, next(self.counter))

    def start_inquiry(self, now_ms):
        """Starts an inquiry, which replaces one in progress."""
        self.inquiry = Inquiry(next(self.counter), now_ms)

    def is_inquiry_complete(self, ownership, shard_count):
        """Returns whether the inquiry covers every worker shard."""
        covered = self.inquiry.epochs_by_worker_shard
        for number in range(shard_count):
            shard_id = model.ShardId(self.shard_id.data_centre, number)
            entry = ownership.entry_of(shard_id)
            if entry is None or not entry.owner:
                continue
            if covered.get(number, 0) < entry.epoch:
                return False
        return True

    def unaccounted_tasks(self):
        """Yields jobs and tasks whose latest attempt no entry VM reported."""
        for job in self.jobs_by_id.values():
            if not job.live_count:
                continue
            for task in job.tasks:
                if not task.is_live:
                    continue
                if task.ordered_ms >= self.inquiry.started_ms:
                    continue
                task_id = model.TaskId(job.spec.job_id, task.index)
                attempt_id = workers.AttemptId(task_id, task.attempt)
                if attempt_id not in self.inquiry.reported:
                    yield job, task
