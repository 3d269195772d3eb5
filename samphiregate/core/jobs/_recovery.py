"""Brings owned shards of jobs forward, and asks about silent tasks."""

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _peer
from samphiregate.core.jobs import _records
from samphiregate.core.jobs import _shards
from samphiregate.core import workers

QUERIED_STATES = frozenset(
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
        When an unanswered question is asked again.
    ask_ms : int
        How long a task may give no news before it is asked about.
    retention_ms : int
        How long a job is shown after its end.
    copy_ttl_ms : int
        Age at which a copy is dropped that its living owner refreshes no
        more.
    audit_ms : int
        Time between two inquiries of a shard if nothing else asks for one.
    """

    retry_ms: int
    ask_ms: int
    retention_ms: int
    copy_ttl_ms: int
    audit_ms: int


class Recovery:
    """Reads copies, holds inquiries, and drops what is too old.

    Parameters
    ----------
    vm_id, data_centre : str
        This entry VM and its data centre.
    ownership, membership : object
        Tell owners, candidates and who is alive.
    shards_by_id : dict of model.ShardId to JobShard
        Owned shards; shared with the owner.
    keeper : CopyKeeper
        Copies kept for others.
    life : TaskLife
        Takes what the inquiries find.
    orders : OrderBook
        Numbers the messages.
    call_handler : CallHandler
        Told of jobs that ended.
    copies : int
        Other entry VMs that keep a copy of each job.
    shard_count : int
        Shards of the data centre.
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
        """Returns the actions that are due, and forgets them."""
        actions, self._actions = self._actions, []
        return actions

    def apply_copy(self, shard, copy, now_ms):
        """Takes in the copy of a job, unless it is known better."""
        existing = shard.jobs_by_id.get(copy.spec.job_id)
        if existing is not None and existing.version >= copy.version:
            return
        if shard.phase is _shards.ShardPhase.READY and existing is not None:
            return
        job = _records.job_from_copy(copy, shard.shard, now_ms)
        shard.jobs_by_id[copy.spec.job_id] = job
        job.is_new = True
        shard.sender.touch(job)
        if shard.phase is _shards.ShardPhase.READY:
            self.lifecycle_.admit(shard, job, now_ms)

    def _peers(self):
        alive = set(self.membership.alive_ids(self.data_centre))
        return sorted(alive - {self.vm_id})

    def advance(self, shard, now_ms):
        """Brings a shard forward, as far as is known by now."""
        holders = [
            vm_id
            for vm_id in self.ownership.candidates(shard.shard)
            if vm_id != self.vm_id
        ]
        self._actions += shard.sender.set_holders(
            holders[: self.copies], now_ms
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
        """Asks an entry VM for its copies."""
        message = _peer.AskForJobs(shard.shard.number, shard.epoch)
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
                shard.shard.number,
                shard.epoch,
                inquiry.number,
                self.orders_.next_sequence(vm_id),
            )
            self._actions.append(base.SendToPeer(vm_id, message))

    def finish_inquiry(self, shard, now_ms):
        """Ends the inquiry once everything is accounted for."""
        if shard.inquiry is None:
            return
        if not shard.is_inquiry_complete(self.ownership, self.shard_count):
            return
        lost = list(shard.unaccounted_tasks())
        reported = shard.inquiry.reported
        shard.inquiry = None
        shard.audit_ms = now_ms + self.times.audit_ms
        for job, task in lost:
            self.lifecycle_.mark_lost(shard, job, task, now_ms)
            if job.ended_ms is not None:
                self.call_handler_.job_ended(shard, job)
        if shard.phase is not _shards.ShardPhase.READY:
            self._become_ready(shard, now_ms)
        for attempt_id, vm_id in reported.items():
            self.lifecycle_.stop_if_orphan(shard, attempt_id, vm_id)

    def _become_ready(self, shard, now_ms):
        shard.phase = _shards.ShardPhase.READY
        for job in tuple(shard.jobs_by_id.values()):
            if job.cancelled and job.ended_ms is None:
                self.lifecycle_.cancel(shard, job, now_ms)
            elif job.ended_ms is None:
                self.lifecycle_.admit(shard, job, now_ms)

    def start_inquiries(self, now_ms):
        """Starts an inquiry for each shard, as something changed."""
        for shard in self.shards_by_id_.values():
            if shard.phase is not _shards.ShardPhase.READING_COPIES:
                shard.start_inquiry(now_ms)
                self._request_tasks(shard, now_ms)

    def sweep(self, now_ms):
        """Asks about silent tasks, and drops what is too old."""
        for shard in self.shards_by_id_.values():
            self._sweep_shard(shard, now_ms)
        for shard, stored in self.replica_store_.shards_by_id_.items():
            if now_ms - stored.refreshed_ms < self.times.copy_ttl_ms:
                continue
            entry = self.ownership.entry_of(shard)
            alive = self.membership.alive_ids(self.data_centre)
            if entry is not None and entry.owner in alive:
                self.replica_store_.expire(shard)

    def _sweep_shard(self, shard, now_ms):
        silent = now_ms >= shard.audit_ms
        for job in tuple(shard.jobs_by_id.values()):
            if job.ended_ms is not None:
                if now_ms - job.ended_ms >= self.times.retention_ms:
                    del shard.jobs_by_id[job.spec.job_id]
                    shard.sender.drop(job.spec.job_id)
                continue
            if job.live_count:
                silent |= self._check_silent_tasks(job, now_ms)
        if shard.phase is not _shards.ShardPhase.READY:
            return
        if silent and shard.inquiry is None:
            shard.start_inquiry(now_ms)
            self._request_tasks(shard, now_ms)

    def _check_silent_tasks(self, job, now_ms):
        silent = False
        for task in job.tasks:
            if task.state not in QUERIED_STATES:
                continue
            if now_ms - task.requested_ms >= self.times.ask_ms:
                silent = True
                task.requested_ms = now_ms
        return silent
