"""Builds exchanges with workers and applies their outcomes."""

from samphiregate.core import model
from samphiregate.core.workers import _messages
from samphiregate.core.workers import _peer
from samphiregate.core.workers import _records

PHASES_BY_STATE = {
    _messages.WorkerTaskState.RUNNING: _peer.TaskPhase.RUNNING,
    _messages.WorkerTaskState.SUCCEEDED: _peer.TaskPhase.SUCCEEDED,
    _messages.WorkerTaskState.FAILED: _peer.TaskPhase.FAILED,
    _messages.WorkerTaskState.STOPPED: _peer.TaskPhase.STOPPED,
    _messages.WorkerTaskState.CHECKPOINTED: _peer.TaskPhase.CHECKPOINTED,
    _messages.WorkerTaskState.LAPSED: _peer.TaskPhase.LOST,
    _messages.WorkerTaskState.REFUSED: _peer.TaskPhase.NOT_STARTED,
}
REFUSED_RETRY_MS = 100
UNREACHABLE_RETRY_MS = 1_000
# Delay of an exchange after the expected end of a task, and the shortest delay
# that `_next_due_ms` returns.
END_GRACE_MS = 100
# Id under which the use of tasks that ended since a sample is recorded.
ENDED_SINCE_SAMPLE = model.TaskId("", 0)


