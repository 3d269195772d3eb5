"""Recovery of owned shards of jobs, and inquiries about their tasks."""

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _peer
from samphiregate.core.jobs import _records
from samphiregate.core.jobs import _shards
from samphiregate.core import workers

AWAITING_UPDATE_STATES = frozenset(
    {
        _records.STARTING,
        _records.STOPPING,
        _records.RECALLING,
        _records.SETTLING,
    }
)


@attrs.frozen
class RecoveryTimes:
    """Periods of a `Recovery`, in milliseconds.

    Parameters
    ----------
    retry_ms : int
        Time after which an unanswered request is sent again.
    ask_ms : int
        Time that a task may stay starting or stopping before an inquiry is
        started.
    retention_ms : int
        How long a job is shown after its end.
    copy_ttl_ms : int
        Age at which a replica is dropped if its owner is alive but no
        longer refreshes it.
    audit_ms : int
        Time from one inquiry of a shard to the next if nothing else
        triggers one.
    """

    retry_ms: int
    ask_ms: int
    retention_ms: int
    copy_ttl_ms: int
    audit_ms: int


class Recovery:
    """Reads copies, runs inquiries, and drops expired jobs and replicas.

    Parameters
    ----------
    vm_id, data_centre : str
        This entry VM and its data centre.
    ownership, membership : object
        Provide the owners and candidates of shards, and the entry VMs that
        are alive.
    shards_by_id : dict of model.ShardId to JobShard
        Owned shards; shared with the owner.
    replica_store : ReplicaStore
        Replicas stored for other owners.
    lifecycle : TaskLifecycle
        Applies the results of inquiries.
    orders : OrderBatcher
        Numbers the messages.
    call_handler : CallHandler
        Notified of jobs that ended.
    copies : int
        Number of other entry VMs that store a replica of each job.
    shard_count : int
        Number of shards of the data centre.
    times : RecoveryTimes
        Periods.
    """

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        ownership,
        membership,
        shards_by_id,
        replica_store,
        lifecycle,
        orders,
        call_handler,
        copies,
        shard_count,
        times,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.ownership = ownership
        self.membership = membership
        self.shards_by_id_ = shards_by_id
        self.replica_store_ = replica_store
        self.lifecycle_ = lifecycle
        self.orders_ = orders
        self.call_handler_ = call_handler
        self.copies = copies
        self.shard_count = shard_count
        self.times = times
        self._actions = []

    def flush(self):
        """Returns and clears the actions that are due."""
        actions, self._actions = self._actions, []
        return actions

    def apply_copy(self, shard, copy, now_ms):
        """Applies the copy of a job that is missing or, in recovery, newer."""
        existing = shard.jobs_by_id.get(copy.spec.job_id)
        if existing is not None and existing.version >= copy.version:
            return
        if shard.phase is _shards.ShardPhase.READY and existing is not None:
            return
        job = _records.job_from_copy(copy, shard.shard_id, now_ms)
        shard.jobs_by_id[copy.spec.job_id] = job
        job.is_new = True
        shard.sender.mark_dirty(job)
        if shard.phase is _shards.ShardPhase.READY:
            self.lifecycle_.admit(shard, job, now_ms)

    def _peers(self):
        alive = set(self.membership.alive_ids(self.data_centre))
        return sorted(alive - {self.vm_id})

    def advance(self, shard, now_ms):
        """Updates the replicas of a shard, and advances its recovery.

        Recovery and inquiry advance as far as the answers allow.
        """
        replica_ids = [
            vm_id
            for vm_id in self.ownership.candidates(shard.shard_id)
            if vm_id != self.vm_id
        ]
        self._actions += shard.sender.set_replicas(
            replica_ids[: self.copies], now_ms
        )
        if shard.phase is _shards.ShardPhase.READING_COPIES:
            self._read_copies(shard, now_ms)
        if shard.inquiry is not None:
            self._request_tasks(shard, now_ms)
            self.finish_inquiry(shard, now_ms)

    def _read_copies(self, shard, now_ms):
        pending_ids = [
            one
            for one in self._peers()
            if one not in shard.copies_received_from
        ]
        if not pending_ids:
            shard.phase = _shards.ShardPhase.COPIES_READ
            shard.start_inquiry(now_ms)
            return
        requested_ms = shard.copies_requested_ms
        if (
            requested_ms is None
            or now_ms - requested_ms >= self.times.retry_ms
        ):
            shard.copies_requested_ms = now_ms
            for vm_id in pending_ids:
                self.request_copies(shard, vm_id)

    def request_copies(self, shard, vm_id):
        """Requests the copies of a shard's jobs from an entry VM."""
        message = _peer.AskForJobs(shard.shard_id.number, shard.epoch)
        self._actions.append(base.SendToPeer(vm_id, message))

    def _request_tasks(self, shard, now_ms):
        inquiry = shard.inquiry
        requested_ms = inquiry.requested_ms
        if (
            requested_ms is not None
            and now_ms - requested_ms < self.times.retry_ms
        ):
            return
        inquiry.requested_ms = now_ms
        for vm_id in [self.vm_id, *self._peers()]:
            message = workers.AskForTasks(
                shard.shard_id.number,
                shard.epoch,
                inquiry.number,
                self.orders_.next_sequence(vm_id),
            )
            self._actions.append(base.SendToPeer(vm_id, message))

    def finish_inquiry(self, shard, now_ms):
        """Ends the inquiry once it covers every worker shard."""
        if shard.inquiry is None:
            return
        if not shard.is_inquiry_complete(self.ownership, self.shard_count):
            return
        lost = list(shard.unaccounted_tasks())
        reported = shard.inquiry.reported
        shard.inquiry = None
        shard.next_audit_ms = now_ms + self.times.audit_ms
        for job, task in lost:
            self.lifecycle_.mark_lost(shard, job, task, now_ms)
            if job.ended_ms is not None:
                self.call_handler_.on_job_ended(shard, job)
        if shard.phase is not _shards.ShardPhase.READY:
            self._mark_ready(shard, now_ms)
        for attempt_id, vm_id in reported.items():
            self.lifecycle_.stop_if_orphan(shard, attempt_id, vm_id)

    def _mark_ready(self, shard, now_ms):
        shard.phase = _shards.ShardPhase.READY
        for job in tuple(shard.jobs_by_id.values()):
            if job.cancelled and job.ended_ms is None:
                self.lifecycle_.cancel(shard, job, now_ms)
            elif job.ended_ms is None:
                self.lifecycle_.admit(shard, job, now_ms)

    def start_inquiries(self, now_ms):
        """Starts an inquiry of each shard, after a change of owners or VMs."""
        for shard in self.shards_by_id_.values():
            if shard.phase is not _shards.ShardPhase.READING_COPIES:
                shard.start_inquiry(now_ms)
                self._request_tasks(shard, now_ms)

    def sweep(self, now_ms):
        """Starts inquiries that are due; drops expired jobs and replicas."""
        for shard in self.shards_by_id_.values():
            self._sweep_shard(shard, now_ms)
        for shard_id, stored in self.replica_store_.replicas_by_shard_.items():
            if now_ms - stored.refreshed_ms < self.times.copy_ttl_ms:
                continue
            entry = self.ownership.entry_of(shard_id)
            alive = self.membership.alive_ids(self.data_centre)
            if entry is not None and entry.owner in alive:
                self.replica_store_.drop_copies(shard_id)

    def _sweep_shard(self, shard, now_ms):
        is_due = now_ms >= shard.next_audit_ms
        for job in tuple(shard.jobs_by_id.values()):
            if job.ended_ms is not None:
                if now_ms - job.ended_ms >= self.times.retention_ms:
                    del shard.jobs_by_id[job.spec.job_id]
                    shard.sender.drop_job(job.spec.job_id)
                continue
            if job.live_count:
                is_due |= self._restart_overdue_waits(job, now_ms)
        if shard.phase is not _shards.ShardPhase.READY:
            return
        if is_due and shard.inquiry is None:
            shard.start_inquiry(now_ms)
            self._request_tasks(shard, now_ms)

    def _restart_overdue_waits(self, job, now_ms):
        """Returns whether a task has awaited an update for `ask_ms`.

        Restarts the wait of each such task.
        """
        is_due = False
        for task in job.tasks:
            if task.state not in AWAITING_UPDATE_STATES:
                continue
            if now_ms - task.requested_ms >= self.times.ask_ms:
                is_due = True
                task.requested_ms = now_ms
        return is_due
