"""Executes the orders of job owners: run and stop attempts."""

import attrs

from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import sizing
from samphiregate.core.workers import _messages
from samphiregate.core.workers import _peer
from samphiregate.core.workers import _records


@attrs.frozen
class WaitingOrder:
    """An urgent order that waits for preempted tasks to end."""

    order: _peer.TaskOrder
    sender: str
    until_ms: int


class OrderHandler:
    """Books ordered attempts on workers, or declines them.

    Parameters
    ----------
    ledger : Ledger
        Bookings.
    holds : GangHolds
        Gang reservations.
    sizing_policy : base.Policy
        Chooses how much to book for a task.
    urgent_wait_ms : int
        How long an urgent order waits for preempted tasks to end.

    Attributes
    ----------
    leaving : bool
        Whether this entry VM is leaving; new orders are then declined.
    """

    def __init__(self, *, ledger, holds, sizing_policy, urgent_wait_ms):
        self._ledger = ledger
        self._holds = holds
        self._sizing_policy = sizing_policy
        self._urgent_wait_ms = urgent_wait_ms
        self._sequence_by_sender = {}
        self._waiting_by_task = {}
        self.leaving = False

    def advance_sequence(self, sender, sequence):
        """Stores the sequence of a message from a sender.

        Returns whether it is above the last one. A lower or equal one is not
        stored.
        """
        if sequence <= self._sequence_by_sender.get(sender, 0):
            return False
        self._sequence_by_sender[sender] = sequence
        return True

    def run(self, order, sender, now_ms):
        """Books an attempt, or sends the sender the reason why not."""
        reason = self._rejection_reason(order, sender)
        if reason is not None:
            self._decline(order, sender, reason)
            return
        attempt_id = _peer.AttemptId(order.task_id, order.attempt)
        existing = self._ledger.find_booking(attempt_id)
        if existing is not None:
            self._resend_update(existing, sender)
        elif attempt_id.task_id in self._ledger.live_by_task:
            self._decline(order, sender, _peer.TaskReason.DUPLICATE)
        elif attempt_id.task_id not in self._waiting_by_task:
            self._place(order, sender, now_ms)

    def stop(self, stop, sender, now_ms):
        """Requests the end of an attempt.

        An unknown attempt is not answered: it may have moved to another
        owner together with its worker.
        """
        attempt_id = _peer.AttemptId(stop.task_id, stop.attempt)
        waiting = self._waiting_by_task.get(stop.task_id)
        if waiting is not None and waiting.order.attempt == stop.attempt:
            del self._waiting_by_task[stop.task_id]
            self._decline(waiting.order, sender, _peer.TaskReason.CANCELLED)
        booking = self._ledger.find_booking(attempt_id)
        if booking is None:
            return
        if booking.is_over:
            self._ledger.outbox.send_update_to(sender, booking.end_update)
        else:
            self._ledger.request_end(
                booking,
                _peer.TaskReason.CANCELLED,
                now_ms,
                checkpoint=stop.checkpoint,
            )

    def retry_waiting(self, now_ms):
        """Places waiting orders that fit now; declines expired ones."""
        for waiting in tuple(self._waiting_by_task.values()):
            task_id = waiting.order.task_id
            if self._try_place(waiting.order, now_ms) is None:
                del self._waiting_by_task[task_id]
            elif now_ms >= waiting.until_ms:
                del self._waiting_by_task[task_id]
                self._decline(
                    waiting.order, waiting.sender, _peer.TaskReason.NO_ROOM
                )

    def decline_waiting(self):
        """Declines all waiting orders because this entry VM is leaving."""
        for waiting in self._waiting_by_task.values():
            self._decline(
                waiting.order, waiting.sender, _peer.TaskReason.LEAVING
            )
        self._waiting_by_task = {}

    def waiting_updates(self, shard):
        """Returns updates about the waiting orders of a job shard."""
        return [
            _peer.TaskNews(
                task_id, waiting.order.attempt, _peer.TaskPhase.BOOKED
            )
            for task_id, waiting in self._waiting_by_task.items()
            if self._ledger.outbox.shard_of(task_id.job_id) == shard
        ]

    def drop_stale(self, shard, epoch):
        """Drops waiting orders of a job shard with an epoch below `epoch`."""
        for task_id, waiting in tuple(self._waiting_by_task.items()):
            if self._ledger.outbox.shard_of(task_id.job_id) != shard:
                continue
            if _peer.epoch_of(waiting.order.attempt) < epoch:
                del self._waiting_by_task[task_id]

    def _rejection_reason(self, order, sender):
        if self.leaving:
            return _peer.TaskReason.LEAVING
        shard = self._ledger.outbox.shard_of(order.task_id.job_id)
        epoch = _peer.epoch_of(order.attempt)
        if not self._ledger.outbox.admit(shard, epoch, sender):
            return _peer.TaskReason.STALE_EPOCH
        return None

    def _place(self, order, sender, now_ms):
        reason = self._try_place(order, now_ms)
        if reason is None:
            return
        if reason is _peer.TaskReason.NO_ROOM and order.urgent:
            if self._preempt(order, now_ms):
                self._waiting_by_task[order.task_id] = WaitingOrder(
                    order, sender, now_ms + self._urgent_wait_ms
                )
                return
        self._decline(order, sender, reason)

    def _try_place(self, order, now_ms):
        """Books the order; returns None, or the reason if it failed."""
        if order.reservation:
            return self._place_reserved(order, now_ms)
        if not self._ledger.tokens.acquire(order.team, now_ms):
            return _peer.TaskReason.NO_TOKEN
        amount = self._booking_size(order, now_ms)
        worker_id = self._choose_worker(order, amount, now_ms)
        if worker_id is None:
            self._ledger.tokens.release(order.team, now_ms)
            return _peer.TaskReason.NO_ROOM
        self._add_booking(order, worker_id, amount, now_ms)
        return None

    def _place_reserved(self, order, now_ms):
        worker_id = self._holds.pop_place(order.reservation, now_ms)
        if worker_id is None:
            return _peer.TaskReason.NO_ROOM
        self._add_booking(order, worker_id, order.resources, now_ms)
        return None

    def _booking_size(self, order, now_ms):
        question = sizing.ComputeBooking(
            order.team, order.work_class, order.resources
        )
        return self._sizing_policy.choose(question, now_ms)

    def _choose_worker(self, order, amount, now_ms):
        excluded = frozenset(order.avoided_workers)
        if order.avoided_racks:
            excluded |= self._workers_in_racks(order.avoided_racks)
        worker_id = self._query_placement(order, amount, excluded, now_ms)
        if worker_id is None and excluded:
            worker_id = self._query_placement(
                order, amount, frozenset(), now_ms
            )
        return worker_id

    def _query_placement(self, order, amount, excluded, now_ms):
        question = placement.PlaceTask(
            order.task_id.job_id,
            order.work_class,
            amount,
            excluded_workers=excluded,
            run_time_ms=order.run_time_ms,
        )
        return self._ledger.placement_policy.choose(question, now_ms)

    def _workers_in_racks(self, racks):
        return frozenset(
            worker_id
            for worker_id, record in self._ledger.workers_by_id.items()
            if record.info.rack in racks
        )

    def _add_booking(self, order, worker_id, amount, now_ms):
        booking = _records.Booking(
            attempt_id=_peer.AttemptId(order.task_id, order.attempt),
            worker_id=worker_id,
            team=order.team,
            work_class=order.work_class,
            resources=amount,
            declared=order.resources,
            urgent=order.urgent,
            checkpointable=order.checkpointable,
            run_time_ms=order.run_time_ms,
            started_ms=now_ms,
        )
        self._ledger.add_booking(booking, now_ms)
        record = self._ledger.workers_by_id[worker_id]
        self._ledger.queue_command(record, _start_command(order, amount))
        self._ledger.outbox.send_update(self._booking_update(booking))

    def _preempt(self, order, now_ms):
        question = preemption.SelectVictims(order.team, order.resources)
        victims = self._ledger.preemption_policy.choose(question, now_ms)
        if victims is None:
            return False
        for task_id in victims.task_ids:
            booking = self._ledger.live_by_task.get(task_id)
            if booking is not None:
                self._ledger.request_end(
                    booking,
                    _peer.TaskReason.PREEMPTED,
                    now_ms,
                    checkpoint=True,
                )
        return True

    def _booking_update(self, booking):
        attempt_id = booking.attempt_id
        phase = _peer.TaskPhase.BOOKED
        if booking.state == _records.RUNNING:
            phase = _peer.TaskPhase.RUNNING
        rack = self._ledger.workers_by_id[booking.worker_id].info.rack
        return _peer.TaskNews(
            attempt_id.task_id,
            attempt_id.attempt,
            phase,
            booking.worker_id,
            rack=rack,
        )

    def update_of(self, booking):
        """Returns the current update about a live or ended booking."""
        return booking.end_update or self._booking_update(booking)

    def _resend_update(self, booking, sender):
        self._ledger.outbox.send_update_to(sender, self.update_of(booking))

    def _decline(self, order, sender, reason):
        update = _peer.TaskNews(
            order.task_id,
            order.attempt,
            _peer.TaskPhase.NOT_STARTED,
            reason=reason,
        )
        self._ledger.outbox.send_update_to(sender, update)


def _start_command(order, amount):
    return _messages.StartTask(
        order.task_id,
        order.attempt,
        team=order.team,
        work_class=order.work_class,
        resources=amount,
        urgent=order.urgent,
        checkpointable=order.checkpointable,
        run_time_ms=order.run_time_ms,
        command=order.command,
        checkpoint=order.checkpoint,
    )
