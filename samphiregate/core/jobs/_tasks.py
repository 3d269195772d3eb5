"""Lifecycle of tasks: updates of attempts, cancellation, retries."""

import attrs

from samphiregate.core.jobs import _dispatch
from samphiregate.core.jobs import _messages
from samphiregate.core.jobs import _records
from samphiregate.core.jobs import _shards
from samphiregate.core import model
from samphiregate.core import quarantine
from samphiregate.core import workers

LIVE_PHASES = frozenset({workers.TaskPhase.BOOKED, workers.TaskPhase.RUNNING})
NO_ROOM_REASONS = frozenset(
    {
        workers.TaskReason.NO_ROOM,
        workers.TaskReason.REFUSED_BY_WORKER,
        workers.TaskReason.LEAVING,
    }
)
STOP_REQUESTED_STATES = frozenset(
    {_records.STOPPING, _records.RECALLING, _records.SETTLING}
)
BACKOFF_DOUBLINGS_MAX = 6


@attrs.frozen
class EndAck:
    """Acknowledgement of an attempt's end, due once the job is replicated.

    Parameters
    ----------
    vm_id : str
        Entry VM that reported the end and may then drop it.
    """

    shard: _shards.JobShard
    vm_id: str
    attempt_id: workers.AttemptId


class TaskLifecycle:
    """Moves tasks through the states of their chart.

    Parameters
    ----------
    dispatcher : Dispatcher
        Queues tasks.
    gangs : GangPlacer
        Places gangs.
    orders : OrderBatcher
        Batches the orders to stop attempts.
    quarantine_policy : base.Policy
        Decides whether a failed task may be retried.
    is_owner : callable
        Returns whether an entry VM owns a worker, given both ids.
    retry_ms : int
        Delay after the first failure of a task; doubles with each failure,
        at most `BACKOFF_DOUBLINGS_MAX` times.
    """

    def __init__(
        self,
        *,
        dispatcher,
        gangs,
        orders,
        quarantine_policy,
        is_owner,
        retry_ms,
    ):
        self._dispatcher = dispatcher
        self._gangs = gangs
        self._orders = orders
        self._quarantine_policy = quarantine_policy
        self._is_owner = is_owner
        self._retry_ms = retry_ms
        self._end_acks = []
        self._timings = []

    def admit(self, shard, job, now_ms):
        """Queues every task of a job that is neither live nor ended."""
        if job.spec.work_class is model.WorkClass.GANG:
            self._queue_gang(shard, job, now_ms)
            return
        for task in job.tasks:
            if task.state == _records.QUEUED:
                self._dispatcher.enqueue(shard, job, task, now_ms)

    def cancel(self, shard, job, now_ms):
        """Cancels every task; orders live attempts to stop."""
        job.cancelled = True
        shard.sender.mark_dirty(job)
        self._cancel_tasks(job, now_ms)

    def apply_update(self, shard, update, sender, now_ms):
        """Applies an update of an attempt."""
        job = shard.jobs_by_id.get(update.task_id.job_id)
        if job is None:
            self._reject_update(shard, update, sender)
            return
        task = job.tasks[update.task_id.index]
        if update.attempt > task.attempt:
            self._adopt(shard, job, task, update, now_ms)
        if update.attempt < task.attempt:
            self._apply_late_success(shard, job, task, update, now_ms)
        if update.attempt != task.attempt or not task.is_live:
            self._reject_update(shard, update, sender)
            return
        if update.reason is workers.TaskReason.LEASE_LAPSED:
            # A former owner may only have lost contact; the attempt may still
            # run under the new owner's lease.
            if not self._is_owner(sender, update.worker_id):
                return
        self._dispatcher.confirm_order(_attempt_id(update))
        task.vm_id = sender
        task.worker_id = update.worker_id
        if update.phase in LIVE_PHASES:
            self._apply_live(job, task, update, now_ms)
        else:
            self._apply_end(shard, job, task, update, sender, now_ms)

    def mark_lost(self, shard, job, task, now_ms):
        """Ends an attempt that no entry VM reported in a complete inquiry.

        Such an attempt cannot be running.
        """
        task_id = model.TaskId(job.spec.job_id, task.index)
        update = workers.TaskNews(
            task_id, task.attempt, workers.TaskPhase.LOST, task.worker_id
        )
        self._dispatcher.confirm_order(_attempt_id(update))
        self._apply_end(shard, job, task, update, "", now_ms)

    def resend_stop(self, job, task, now_ms):
        """Orders a task to stop again."""
        task.requested_ms = now_ms
        self._stop(job, task)

    def stop_if_orphan(self, shard, attempt_id, vm_id):
        """Stops a reported attempt unless it is its task's current one."""
        task_id = attempt_id.task_id
        job = shard.jobs_by_id.get(task_id.job_id)
        if job is not None:
            task = job.tasks[task_id.index]
            if task.is_live and task.attempt == attempt_id.attempt:
                return
        stop = workers.TaskStop(task_id, attempt_id.attempt)
        self._orders.add_stop(vm_id, stop)

    def pop_end_acks(self):
        """Returns and clears the acknowledgements due after replication."""
        end_acks, self._end_acks = self._end_acks, []
        return end_acks

    def pop_timings(self):
        """Returns and clears the waits and run times to report."""
        timings, self._timings = self._timings, []
        return timings

    def _apply_live(self, job, task, update, now_ms):
        self._dispatcher.token_backoff.record_grant(job.spec.team, task.vm_id)
        if update.phase is workers.TaskPhase.RUNNING:
            if job.step(task, "started") or task.starts == 0:
                self._record_start(job, task, now_ms)
                task.starts += 1
        if task.state in STOP_REQUESTED_STATES:
            self.resend_stop(job, task, now_ms)

    def _record_start(self, job, task, started_ms):
        """Records the wait of a task, unless an earlier owner ordered it."""
        if not task.ordered_ms:
            return
        task.running_since_ms = started_ms
        if task.starts:
            return
        spec = job.spec
        wait_ms = max(started_ms - job.queued_ms, 0)
        timing = _messages.TaskStarted(spec.team, spec.work_class, wait_ms)
        self._timings.append(timing)

    def _record_end(self, job, task, update, now_ms):
        """Records the run time, and the start if no update reported it."""
        if (
            update.phase is workers.TaskPhase.SUCCEEDED
            and not task.running_since_ms
        ):
            self._record_start(job, task, task.ordered_ms)
        if not task.running_since_ms:
            return
        spec = job.spec
        run_ms = max(now_ms - task.running_since_ms, 0)
        timing = _messages.TaskFinished(spec.team, spec.work_class, run_ms)
        self._timings.append(timing)
        task.running_since_ms = 0

    def _apply_end(self, shard, job, task, update, sender, now_ms):
        spec = job.spec
        self._record_end(job, task, update, now_ms)
        self._dispatcher.remove_usage(job, task, now_ms)
        if update.reason is workers.TaskReason.NO_TOKEN:
            self._dispatcher.token_backoff.record_refusal(
                spec.team, task.vm_id, now_ms
            )
        elif update.phase is not workers.TaskPhase.NOT_STARTED:
            self._dispatcher.token_backoff.record_grant(spec.team, task.vm_id)
        if update.reason in NO_ROOM_REASONS:
            self._dispatcher.room_estimates.record_declined(
                task.vm_id, spec.resources
            )
        else:
            self._dispatcher.room_estimates.record_end(
                task.vm_id, spec.resources
            )
        if sender:
            self._acknowledge_end(shard, update, sender)
        event = self._apply_outcome(job, task, update, now_ms)
        job.step(task, event)
        task.worker_id = ""
        if job.changed_indices:
            shard.sender.mark_dirty(job)
        self._requeue_or_finish(shard, job, task, update, now_ms)

    def _apply_outcome(self, job, task, update, now_ms):
        """Records an attempt's outcome; returns the chart event for it."""
        is_service = job.spec.work_class is model.WorkClass.SERVICE
        if update.phase is workers.TaskPhase.SUCCEEDED and not is_service:
            self._record_outcome(job, update, True, now_ms)
            return "succeeded"
        if update.phase is workers.TaskPhase.CHECKPOINTED:
            task.checkpoint = update.checkpoint
            task.remaining_ms = update.remaining_ms
            job.changed_indices.add(task.index)
        if update.phase is not workers.TaskPhase.FAILED:
            return "again"
        task.failures += 1
        job.changed_indices.add(task.index)
        self._record_outcome(job, update, False, now_ms)
        if is_service:
            return "again"
        failed = (*task.failed_workers, update.worker_id)
        task.failed_workers = failed[-_records.FAILED_WORKERS_MAX :]
        question = quarantine.MayRetryJob(job.spec.job_id)
        if task.failures >= job.spec.max_attempts:
            return "exhausted"
        if not self._quarantine_policy.choose(question, now_ms):
            return "exhausted"
        return "again"

    def _record_outcome(self, job, update, succeeded, now_ms):
        ended = quarantine.TaskEnded(
            update.worker_id, job.spec.job_id, succeeded
        )
        self._quarantine_policy.observe(ended, now_ms)

    def _requeue_or_finish(self, shard, job, task, update, now_ms):
        if job.spec.work_class is model.WorkClass.GANG:
            self._apply_gang_end(shard, job, task, now_ms)
        elif task.state == _records.QUEUED:
            task.not_before_ms = self._retry_time_ms(task, update, now_ms)
            # A task that has never failed goes to the front.
            self._dispatcher.enqueue(
                shard, job, task, now_ms, at_front=not task.failures
            )
        if job.has_ended and job.ended_ms is None:
            self._finish(shard, job, now_ms)

    def _apply_gang_end(self, shard, job, task, now_ms):
        if task.state == _records.FAILED:
            self._cancel_tasks(job, now_ms)
        elif task.state == _records.QUEUED:
            for other in job.tasks:
                if job.step(other, "recall"):
                    self._stop(job, other)
        if not job.live_count:
            self._queue_gang(shard, job, now_ms)

    def _queue_gang(self, shard, job, now_ms):
        if job.count_by_state.get(_records.QUEUED) and not job.cancelled:
            self._dispatcher.enqueue_gang(shard, job, now_ms, at_front=True)

    def _cancel_tasks(self, job, now_ms):
        job_id = job.spec.job_id
        self._gangs.abort(job_id, now_ms)
        self._dispatcher.withdraw(job_id, _dispatch.GANG_INDEX, now_ms)
        for task in job.tasks:
            was_queued = task.state == _records.QUEUED
            if not job.step(task, "cancel"):
                continue
            if was_queued:
                self._dispatcher.withdraw(job_id, task.index, now_ms)
            else:
                task.requested_ms = now_ms
                self._stop(job, task)
        if job.has_ended and job.ended_ms is None:
            job.ended_ms = now_ms

    def _finish(self, shard, job, now_ms):
        job.ended_ms = now_ms
        shard.sender.mark_dirty(job)
        removed = quarantine.JobRemoved(job.spec.job_id)
        self._quarantine_policy.observe(removed, now_ms)

    def _retry_time_ms(self, task, update, now_ms):
        if update.phase is workers.TaskPhase.SUCCEEDED:
            # Only tasks of services are queued again after a success.
            return now_ms + self._retry_ms
        if update.phase is not workers.TaskPhase.FAILED:
            return 0
        doublings = min(task.failures - 1, BACKOFF_DOUBLINGS_MAX)
        return now_ms + self._retry_ms * 2**doublings

    def _adopt(self, shard, job, task, update, now_ms):
        """Adopts an attempt that an earlier owner ordered."""
        # Attempts of earlier owners have lower epochs.
        if workers.epoch_of(update.attempt) >= shard.epoch:
            return
        if task.state in _records.ENDED_STATES:
            return
        task.attempt = update.attempt
        if task.state == _records.QUEUED:
            self._dispatcher.withdraw(job.spec.job_id, task.index, now_ms)
            job.step(task, "ordered")
            self._dispatcher.add_usage(job, now_ms)
            if job.cancelled:
                job.step(task, "cancel")

    def _apply_late_success(self, shard, job, task, update, now_ms):
        """Applies the success of an attempt that was given up as lost.

        Stops a later attempt that was ordered in the meantime.
        """
        if update.phase is not workers.TaskPhase.SUCCEEDED:
            return
        if job.spec.work_class is model.WorkClass.SERVICE:
            return
        was_queued = task.state == _records.QUEUED
        if not job.step(task, "overtaken"):
            return
        shard.sender.mark_dirty(job)
        if was_queued:
            job_id = job.spec.job_id
            self._dispatcher.withdraw(job_id, task.index, now_ms)
        else:
            self.resend_stop(job, task, now_ms)
        if job.has_ended and job.ended_ms is None:
            self._finish(shard, job, now_ms)

    def _reject_update(self, shard, update, sender):
        """Answers an update of an attempt that is not the current one.

        Stops a live attempt, and acknowledges the end of any other.
        """
        if shard.phase is not _shards.ShardPhase.READY:
            return
        if update.phase not in LIVE_PHASES:
            self._acknowledge_end(shard, update, sender)
            return
        stop = workers.TaskStop(update.task_id, update.attempt)
        self._orders.add_stop(sender, stop)

    def _acknowledge_end(self, shard, update, sender):
        self._end_acks.append(EndAck(shard, sender, _attempt_id(update)))

    def _stop(self, job, task):
        task_id = model.TaskId(job.spec.job_id, task.index)
        stop = workers.TaskStop(
            task_id,
            task.attempt,
            checkpoint=task.state == _records.RECALLING,
        )
        self._orders.add_stop(task.vm_id, stop)


def _attempt_id(update):
    return workers.AttemptId(update.task_id, update.attempt)
