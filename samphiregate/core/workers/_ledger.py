"""Bookings on owned workers, and the effects of their changes."""

from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import quarantine
from samphiregate.core.workers import _messages
from samphiregate.core.workers import _peer
from samphiregate.core.workers import _records

# Ends that are reported to the quarantine policy.
QUARANTINE_PHASES = frozenset(
    {_peer.TaskPhase.SUCCEEDED, _peer.TaskPhase.FAILED}
)


class Ledger:
    """Records bookings; applies each change to tokens, policies and outbox.

    Parameters
    ----------
    tokens : object
        Has `acquire`, `release`, `restore`, `hand_over` and `excess` of a
        team's tokens.
    placement_policy : base.Policy
        Chooses workers for tasks and gangs.
    quarantine_policy : base.Policy
        Decides which workers may be used.
    preemption_policy : base.Policy
        Selects tasks to preempt for urgent orders.
    outbox : Outbox
        Queues updates for the owners of jobs.

    Attributes
    ----------
    workers_by_id : dict of str to WorkerRecord
        Owned workers.
    live_by_task : dict of model.TaskId to Booking
        The only attempt of each task that may run.
    unacknowledged_by_id : dict of AttemptId to Booking
        Attempts that ended and whose end the job's owner has not yet
        acknowledged.
    live_by_team : dict of str to dict
        Live bookings of each team by attempt, oldest first.
    dirty_by_id : dict of str to WorkerRecord
        Workers that may need an exchange immediately.
    """

    def __init__(
        self,
        *,
        tokens,
        placement_policy,
        quarantine_policy,
        preemption_policy,
        outbox,
    ):
        self.tokens = tokens
        self.placement_policy = placement_policy
        self.quarantine_policy = quarantine_policy
        self.preemption_policy = preemption_policy
        self.outbox = outbox
        self.workers_by_id = {}
        self.live_by_task = {}
        self.unacknowledged_by_id = {}
        self.live_by_team = {}
        self.dirty_by_id = {}

    def queue_command(self, record, command):
        """Queues a command for the next exchange with a worker."""
        record.commands.append(command)
        self.dirty_by_id[record.info.worker_id] = record

    def find_booking(self, attempt_id):
        """Returns the booking of an attempt, live or ended, or None."""
        live = self.live_by_task.get(attempt_id.task_id)
        if live is not None and live.attempt_id == attempt_id:
            return live
        return self.unacknowledged_by_id.get(attempt_id)

    def add_booking(self, booking, now_ms):
        """Adds a live booking, whose token is already acquired."""
        record = self.workers_by_id[booking.worker_id]
        task_id = booking.attempt_id.task_id
        record.bookings_by_id[booking.attempt_id] = booking
        record.allocation.set_booking(task_id, booking.resources)
        self.live_by_task[task_id] = booking
        team = self.live_by_team.setdefault(booking.team, {})
        team[booking.attempt_id] = booking
        end_ms = now_ms + booking.run_time_ms if booking.run_time_ms else 0
        placed = placement.TaskPlaced(
            task_id.job_id, booking.worker_id, end_ms
        )
        self.placement_policy.observe(placed, now_ms)
        self.quarantine_policy.observe(
            quarantine.TaskStarting(booking.worker_id, task_id.job_id), now_ms
        )
        self.refresh_room(record, now_ms)

    def adopt(self, record, report, now_ms):
        """Adds a booking for an unknown attempt reported by a worker."""
        booking = _booking_of(report, record.info.worker_id, now_ms)
        if report.state is _messages.WorkerTaskState.RUNNING:
            booking.transition("sent")
            booking.transition("running")
            self.tokens.restore(booking.team, 1)
            self.add_booking(booking, now_ms)
            self.mark_started(booking, now_ms)
        else:
            booking.transition("ended")
            record.bookings_by_id[booking.attempt_id] = booking
        return booking

    def mark_started(self, booking, now_ms):
        """Records that the attempt of a live booking runs."""
        booking.started_ms = now_ms
        running = preemption.TaskRunning(
            booking.attempt_id.task_id,
            booking.team,
            booking.worker_id,
            booking.resources,
            booking.work_class,
            started_ms=now_ms,
            checkpointable=booking.checkpointable,
            urgent=booking.urgent,
        )
        self.preemption_policy.observe(running, now_ms)

    def request_end(self, booking, reason, now_ms, checkpoint=False):
        """Requests the end of a live booking; repeated calls have no effect.

        Parameters
        ----------
        reason : TaskReason
            Reported with the end.
        checkpoint : bool
            Whether to save its progress first, if it is checkpointable.
        """
        if booking.reason is not _peer.TaskReason.NONE:
            return
        booking.reason = reason
        task_id = booking.attempt_id.task_id
        self.preemption_policy.observe(
            preemption.TaskNotPreemptible(task_id), now_ms
        )
        record = self.workers_by_id[booking.worker_id]
        if booking.state == _records.BOOKED:
            self._cancel_unsent_start(record, booking, now_ms)
            return
        saved = checkpoint and booking.checkpointable
        kind = _messages.CheckpointTask if saved else _messages.StopTask
        self.queue_command(record, kind(task_id, booking.attempt_id.attempt))

    def end_booking(self, booking, update, now_ms):
        """Ends a live booking; releases its token and resources."""
        self._remove_booking(booking, now_ms)
        booking.transition("ended")
        self.tokens.release(booking.team, now_ms)
        task_id = booking.attempt_id.task_id
        if update.phase in QUARANTINE_PHASES:
            succeeded = update.phase is _peer.TaskPhase.SUCCEEDED
            ended = quarantine.TaskEnded(
                booking.worker_id, task_id.job_id, succeeded
            )
            self.quarantine_policy.observe(ended, now_ms)
        self.report_end(booking, update)
        self.refresh_room(self.workers_by_id[booking.worker_id], now_ms)

    def report_end(self, booking, update):
        """Reports the end of an attempt.

        The report is sent again until `acknowledge_end` is called.
        """
        booking.end_update = update
        self.unacknowledged_by_id[booking.attempt_id] = booking
        self.outbox.send_update(update)

    def acknowledge_end(self, attempt_id):
        """Forgets an attempt whose end the job's owner has recorded."""
        booking = self.unacknowledged_by_id.pop(attempt_id, None)
        if booking is None:
            return
        record = self.workers_by_id.get(booking.worker_id)
        if record is None:
            return
        record.bookings_by_id.pop(attempt_id, None)
        if booking.on_worker:
            command = _messages.ForgetTask(
                attempt_id.task_id, attempt_id.attempt
            )
            self.queue_command(record, command)

    def drop_worker(self, worker_id, now_ms):
        """Removes a worker that is gone or owned by another entry VM.

        Tokens of attempts that may run there are handed over to the next
        owner.
        """
        record = self.workers_by_id.pop(worker_id)
        self.dirty_by_id.pop(worker_id, None)
        for booking in record.bookings_by_id.values():
            if not booking.is_over:
                self._remove_booking(booking, now_ms)
                self.tokens.hand_over(booking.team, now_ms)
            self.unacknowledged_by_id.pop(booking.attempt_id, None)
        removed = placement.WorkerRemoved(worker_id)
        self.placement_policy.observe(removed, now_ms)
        self.preemption_policy.observe(removed, now_ms)
        return record

    def refresh_room(self, record, now_ms):
        """Updates the free resources of a worker and notifies the policies."""
        worker_id = record.info.worker_id
        usable = (
            record.phase is _records.WorkerPhase.READY
            and not record.info.leaving
            and record.listed
            and self.quarantine_policy.choose(
                quarantine.MayUseWorker(worker_id), now_ms
            )
        )
        record.usable = usable
        if usable:
            record.room = record.allocation.room(now_ms)
            event = placement.WorkerRoomChanged(record.info, record.room)
        else:
            event = placement.WorkerRemoved(worker_id)
        self.placement_policy.observe(event, now_ms)
        self.preemption_policy.observe(event, now_ms)

    def _cancel_unsent_start(self, record, booking, now_ms):
        """Removes a start command that was not sent and ends its booking."""
        attempt_id = booking.attempt_id
        record.commands[:] = [
            command
            for command in record.commands
            if command.task_id != attempt_id.task_id
            or command.attempt != attempt_id.attempt
        ]
        update = _peer.TaskNews(
            attempt_id.task_id,
            attempt_id.attempt,
            _peer.TaskPhase.NOT_STARTED,
            booking.worker_id,
            reason=booking.reason,
        )
        self.end_booking(booking, update, now_ms)

    def _remove_booking(self, booking, now_ms):
        record = self.workers_by_id.get(booking.worker_id)
        task_id = booking.attempt_id.task_id
        if record is not None:
            record.allocation.release(task_id)
            record.used_by_task.pop(task_id, None)
        self.live_by_task.pop(task_id, None)
        team = self.live_by_team.get(booking.team, {})
        team.pop(booking.attempt_id, None)
        if not team:
            self.live_by_team.pop(booking.team, None)
        self.preemption_policy.observe(
            preemption.TaskNotPreemptible(task_id), now_ms
        )
        removed = placement.TaskRemoved(task_id.job_id, booking.worker_id)
        self.placement_policy.observe(removed, now_ms)


def _booking_of(report, worker_id, now_ms):
    return _records.Booking(
        attempt_id=_peer.AttemptId(report.task_id, report.attempt),
        worker_id=worker_id,
        team=report.team,
        work_class=report.work_class,
        resources=report.reserved,
        declared=report.reserved,
        urgent=report.urgent,
        checkpointable=report.checkpointable,
        run_time_ms=report.remaining_ms,
        started_ms=now_ms,
        on_worker=True,
    )


def usable_capacity(records):
    """Returns the total capacity of the usable workers."""
    total = model.Resources()
    for record in records:
        if record.usable:
            total = total + record.info.capacity
    return total
