"""Ends or throttles tasks above a team's limit or a worker's capacity."""

from samphiregate.core import model
from samphiregate.core import sizing
from samphiregate.core.workers import _messages
from samphiregate.core.workers import _peer
from samphiregate.core.workers import _records

NO_RESOURCES = model.Resources()
# Time after which a sample shows the effect of a reduction.
REDUCTION_EFFECT_MS = 2_000


class OveruseControl:
    """Ends tasks above lowered limits and reduces over-use of workers.

    Parameters
    ----------
    ledger : Ledger
        Bookings.
    overuse_policy : base.Policy
        Chooses which tasks are throttled, checkpointed or stopped.
    """

    def __init__(self, *, ledger, overuse_policy):
        self._ledger = ledger
        self._overuse_policy = overuse_policy

    def enforce_limits(self, now_ms):
        """Ends tasks above a lowered limit.

        Checkpointable tasks are ended before others, and newer tasks before
        older ones.
        """
        for team in tuple(self._ledger.live_by_team):
            excess = self._ledger.tokens.excess(team)
            if excess > 0:
                self._end_excess(team, excess, now_ms)

    def reduce_overuse(self, record, now_ms):
        """Reduces the over-use of a worker by the mildest step.

        To be called with each sample. The next step waits for a sample that
        was taken after the last step took effect.
        """
        if record.phase is _records.WorkerPhase.READY:
            self._reduce_overuse(record, now_ms)

    def _end_excess(self, team, excess, now_ms):
        bookings = tuple(self._ledger.live_by_team[team].values())
        ending = sum(
            booking.reason is not _peer.TaskReason.NONE for booking in bookings
        )
        candidates = sorted(
            reversed(bookings), key=lambda booking: not booking.checkpointable
        )
        for booking in candidates:
            if ending >= excess:
                return
            if booking.reason is not _peer.TaskReason.NONE:
                continue
            self._ledger.request_end(
                booking, _peer.TaskReason.OVER_LIMIT, now_ms, checkpoint=True
            )
            ending += 1

    def _reduce_overuse(self, record, now_ms):
        worker_id = record.info.worker_id
        excess = record.allocation.excess()
        if excess == NO_RESOURCES and not record.was_overused:
            return
        record.was_overused = excess != NO_RESOURCES
        self._overuse_policy.observe(
            sizing.WorkerExcess(worker_id, excess), now_ms
        )
        if (
            excess == NO_RESOURCES
            or record.sampled_ms < record.reduction_effective_ms
        ):
            return
        tasks = tuple(self._task_usages(record))
        question = sizing.SelectReclaimAction(worker_id, excess, tasks)
        reduction = self._overuse_policy.choose(question, now_ms)
        if reduction is None:
            return
        record.reduction_effective_ms = now_ms + REDUCTION_EFFECT_MS
        record.next_exchange_ms = now_ms + REDUCTION_EFFECT_MS
        for task_id in reduction.task_ids:
            booking = self._ledger.live_by_task[task_id]
            self._apply_step(record, booking, reduction.step, now_ms)

    def _task_usages(self, record):
        for booking in record.bookings_by_id.values():
            if booking.state != _records.RUNNING:
                continue
            if booking.reason is not _peer.TaskReason.NONE:
                continue
            task_id = booking.attempt_id.task_id
            yield sizing.TaskUsage(
                task_id=task_id,
                work_class=booking.work_class,
                booked=booking.resources,
                used=record.used_by_task.get(task_id, NO_RESOURCES),
                checkpointable=booking.checkpointable,
                urgent=booking.urgent,
                throttled=booking.throttled,
            )

    def _apply_step(self, record, booking, step, now_ms):
        if step is not sizing.ReclaimStep.THROTTLE:
            self._ledger.request_end(
                booking,
                _peer.TaskReason.OVER_USE,
                now_ms,
                checkpoint=step is sizing.ReclaimStep.CHECKPOINT,
            )
            return
        booking.throttled = True
        attempt = booking.attempt_id
        command = _messages.ThrottleTask(
            attempt.task_id, attempt.attempt, booking.resources
        )
        self._ledger.queue_command(record, command)
