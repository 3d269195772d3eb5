"""State machine that owns workers."""

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import sizing
from samphiregate.core.workers import _exchange
from samphiregate.core.workers import _gangs
from samphiregate.core.workers import _lease_expiry
from samphiregate.core.workers import _ledger
from samphiregate.core.workers import _messages
from samphiregate.core.workers import _orders
from samphiregate.core.workers import _outbox
from samphiregate.core.workers import _overuse
from samphiregate.core.workers import _peer
from samphiregate.core.workers import _records
from samphiregate.core.workers import _summary
from samphiregate import parameters

# Interval at which all workers, not only dirty ones, are checked.
SCAN_INTERVAL_MS = 200
SUMMARY_RESEND_MS = 5_000


class WorkerOwner(base.StateMachine, parameters.Parameterised):
    """Books, starts and ends tasks on the owned workers and renews leases.

    Parameters
    ----------
    vm_id, data_centre : str
        This entry VM and its data centre.
    ownership : object
        Has `entry_of(shard)`.
    membership : object
        Has `alive_ids(data_centre)`.
    tokens : object
        Has `acquire`, `release`, `restore`, `hand_over` and `excess`.
    placement_policy : base.Policy
        Chooses workers for tasks and gangs.
    sizing_policy : base.Policy
        Chooses how much to book for a task.
    quarantine_policy : base.Policy
        Decides which workers may be used.
    preemption_policy : base.Policy
        Selects tasks to preempt for urgent orders.
    overuse_policy : base.Policy
        Chooses how over-use of a worker is reduced.
    random_state : random.Random
        Spreads the first exchanges after a takeover over time.
    shard_count : int
        Number of shards of each data centre.
    renew_ms : int
        Longest time between two exchanges with a worker.
    lease_ms : int
        How long tasks keep running without an exchange.
    margin_ms : int
        Added to a lease before it is considered expired.
    urgent_wait_ms : int
        How long an urgent order waits for preempted tasks to end.
    gang_starved_ms : int
        Waiting time after which workers are drained for a gang.
    news_ms : int
        Time after which unacknowledged ends are sent again.
    summary_ms : int
        Time between two summaries of free capacity. An unchanged one goes
        only to this entry VM until `SUMMARY_RESEND_MS` have passed.

    Notes
    -----
    No task is placed on a worker before the worker has reported its full
    inventory. An attempt that may run on a worker is given up only after the
    worker has reported that it does not run, or after its lease is known to
    have expired.
    """

    parameter_table = {
        "shard_count": parameters.Interval(int, 1, 65_536),
        "renew_ms": parameters.Interval(int, 10, 600_000),
        "lease_ms": parameters.Interval(int, 100, 3_600_000),
        "margin_ms": parameters.Interval(int, 0, 600_000),
        "urgent_wait_ms": parameters.Interval(int, 0, 60_000),
        "gang_starved_ms": parameters.Interval(int, 0, 3_600_000),
        "news_ms": parameters.Interval(int, 100, 600_000),
        "summary_ms": parameters.Interval(int, 100, 60_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        ownership,
        membership,
        tokens,
        placement_policy,
        sizing_policy,
        quarantine_policy,
        preemption_policy,
        overuse_policy,
        random_state,
        shard_count=64,
        renew_ms=5_000,
        lease_ms=15_000,
        margin_ms=500,
        urgent_wait_ms=3_000,
        gang_starved_ms=15_000,
        news_ms=2_000,
        summary_ms=1_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.ownership = ownership
        self.membership = membership
        self.sizing_policy = sizing_policy
        self.random_state = random_state
        self.shard_count = shard_count
        self.renew_ms = renew_ms
        self.lease_ms = lease_ms
        self.margin_ms = margin_ms
        self.urgent_wait_ms = urgent_wait_ms
        self.gang_starved_ms = gang_starved_ms
        self.news_ms = news_ms
        self.summary_ms = summary_ms
        self.check_parameters()
        self.outbox_ = _outbox.Outbox(
            ownership=ownership,
            data_centre=data_centre,
            shard_count=shard_count,
        )
        self.ledger_ = _ledger.Ledger(
            tokens=tokens,
            placement_policy=placement_policy,
            quarantine_policy=quarantine_policy,
            preemption_policy=preemption_policy,
            outbox=self.outbox_,
        )
        self.holds_ = _gangs.GangHolds(
            ledger=self.ledger_, starved_ms=gang_starved_ms
        )
        self.order_handler_ = _orders.OrderHandler(
            ledger=self.ledger_,
            holds=self.holds_,
            sizing_policy=sizing_policy,
            urgent_wait_ms=urgent_wait_ms,
        )
        self.exchanges_ = _exchange.Exchanges(
            vm_id=vm_id,
            ledger=self.ledger_,
            renew_ms=renew_ms,
            lease_ms=lease_ms,
            margin_ms=margin_ms,
        )
        self.lease_expiry_ = _lease_expiry.LeaseExpiryMonitor(
            ledger=self.ledger_,
            exchanges=self.exchanges_,
            lease_with_margin_ms=lease_ms + margin_ms,
        )
        self.overuse_ = _overuse.OveruseControl(
            ledger=self.ledger_, overuse_policy=overuse_policy
        )
        self.summary_ = _summary.SummaryBuilder(ledger=self.ledger_)
        self.epochs_by_shard_ = {}
        self.infos_by_id_ = {}
        self.previous_owner_by_shard_ = {}
        self._next_end_resend_ms = 0
        self._next_summary_ms = 0
        self._sent_summary = None
        self._next_summary_resend_ms = 0
        self._next_scan_ms = 0

    def handle(self, event, now_ms):
        """Applies an event and returns the resulting actions."""
        self._apply(event, now_ms)
        self.order_handler_.retry_waiting(now_ms)
        self._send_due_exchanges(now_ms)
        return self.outbox_.flush()

    @base.singledispatchmethod
    def _apply(self, event, now_ms):
        """Ignores events that this machine does not handle."""

    @_apply.register
    def _(self, event: base.Tick, now_ms):
        self.holds_.expire(now_ms)
        # `_send_due_exchanges` advances `_next_scan_ms` after this.
        if now_ms >= self._next_scan_ms:
            for record in tuple(self.ledger_.workers_by_id.values()):
                self.lease_expiry_.check(record, now_ms)
        self.overuse_.enforce_limits(now_ms)
        if now_ms >= self._next_end_resend_ms:
            self._next_end_resend_ms = now_ms + self.news_ms
            self._resend_ends()
        if now_ms >= self._next_summary_ms:
            self._next_summary_ms = now_ms + self.summary_ms
            self._send_summary(now_ms)

    @_apply.register
    def _(self, event: fleet.FleetListed, now_ms):
        self.lease_expiry_.listed_vms = frozenset(event.entry_vms_by_id)
        self.infos_by_id_ = {
            worker_id: info
            for worker_id, info in event.workers_by_id.items()
            if info.data_centre == self.data_centre
        }
        for worker_id, info in self.infos_by_id_.items():
            self._apply_info(worker_id, info, now_ms)
        for record in self.ledger_.workers_by_id.values():
            record.listed = record.info.worker_id in self.infos_by_id_
            if not record.listed:
                self.ledger_.refresh_room(record, now_ms)

    @_apply.register
    def _(self, event: fleet.ShardTableChanged, now_ms):
        if event.data_centre != self.data_centre:
            return
        for shard, entry in event.entries_by_shard.items():
            if entry.owner and entry.owner != self.vm_id:
                self.previous_owner_by_shard_[shard] = entry.owner

    @_apply.register
    def _(self, event: fleet.ShardGained, now_ms):
        self._drop_shard(event.shard, now_ms)
        self.epochs_by_shard_[event.shard] = event.epoch
        for worker_id, info in self.infos_by_id_.items():
            if self._shard_of(worker_id) == event.shard:
                self._add_worker(info, now_ms)

    @_apply.register
    def _(self, event: fleet.ShardLost, now_ms):
        epoch = self.epochs_by_shard_.get(event.shard)
        self._drop_shard(event.shard, now_ms)
        entry = self.ownership.entry_of(event.shard)
        if epoch is None or entry is None or entry.owner == self.vm_id:
            return
        self._broadcast(_peer.WorkersReleased(event.shard.number, epoch))

    @_apply.register
    def _(self, event: _messages.WorkerAnswered, now_ms):
        record = self._record_of(event)
        if record is not None:
            self.exchanges_.on_answer(record, event.report, now_ms)
            self.overuse_.reduce_overuse(record, now_ms)
            self._observe_usage(record, event.report, now_ms)
            self.ledger_.dirty_by_id[event.worker_id] = record

    @_apply.register
    def _(self, event: _messages.WorkerUnreachable, now_ms):
        record = self._record_of(event)
        if record is not None:
            self.exchanges_.on_unreachable(record, event.outcome, now_ms)

    @_apply.register
    def _(self, event: base.StopRequested, now_ms):
        self.order_handler_.leaving = True
        self.order_handler_.decline_waiting()
        self._send_summary(now_ms)

    @_apply.register
    def _(self, event: base.PeerDelivered, now_ms):
        self._apply_message(event.message, event.sender, now_ms)

    @base.singledispatchmethod
    def _apply_message(self, message, sender, now_ms):
        """Ignores messages that this machine does not handle."""

    @_apply_message.register
    def _(self, message: _peer.TaskOrders, sender, now_ms):
        for attempt_id in message.kept:
            self.ledger_.acknowledge_end(attempt_id)
        if not self.order_handler_.advance_sequence(sender, message.sequence):
            return
        for stop in message.stops:
            self.order_handler_.stop(stop, sender, now_ms)
        for order in message.runs:
            self.order_handler_.run(order, sender, now_ms)

    @_apply_message.register
    def _(self, message: _peer.AskForTasks, sender, now_ms):
        shard = model.ShardId(self.data_centre, message.shard_number)
        if not self.outbox_.admit(shard, message.epoch, sender):
            return
        self.order_handler_.advance_sequence(sender, message.sequence)
        self.order_handler_.drop_stale(shard, message.epoch)
        answer = _peer.TasksOfShard(
            message.shard_number,
            message.epoch,
            message.inquiry,
            self._complete_shards(),
            tuple(self._updates_of_shard(shard)),
        )
        self.outbox_.send(sender, answer)

    @_apply_message.register
    def _(self, message: _peer.ReserveGang, sender, now_ms):
        if self.order_handler_.leaving:
            answer = _peer.GangReserved(message.reservation, 0)
        else:
            answer = self.holds_.reserve(message, now_ms)
        self.outbox_.send(sender, answer)

    @_apply_message.register
    def _(self, message: _peer.ReleaseGang, sender, now_ms):
        self.holds_.release(message.reservation, now_ms)

    @_apply_message.register
    def _(self, message: _peer.WorkersReleased, sender, now_ms):
        shard = model.ShardId(self.data_centre, message.shard_number)
        self.lease_expiry_.on_release(shard, message.epoch, sender, now_ms)

    def _shard_of(self, worker_id):
        return model.shard_of(worker_id, self.data_centre, self.shard_count)

    def _apply_info(self, worker_id, info, now_ms):
        record = self.ledger_.workers_by_id.get(worker_id)
        if record is None:
            if self._shard_of(worker_id) in self.epochs_by_shard_:
                self._add_worker(info, now_ms)
        elif record.info != info:
            record.info = info
            record.allocation.worker = info
            self.ledger_.refresh_room(record, now_ms)

    def _add_worker(self, info, now_ms):
        shard = self._shard_of(info.worker_id)
        previous = self.previous_owner_by_shard_.get(shard, "")
        record = _records.WorkerRecord(
            info=info,
            shard=shard,
            epoch=self.epochs_by_shard_[shard],
            allocation=placement.WorkerAllocation(info),
            previous_owner=previous,
            # Without a known earlier owner, the worker counts as running no
            # attempts.
            inventory_complete=not previous,
            next_exchange_ms=now_ms,
        )
        self.ledger_.workers_by_id[info.worker_id] = record
        self.ledger_.dirty_by_id[info.worker_id] = record

    def _record_of(self, event):
        record = self.ledger_.workers_by_id.get(event.worker_id)
        if record is None or record.in_flight is None:
            return None
        in_flight = record.in_flight
        if (in_flight.epoch, in_flight.sequence) != (
            event.epoch,
            event.sequence,
        ):
            return None
        return record

    def _send_due_exchanges(self, now_ms):
        records = self.ledger_.dirty_by_id
        if now_ms >= self._next_scan_ms:
            self._next_scan_ms = now_ms + SCAN_INTERVAL_MS
            records = self.ledger_.workers_by_id
        self.ledger_.dirty_by_id = {}
        for record in records.values():
            exchange = self.exchanges_.next_exchange(record, now_ms)
            if exchange is not None:
                self.outbox_.add_action(exchange)

    def _drop_shard(self, shard, now_ms):
        """Releases the workers of a shard; their tasks keep running."""
        if self.epochs_by_shard_.pop(shard, None) is None:
            return
        self.previous_owner_by_shard_[shard] = self.vm_id
        for worker_id, record in tuple(self.ledger_.workers_by_id.items()):
            if record.shard == shard:
                self._end_unsent_bookings(record, now_ms)
                self.ledger_.drop_worker(worker_id, now_ms)

    def _end_unsent_bookings(self, record, now_ms):
        for booking in tuple(record.bookings_by_id.values()):
            if booking.state == _records.BOOKED:
                reason = _peer.TaskReason.LEAVING
                self.ledger_.request_end(booking, reason, now_ms)

    def _complete_shards(self):
        incomplete_shards = {
            record.shard
            for record in self.ledger_.workers_by_id.values()
            if not record.inventory_complete
        }
        return tuple(
            _peer.WorkerShard(shard.number, epoch)
            for shard, epoch in self.epochs_by_shard_.items()
            if shard not in incomplete_shards
        )

    def _updates_of_shard(self, shard):
        bookings = (
            *self.ledger_.live_by_task.values(),
            *self.ledger_.unacknowledged_by_id.values(),
        )
        for booking in bookings:
            job_id = booking.attempt_id.task_id.job_id
            if self.outbox_.shard_of(job_id) == shard:
                yield self.order_handler_.update_of(booking)
        yield from self.order_handler_.waiting_updates(shard)

    def _resend_ends(self):
        for booking in self.ledger_.unacknowledged_by_id.values():
            self.outbox_.send_update(booking.end_update)

    def _send_summary(self, now_ms):
        """Broadcasts the summary if it changed or a resend is due.

        Otherwise sends it to this entry VM only.
        """
        message = self.summary_.build(now_ms, self.order_handler_.leaving)
        if (
            message == self._sent_summary
            and now_ms < self._next_summary_resend_ms
        ):
            self.outbox_.send(self.vm_id, message)
            return
        self._sent_summary = message
        self._next_summary_resend_ms = now_ms + SUMMARY_RESEND_MS
        self._broadcast(message)

    def _broadcast(self, message):
        recipients = set(self.membership.alive_ids(self.data_centre))
        for vm_id in sorted(recipients | {self.vm_id}):
            self.outbox_.send(vm_id, message)

    def _observe_usage(self, record, report, now_ms):
        for task in report.tasks:
            booking = self.ledger_.live_by_task.get(task.task_id)
            if booking is None or task.used == model.Resources():
                continue
            usage = sizing.UsageObserved(
                booking.team,
                booking.work_class,
                booking.declared,
                task.used,
            )
            self.sizing_policy.observe(usage, now_ms)