class Exchanges:
    """Keeps at most one exchange in flight with each worker.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    ledger : Ledger
        Records what workers report.
    renew_ms : int
        Longest time between two exchanges.
    lease_ms : int
        How long tasks may run without a further exchange.
    margin_ms : int
        Added to a lease before it is considered expired, to allow for drift
        between the two clocks.

    Notes
    -----
    The end of a lease is a time on the worker's own clock, computed from the
    last reading of that clock. The reading was taken before it arrived here,
    so the lease ends no later than `lease_ms` after the exchange was sent.
    This also holds if the exchange reaches a paused worker much later: the
    worker refuses it after that time.
    """

    def __init__(self, *, vm_id, ledger, renew_ms, lease_ms, margin_ms):
        self._vm_id = vm_id
        self._ledger = ledger
        self._renew_ms = renew_ms
        self._lease_ms = lease_ms
        self._margin_ms = margin_ms

    def next_exchange(self, record, now_ms):
        """Returns the exchange that is due with a worker, or None."""
        if record.in_flight is not None:
            return None
        if record.phase is _records.WorkerPhase.FENCED:
            return None
        ready = record.phase is _records.WorkerPhase.READY
        if not (ready and record.commands):
            if now_ms < record.next_exchange_ms:
                return None
        exchange = self._build_exchange(record, ready, now_ms)
        record.in_flight = exchange
        record.next_exchange_ms = now_ms + self._renew_ms
        return exchange

    def lease_expiry_ms(self, record):
        """Returns when all leases granted by this VM have expired.

        None if no lease granted by this VM can be in force.
        """
        if record.renewed_ms is None:
            return None
        return record.renewed_ms + self._lease_ms + self._margin_ms

    def on_answer(self, record, report, now_ms):
        """Applies the answer to the exchange in flight."""
        exchange, record.in_flight = record.in_flight, None
        restarted = record.incarnation not in ("", report.incarnation)
        if report.epoch > record.epoch:
            self._on_fenced(record, exchange, now_ms)
            return
        if restarted:
            self._on_restart(record, exchange, now_ms)
        elif not report.accepted:
            self._requeue_commands(record, exchange)
            record.phase = _records.WorkerPhase.INVENTORY
            record.next_exchange_ms = now_ms + REFUSED_RETRY_MS
        record.clock_ms = report.clock_ms
        record.clock_read_ms = now_ms
        if report.accepted:
            self._apply_report(record, report, now_ms)
        self._ledger.refresh_room(record, now_ms)

    def on_unreachable(self, record, outcome, now_ms):
        """Handles an exchange in flight that got no answer.

        The leases are not renewed until the worker has answered an
        inventory request, so that they are certain to expire.
        """
        exchange, record.in_flight = record.in_flight, None
        record.phase = _records.WorkerPhase.INVENTORY
        record.next_exchange_ms = now_ms + UNREACHABLE_RETRY_MS
        if outcome is model.AttemptOutcome.UNKNOWN:
            record.commands[:0] = _without_starts(exchange.commands)
        else:
            self._requeue_commands(record, exchange)
        self._end_unsent_bookings(record, _peer.TaskReason.NO_ROOM, now_ms)
        self._ledger.refresh_room(record, now_ms)

    def end_expired(self, record, now_ms):
        """Ends all attempts on a worker.

        The caller has checked that its leases have expired.
        """
        for booking in _live_bookings(record):
            booking.reason = _peer.TaskReason.LEASE_LAPSED
            self._end_booking(booking, _peer.TaskPhase.LOST, now_ms)
        record.commands.clear()
        record.renewed_ms = None
        record.inventory_complete = True

    def _build_exchange(self, record, ready, now_ms):
        record.sequence += 1
        if not ready:
            return self._build_inventory_request(record)
        commands = tuple(record.commands)
        record.commands.clear()
        for command in commands:
            if isinstance(command, _messages.StartTask):
                self._find_booking(record, command).transition("sent")
        record.renewed_ms = now_ms
        elapsed_ms = now_ms - record.clock_read_ms
        lease_until_ms = record.clock_ms + elapsed_ms + self._lease_ms
        return _messages.ExchangeWithWorker(
            worker_id=record.info.worker_id,
            endpoint=record.info.endpoint,
            owner=self._vm_id,
            epoch=record.epoch,
            sequence=record.sequence,
            incarnation=record.incarnation,
            lease_until_ms=lease_until_ms,
            commands=commands,
        )

    def _build_inventory_request(self, record):
        return _messages.ExchangeWithWorker(
            worker_id=record.info.worker_id,
            endpoint=record.info.endpoint,
            owner=self._vm_id,
            epoch=record.epoch,
            sequence=record.sequence,
            incarnation="",
            lease_until_ms=0,
            full=True,
        )

    def _apply_report(self, record, report, now_ms):
        if report.full:
            self._end_absent(record, report, now_ms)
        for task in report.tasks:
            self._apply_task_report(record, task, now_ms)
        self._apply_sample(record, report, now_ms)
        if record.phase is _records.WorkerPhase.INVENTORY:
            record.incarnation = report.incarnation
            record.phase = _records.WorkerPhase.READY
            record.inventory_complete = True
            record.next_exchange_ms = now_ms
        else:
            record.next_exchange_ms = self._next_due_ms(record, now_ms)

    def _apply_task_report(self, record, task, now_ms):
        attempt_id = _peer.AttemptId(task.task_id, task.attempt)
        booking = record.bookings_by_id.get(attempt_id)
        if booking is None:
            booking = self._ledger.adopt(record, task, now_ms)
            if booking.is_over:
                self._ledger.report_end(booking, _task_update(booking, task))
            else:
                self._ledger.outbox.send_update(_task_update(booking, task))
            return
        booking.on_worker = True
        if booking.is_over:
            return
        if task.state is _messages.WorkerTaskState.RUNNING:
            if booking.transition("running"):
                self._ledger.mark_started(booking, now_ms)
                self._ledger.outbox.send_update(_task_update(booking, task))
            return
        if task.state is _messages.WorkerTaskState.REFUSED:
            record.allocation.record_refused_start(booking.resources, now_ms)
        self._ledger.end_booking(booking, _task_update(booking, task), now_ms)

    def _apply_sample(self, record, report, now_ms):
        if report.used_total is not None:
            record.used_total = report.used_total
            record.used_ours = report.used_ours
        for task in report.tasks:
            if task.state is _messages.WorkerTaskState.RUNNING:
                record.used_by_task[task.task_id] = task.used
            else:
                record.used_by_task.pop(task.task_id, None)
        record.sampled_ms = now_ms - report.age_ms
        used_by_task = dict(record.used_by_task)
        attributed = sum(used_by_task.values(), start=model.Resources())
        used_by_task[ENDED_SINCE_SAMPLE] = record.used_ours - attributed
        record.allocation.release(ENDED_SINCE_SAMPLE)
        record.allocation.observe_report(
            record.used_total, used_by_task, record.sampled_ms, now_ms
        )

    def _next_due_ms(self, record, now_ms):
        """Returns when the next exchange is due.

        It is due earlier if a task is expected to end earlier.
        """
        due_ms = now_ms + self._renew_ms
        for booking in _live_bookings(record):
            if booking.state == _records.RUNNING and booking.run_time_ms:
                end_ms = booking.started_ms + booking.run_time_ms
                if end_ms >= now_ms:
                    due_ms = min(due_ms, end_ms + END_GRACE_MS)
        return max(due_ms, now_ms + END_GRACE_MS)

    def _end_absent(self, record, report, now_ms):
        listed = {
            _peer.AttemptId(task.task_id, task.attempt)
            for task in report.tasks
        }
        for booking in _live_bookings(record):
            if booking.attempt_id in listed:
                continue
            if booking.state == _records.SENT:
                self._end_booking(booking, _peer.TaskPhase.NOT_STARTED, now_ms)
            elif booking.state == _records.RUNNING:
                self._end_booking(booking, _peer.TaskPhase.LOST, now_ms)

    def _on_restart(self, record, exchange, now_ms):
        self._requeue_commands(record, exchange)
        for booking in _live_bookings(record):
            if booking.state != _records.BOOKED:
                self._end_booking(booking, _peer.TaskPhase.LOST, now_ms)
        for booking in record.bookings_by_id.values():
            booking.on_worker = False
        record.used_by_task.clear()
        record.incarnation = ""
        record.phase = _records.WorkerPhase.INVENTORY
        record.next_exchange_ms = now_ms
        self._end_unsent_bookings(record, _peer.TaskReason.NO_ROOM, now_ms)

    def _on_fenced(self, record, exchange, now_ms):
        self._requeue_commands(record, exchange)
        record.phase = _records.WorkerPhase.FENCED
        self._end_unsent_bookings(record, _peer.TaskReason.LEAVING, now_ms)
        self._ledger.refresh_room(record, now_ms)

    def _requeue_commands(self, record, exchange):
        """Queues the commands of an exchange again.

        The exchange is known to have had no effect on the worker.
        """
        for command in exchange.commands:
            if isinstance(command, _messages.StartTask):
                booking = self._find_booking(record, command)
                if booking is not None:
                    booking.transition("never_sent")
        record.commands[:0] = exchange.commands

    def _end_unsent_bookings(self, record, reason, now_ms):
        record.commands[:] = _without_starts(record.commands)
        for booking in _live_bookings(record):
            if booking.state == _records.BOOKED:
                booking.reason = reason
                self._end_booking(booking, _peer.TaskPhase.NOT_STARTED, now_ms)

    def _end_booking(self, booking, phase, now_ms):
        update = _peer.TaskNews(
            booking.attempt_id.task_id,
            booking.attempt_id.attempt,
            phase,
            booking.worker_id,
            reason=booking.reason,
        )
        self._ledger.end_booking(booking, update, now_ms)

    def _find_booking(self, record, command):
        attempt_id = _peer.AttemptId(command.task_id, command.attempt)
        return record.bookings_by_id.get(attempt_id)


def _live_bookings(record):
    return [
        booking
        for booking in record.bookings_by_id.values()
        if not booking.is_over
    ]


def _without_starts(commands):
    return [
        command
        for command in commands
        if not isinstance(command, _messages.StartTask)
    ]


def _task_update(booking, task):
    reason = booking.reason
    if task.state is _messages.WorkerTaskState.REFUSED:
        if reason is _peer.TaskReason.NONE:
            reason = _peer.TaskReason.REFUSED_BY_WORKER
    return _peer.TaskNews(
        task.task_id,
        task.attempt,
        PHASES_BY_STATE[task.state],
        booking.worker_id,
        reason=reason,
        checkpoint=task.checkpoint,
        remaining_ms=task.remaining_ms,
    )
