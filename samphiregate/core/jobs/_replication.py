"""Copies the jobs of an owned shard to other entry VMs."""

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _peer


@attrs.define(eq=False)
class DeferredActions:
    """What is done once all of `holders` keep a change.

    Parameters
    ----------
    actions : list of base.Action
        Carried out then.
    """

    actions: list[base.Action]
    unconfirmed_ids: set[str]


@attrs.define
class InFlightMessage:
    """One `KeepJobs` that is not answered yet."""

    job_ids: tuple[str, ...]
    deferred: tuple[DeferredActions, ...]
    sent_ms: int


@attrs.define
class ReplicaState:
    """What one holder has been sent of one shard."""

    in_flight_by_sequence: dict[int, InFlightMessage] = attrs.field(
        factory=dict
    )
    refreshed_ms: int = 0


class ReplicaSender:
    """Copies the jobs of one owned shard to its holders.

    Parameters
    ----------
    shard : model.ShardId
        The shard.
    epoch : int
        Epoch of its owner.
    jobs_by_id : dict of str to JobRecord
        Its jobs; shared with the owner.
    counter : itertools.count
        Numbers the messages.
    retry_ms : int
        Time after which a copy that is not answered is sent again.
    refresh_ms : int
        Longest time between two messages to a holder.
    """

    def __init__(
        self, *, shard, epoch, jobs_by_id, counter, retry_ms, refresh_ms
    ):
        self._shard = shard
        self._epoch = epoch
        self._jobs_by_id = jobs_by_id
        self._retry_ms = retry_ms
        self._refresh_ms = refresh_ms
        self._counter = counter
        self._replicas_by_id = {}
        self._dirty_by_id = {}
        self._deferred = []
        self._dropped = []
        self._released_actions = []

    def mark_dirty(self, job):
        """A job changed; it is copied with the next flush."""
        self._dirty_by_id[job.spec.job_id] = job

    def is_replicated(self, job_id):
        """Returns whether every change of a job has been answered for."""
        if job_id in self._dirty_by_id:
            return False
        return not any(
            job_id in in_flight.job_ids
            for state in self._replicas_by_id.values()
            for in_flight in state.in_flight_by_sequence.values()
        )

    def defer(self, action):
        """Holds an action back until the present changes are kept."""
        self._deferred.append(action)

    def drop_job(self, job_id):
        """Tells the holders to forget a job."""
        self._dropped.append(job_id)

    def set_replicas(self, vm_ids, now_ms):
        """Copies everything to new holders; forgets those that left."""
        incomplete = []
        for vm_id in tuple(self._replicas_by_id):
            if vm_id not in vm_ids:
                incomplete += self._remove(vm_id)
        new_ids = [
            vm_id for vm_id in vm_ids if vm_id not in self._replicas_by_id
        ]
        for vm_id in new_ids:
            self._replicas_by_id[vm_id] = ReplicaState()
        if not self._replicas_by_id:
            self._release_actions(incomplete)
            return []
        if new_ids:
            for deferred in incomplete:
                deferred.unconfirmed_ids.update(new_ids)
        else:
            self._release_actions(
                [
                    deferred
                    for deferred in incomplete
                    if not deferred.unconfirmed_ids
                ]
            )
        everything = tuple(self._jobs_by_id)
        return [
            self._send(vm_id, everything, tuple(incomplete), now_ms)
            for vm_id in new_ids
        ]

    def on_jobs_kept(self, replica_id, message, now_ms):
        """Takes in `JobsKept`; returns what has to be sent again."""
        state = self._replicas_by_id.get(replica_id)
        if state is None:
            return []
        in_flight = state.in_flight_by_sequence.pop(message.sequence, None)
        if in_flight is None:
            return []
        if message.missing:
            return [
                self._send(
                    replica_id, message.missing, in_flight.deferred, now_ms
                )
            ]
        for deferred in in_flight.deferred:
            deferred.unconfirmed_ids.discard(replica_id)
        self._release_actions(
            [
                deferred
                for deferred in in_flight.deferred
                if not deferred.unconfirmed_ids
            ]
        )
        return []

    @property
    def has_changes(self):
        """Whether `flush` would do more than repeat and refresh."""
        return bool(
            self._dirty_by_id
            or self._deferred
            or self._dropped
            or self._released_actions
        )

    def flush(self, now_ms):
        """Sends what changed, and returns all actions that are due."""
        actions = self._send_changes(now_ms)
        actions += self._resend(now_ms)
        ready, self._released_actions = self._released_actions, []
        return actions + ready

    def _send_changes(self, now_ms):
        if not (self._dirty_by_id or self._deferred or self._dropped):
            return []
        dirty = tuple(self._dirty_by_id.values())
        self._dirty_by_id = {}
        copies, marks = [], []
        for job in dirty:
            base_version = job.version
            job.version += 1
            if job.is_new:
                copies.append(job.copy())
            else:
                marks.append(job.changes_since(base_version))
            job.is_new = False
            job.changed.clear()
        actions, self._deferred = self._deferred, []
        dropped, self._dropped = tuple(self._dropped), []
        deferred = DeferredActions(actions, set(self._replicas_by_id))
        if not self._replicas_by_id:
            self._release_actions([deferred])
            return []
        sequence = next(self._counter)
        message = _peer.KeepJobs(
            self._shard.number,
            self._epoch,
            sequence,
            tuple(copies),
            tuple(marks),
            dropped,
        )
        job_ids = tuple(job.spec.job_id for job in dirty)
        for state in self._replicas_by_id.values():
            state.refreshed_ms = now_ms
            state.in_flight_by_sequence[sequence] = InFlightMessage(
                job_ids, (deferred,), now_ms
            )
        return [
            base.SendToPeer(vm_id, message) for vm_id in self._replicas_by_id
        ]

    def _resend(self, now_ms):
        actions = []
        for vm_id, state in self._replicas_by_id.items():
            in_flight_by_sequence = state.in_flight_by_sequence
            for sequence, in_flight in tuple(in_flight_by_sequence.items()):
                if now_ms - in_flight.sent_ms >= self._retry_ms:
                    del in_flight_by_sequence[sequence]
                    actions.append(
                        self._send(
                            vm_id,
                            in_flight.job_ids,
                            in_flight.deferred,
                            now_ms,
                        )
                    )
            if now_ms - state.refreshed_ms >= self._refresh_ms:
                actions.append(self._send(vm_id, (), (), now_ms))
        return actions

    def _send(self, vm_id, job_ids, deferred, now_ms):
        sequence = next(self._counter)
        present = [job_id for job_id in job_ids if job_id in self._jobs_by_id]
        copies = tuple(self._jobs_by_id[job_id].copy() for job_id in present)
        state = self._replicas_by_id[vm_id]
        state.refreshed_ms = now_ms
        state.in_flight_by_sequence[sequence] = InFlightMessage(
            tuple(present), tuple(deferred), now_ms
        )
        message = _peer.KeepJobs(
            self._shard.number, self._epoch, sequence, copies
        )
        return base.SendToPeer(vm_id, message)

    def _remove(self, vm_id):
        state = self._replicas_by_id.pop(vm_id)
        incomplete = []
        for in_flight in state.in_flight_by_sequence.values():
            for deferred in in_flight.deferred:
                deferred.unconfirmed_ids.discard(vm_id)
                incomplete.append(deferred)
        return incomplete

    def _release_actions(self, confirmed):
        for deferred in confirmed:
            self._released_actions += deferred.actions
            deferred.actions = []
