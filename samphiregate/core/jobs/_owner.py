"""State machine of the entry VM that owns jobs."""

import itertools

import attrs

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.jobs import _admission
from samphiregate.core.jobs import _call_forwarding
from samphiregate.core.jobs import _call_handler
from samphiregate.core.jobs import _dispatch
from samphiregate.core.jobs import _gangs
from samphiregate.core.jobs import _messages
from samphiregate.core.jobs import _orders
from samphiregate.core.jobs import _peer
from samphiregate.core.jobs import _recovery
from samphiregate.core.jobs import _replica_store
from samphiregate.core.jobs import _replication
from samphiregate.core.jobs import _room_estimates
from samphiregate.core.jobs import _shards
from samphiregate.core.jobs import _tasks
from samphiregate.core.jobs import _token_backoff
from samphiregate.core import model
from samphiregate.core import queueing
from samphiregate.core import workers
from samphiregate import parameters

ADVANCE_PERIOD_MS = 500


class JobOwner(base.StateMachine, parameters.Parameterised):
    """Stores the jobs of owned shards and sends orders to run their tasks.

    Parameters
    ----------
    vm_id, data_centre : str
        This entry VM and its data centre.
    ownership : object
        Has `entry_of(shard)` and `candidates(shard)`.
    membership : object
        Has `alive_ids(data_centre)`.
    queue, quarantine_policy : base.Policy
        Queue policy and quarantine policy.
    random_state : random.Random
        Generates job ids and randomises choices.
    shard_count : int
        Number of shards of each data centre.
    copies : int
        Number of other entry VMs that store a replica of each job.
    copy_retry_ms, copy_refresh_ms : int
        Time after which an unanswered copy is sent again, and the maximum
        time between two messages to an entry VM that stores replicas.
    copy_ttl_ms : int
        Age at which a replica is dropped if its owner is alive but no
        longer refreshes it.
    ask_ms : int
        Time that a task may stay starting or stopping before an inquiry
        is started; also the period of this check.
    audit_ms : int
        Maximum time between two inquiries of a shard.
    retention_ms : int
        How long a job is shown after its end.
    retry_ms : int
        Delay after the first failure of a task; doubles with each failure.
    call_timeout_ms, call_retry_ms : int
        Timeout of a call, and the time after which it is forwarded again.
    gang_hold_ms, gang_timeout_ms, gang_retry_ms : int
        How long places are reserved for a gang, the timeout of one
        reservation round, and the mean delay before the next round.
    team_retry_ms : int
        Delay before a team's next order to an entry VM that had no token.
    urgent_retry_ms : int
        Time between two attempts to preempt for an urgent task.
    window : int
        Maximum number of orders in flight.
    queue_max : int
        Number of queued tasks above which submissions are refused.
    """

    parameter_table = {
        "shard_count": parameters.Interval(int, 1, 65_536),
        "copies": parameters.Interval(int, 0, 8),
        "copy_retry_ms": parameters.Interval(int, 10, 60_000),
        "copy_refresh_ms": parameters.Interval(int, 100, 600_000),
        "copy_ttl_ms": parameters.Interval(int, 1_000, 86_400_000),
        "ask_ms": parameters.Interval(int, 10, 600_000),
        "audit_ms": parameters.Interval(int, 1_000, 86_400_000),
        "retention_ms": parameters.Interval(int, 0, 604_800_000),
        "retry_ms": parameters.Interval(int, 0, 600_000),
        "call_timeout_ms": parameters.Interval(int, 100, 600_000),
        "call_retry_ms": parameters.Interval(int, 10, 600_000),
        "gang_hold_ms": parameters.Interval(int, 10, 60_000),
        "gang_timeout_ms": parameters.Interval(int, 10, 60_000),
        "gang_retry_ms": parameters.Interval(int, 10, 600_000),
        "team_retry_ms": parameters.Interval(int, 1, 60_000),
        "urgent_retry_ms": parameters.Interval(int, 1, 60_000),
        "window": parameters.Interval(int, 1, 1_000_000),
        "queue_max": parameters.Interval(int, 1, 100_000_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        ownership,
        membership,
        queue,
        quarantine_policy,
        random_state,
        shard_count=64,
        copies=2,
        copy_retry_ms=1_000,
        copy_refresh_ms=10_000,
        copy_ttl_ms=120_000,
        ask_ms=2_000,
        audit_ms=120_000,
        retention_ms=21_600_000,
        retry_ms=1_000,
        call_timeout_ms=10_000,
        call_retry_ms=500,
        gang_hold_ms=3_000,
        gang_timeout_ms=2_000,
        gang_retry_ms=1_000,
        team_retry_ms=100,
        urgent_retry_ms=500,
        window=512,
        queue_max=200_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.ownership = ownership
        self.membership = membership
        self.queue = queue
        self.random_state = random_state
        self.shard_count = shard_count
        self.copies = copies
        self.copy_retry_ms = copy_retry_ms
        self.copy_refresh_ms = copy_refresh_ms
        self.copy_ttl_ms = copy_ttl_ms
        self.ask_ms = ask_ms
        self.audit_ms = audit_ms
        self.retention_ms = retention_ms
        self.retry_ms = retry_ms
        self.call_timeout_ms = call_timeout_ms
        self.call_retry_ms = call_retry_ms
        self.gang_hold_ms = gang_hold_ms
        self.gang_timeout_ms = gang_timeout_ms
        self.gang_retry_ms = gang_retry_ms
        self.team_retry_ms = team_retry_ms
        self.urgent_retry_ms = urgent_retry_ms
        self.window = window
        self.queue_max = queue_max
        self.check_parameters()
        self.shards_by_id_ = {}
        self.admission_ = _admission.Admission(data_centre=data_centre)
        self.replica_store_ = _replica_store.ReplicaStore(
            data_centre=data_centre
        )
        self.room_estimates_ = _room_estimates.RoomEstimates(
            vm_id=vm_id, random_state=random_state
        )
        self.orders_ = _orders.OrderBatcher()
        self.dispatcher_ = _dispatch.Dispatcher(
            queue=queue,
            room_estimates=self.room_estimates_,
            orders=self.orders_,
            window=window,
            token_backoff=_token_backoff.TokenBackoff(retry_ms=team_retry_ms),
            urgent_retry_ms=urgent_retry_ms,
        )
        self.gangs_ = _gangs.GangPlacer(
            dispatcher=self.dispatcher_,
            hold_ms=gang_hold_ms,
            timeout_ms=gang_timeout_ms,
            retry_ms=gang_retry_ms,
            random_state=random_state,
        )
        self.lifecycle_ = _tasks.TaskLifecycle(
            dispatcher=self.dispatcher_,
            gangs=self.gangs_,
            orders=self.orders_,
            quarantine_policy=quarantine_policy,
            is_owner=self._owns_worker,
            retry_ms=retry_ms,
        )
        self.call_handler_ = _call_handler.CallHandler(
            admission=self.admission_,
            lifecycle=self.lifecycle_,
            dispatcher=self.dispatcher_,
            queue_max=queue_max,
        )
        self.call_forwarder_ = _call_forwarding.CallForwarder(
            vm_id=vm_id,
            data_centre=data_centre,
            ownership=ownership,
            membership=membership,
            random_state=random_state,
            shard_count=shard_count,
            timeout_ms=call_timeout_ms,
            retry_ms=call_retry_ms,
        )
        self.recovery_ = _recovery.Recovery(
            vm_id=vm_id,
            data_centre=data_centre,
            ownership=ownership,
            membership=membership,
            shards_by_id=self.shards_by_id_,
            replica_store=self.replica_store_,
            lifecycle=self.lifecycle_,
            orders=self.orders_,
            call_handler=self.call_handler_,
            copies=copies,
            shard_count=shard_count,
            times=_recovery.RecoveryTimes(
                retry_ms=call_retry_ms,
                ask_ms=ask_ms,
                retention_ms=retention_ms,
                copy_ttl_ms=copy_ttl_ms,
                audit_ms=audit_ms,
            ),
        )
        self._counter = itertools.count(1)
        self._actions = []
        self._next_sweep_ms = 0
        self._next_advance_ms = 0

    def handle(self, event, now_ms):
        """Applies one event and returns the resulting actions."""
        self._on_event(event, now_ms)
        self.dispatcher_.run(now_ms, self.gangs_.start)
        return self._flush(now_ms, isinstance(event, base.Tick))

    @base.singledispatchmethod
    def _on_event(self, event, now_ms):
        """Ignores events that this state machine does not handle."""

    @_on_event.register(_messages.SubmitJob)
    @_on_event.register(_messages.ShowJob)
    @_on_event.register(_messages.CancelJob)
    @_on_event.register(_messages.ListJobs)
    def _(self, event, now_ms):
        self._actions += self.call_forwarder_.start(event, now_ms)

    @_on_event.register
    def _(self, event: base.Tick, now_ms):
        self._actions += self.call_forwarder_.tick(now_ms)
        self._actions += self.call_handler_.tick(self._find_job, now_ms)
        self.gangs_.tick(now_ms)
        self.dispatcher_.tick(now_ms)
        self._advance_due(now_ms)
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + self.ask_ms
            self.recovery_.sweep(now_ms)

    def _advance_due(self, now_ms):
        """Advances shards with an inquiry or in recovery.

        Periodically advances all shards.
        """
        is_periodic = now_ms >= self._next_advance_ms
        if is_periodic:
            self._next_advance_ms = now_ms + ADVANCE_PERIOD_MS
        for shard in self.shards_by_id_.values():
            if is_periodic or shard.inquiry is not None or not shard.is_ready:
                self.recovery_.advance(shard, now_ms)

    @_on_event.register
    def _(self, event: fleet.FleetListed, now_ms):
        self.admission_.apply_workers(event.workers_by_id)
        self.dispatcher_.racks_by_worker = {
            worker_id: info.rack
            for worker_id, info in event.workers_by_id.items()
            if info.data_centre == self.data_centre
        }
        self.call_forwarder_.apply_data_centres(
            info.data_centre for info in event.entry_vms_by_id.values()
        )

    @_on_event.register
    def _(self, event: fleet.ConfigurationChanged, now_ms):
        configuration = event.configuration
        self.admission_.apply_configuration(configuration)
        plans = configuration.plans_by_name
        weights = {
            name: plans[team.plan].share
            for name, team in configuration.teams_by_name.items()
            if team.plan in plans
        }
        self.queue.observe(queueing.WeightsChanged(weights), now_ms)
        self.dispatcher_.mark_due()

    @_on_event.register
    def _(self, event: fleet.ShardGained, now_ms):
        if event.shard in self.shards_by_id_:
            self._drop_shard(event.shard, now_ms)
        jobs_by_id = {}
        sender = _replication.ReplicaSender(
            shard_id=event.shard,
            epoch=event.epoch,
            jobs_by_id=jobs_by_id,
            counter=self._counter,
            retry_ms=self.copy_retry_ms,
            refresh_ms=self.copy_refresh_ms,
        )
        shard = _shards.JobShard(
            event.shard, event.epoch, sender, jobs_by_id, self._counter
        )
        self.shards_by_id_[event.shard] = shard
        for copy in self.replica_store_.pop_copies(event.shard):
            self.recovery_.apply_copy(shard, copy, now_ms)
        self.recovery_.advance(shard, now_ms)

    @_on_event.register
    def _(self, event: fleet.ShardLost, now_ms):
        if event.shard in self.shards_by_id_:
            self._drop_shard(event.shard, now_ms)

    @_on_event.register
    def _(self, event: fleet.ShardTableChanged, now_ms):
        if event.data_centre == self.data_centre:
            self.recovery_.start_inquiries(now_ms)

    @_on_event.register
    def _(self, event: fleet.PeerStateChanged, now_ms):
        if event.data_centre != self.data_centre:
            return
        if event.state is fleet.PeerState.DEAD:
            self.room_estimates_.remove(event.vm_id)
            self.recovery_.start_inquiries(now_ms)
        elif event.state is fleet.PeerState.ALIVE:
            # Jobs that are missing here are restored from its copies.
            for shard in self.shards_by_id_.values():
                self.recovery_.request_copies(shard, event.vm_id)

    @_on_event.register
    def _(self, event: base.PeerDelivered, now_ms):
        self._on_message(event.message, event.sender, now_ms)

    @base.singledispatchmethod
    def _on_message(self, message, sender, now_ms):
        """Ignores messages that this state machine does not handle."""

    @_on_message.register(_peer.ForwardSubmit)
    @_on_message.register(_peer.ForwardShow)
    @_on_message.register(_peer.ForwardCancel)
    def _(self, message, sender, now_ms):
        job_id = _call_forwarding.job_id_of(message)
        shard = self.shards_by_id_.get(self._shard_of_job(job_id))
        if shard is None:
            self._actions += self.call_forwarder_.relay(message, now_ms)
        elif shard.phase is not _shards.ShardPhase.READING_COPIES:
            self._actions += self.call_handler_.on_call(message, shard, now_ms)

    @_on_message.register
    def _(self, message: _peer.ForwardList, sender, now_ms):
        shards = self.shards_by_id_.values()
        self._actions.append(self.call_handler_.list_jobs(message, shards))

    @_on_message.register
    def _(self, message: _peer.ForwardedAnswer, sender, now_ms):
        self._actions += self.call_forwarder_.on_answer(
            sender, message.answer, now_ms
        )

    @_on_message.register
    def _(self, message: _peer.KeepJobs, sender, now_ms):
        answer = self.replica_store_.store(message, now_ms)
        if answer is not None:
            self._actions.append(base.SendToPeer(sender, answer))

    @_on_message.register
    def _(self, message: _peer.JobsKept, sender, now_ms):
        shard = self._shard_for(message)
        if shard is not None:
            self._actions += shard.sender.on_jobs_kept(sender, message, now_ms)

    @_on_message.register
    def _(self, message: _peer.AskForJobs, sender, now_ms):
        answer = self.replica_store_.read_copies(message)
        if answer is not None:
            self._actions.append(base.SendToPeer(sender, answer))

    @_on_message.register
    def _(self, message: _peer.JobsOfShard, sender, now_ms):
        shard = self._shard_for(message)
        if shard is None:
            return
        shard.copies_received_from.add(sender)
        for copy in message.copies:
            self.recovery_.apply_copy(shard, copy, now_ms)
        self.recovery_.advance(shard, now_ms)

    @_on_message.register
    def _(self, message: workers.TaskNewsBatch, sender, now_ms):
        for update in message.news:
            self._apply_update(update, sender, now_ms)

    @_on_message.register
    def _(self, message: workers.TasksOfShard, sender, now_ms):
        shard = self._shard_for(message)
        if shard is None or shard.inquiry is None:
            return
        if shard.inquiry.number != message.inquiry:
            return
        shard.inquiry.apply_answer(message, sender)
        for update in message.news:
            self._apply_update(update, sender, now_ms)
        self.recovery_.finish_inquiry(shard, now_ms)

    @_on_message.register
    def _(self, message: workers.GangReserved, sender, now_ms):
        self.gangs_.on_gang_reserved(sender, message, now_ms)

    @_on_message.register
    def _(self, message: workers.RoomSummary, sender, now_ms):
        self.room_estimates_.apply_summary(sender, message)
        self.dispatcher_.mark_due()
        if sender == self.vm_id:
            self._update_queue(now_ms)

    def _shard_of_job(self, job_id):
        data_centre = _call_forwarding.data_centre_of(job_id)
        return model.shard_of(job_id, data_centre, self.shard_count)

    def _shard_for(self, message):
        number = message.shard_number
        shard = self.shards_by_id_.get(model.ShardId(self.data_centre, number))
        if shard is None or shard.epoch != message.epoch:
            return None
        return shard

    def _find_job(self, job_id):
        shard = self.shards_by_id_.get(self._shard_of_job(job_id))
        return shard.jobs_by_id.get(job_id) if shard else None

    def _owns_worker(self, vm_id, worker_id):
        shard = model.shard_of(worker_id, self.data_centre, self.shard_count)
        entry = self.ownership.entry_of(shard)
        return entry is None or entry.owner == vm_id

    def _apply_update(self, update, sender, now_ms):
        shard = self.shards_by_id_.get(
            self._shard_of_job(update.task_id.job_id)
        )
        if shard is None:
            return
        if shard.phase is _shards.ShardPhase.READING_COPIES:
            return
        self.lifecycle_.apply_update(shard, update, sender, now_ms)
        job = shard.jobs_by_id.get(update.task_id.job_id)
        if job is not None and job.ended_ms is not None:
            self.call_handler_.on_job_ended(shard, job)

    def _drop_shard(self, shard_id, now_ms):
        shard = self.shards_by_id_.pop(shard_id)
        copies = tuple(job.copy() for job in shard.jobs_by_id.values())
        self.replica_store_.store_own_copies(
            shard_id, shard.epoch, copies, now_ms
        )
        self.dispatcher_.withdraw_shard(shard, now_ms)
        for job in shard.jobs_by_id.values():
            self.gangs_.abort(job.spec.job_id, now_ms)
            for task in job.tasks:
                if task.is_live:
                    self.dispatcher_.remove_usage(job, task, now_ms)

    def _update_queue(self, now_ms):
        """Reports capacity and the usage by other owners to the queue."""
        capacity = queueing.CapacityChanged(
            self.room_estimates_.total_capacity()
        )
        self.queue.observe(capacity, now_ms)
        own = self.dispatcher_.usage_by_team
        remote = {}
        for team, amount in self.room_estimates_.usage_by_team().items():
            remainder = amount - own.get(team, model.Resources())
            remainder = model.Resources(
                *(max(0, one) for one in attrs.astuple(remainder))
            )
            if remainder != model.Resources():
                remote[team] = remainder
        self.queue.observe(queueing.RemoteUsageChanged(remote), now_ms)

    def _flush(self, now_ms, is_tick):
        self._defer_end_acks()
        actions, self._actions = self._actions, []
        actions += self.lifecycle_.pop_timings()
        actions += self.recovery_.flush()
        actions += self.gangs_.flush()
        actions += self.orders_.flush()
        for shard in self.shards_by_id_.values():
            if is_tick or shard.sender.has_changes:
                actions += shard.sender.flush(now_ms)
        return actions

    def _defer_end_acks(self):
        """Defers acknowledgements of ends until the jobs are replicated."""
        batches = {}
        for end_ack in self.lifecycle_.pop_end_acks():
            key = (end_ack.shard.shard_id, end_ack.vm_id)
            batches.setdefault(key, []).append(end_ack.attempt_id)
        for (shard_id, vm_id), attempt_ids in batches.items():
            shard = self.shards_by_id_.get(shard_id)
            if shard is not None:
                # Acknowledgements are applied whatever the sequence number,
                # and 0 leaves the sequence of orders as it is.
                message = workers.TaskOrders(0, kept=tuple(attempt_ids))
                shard.sender.defer(base.SendToPeer(vm_id, message))
