"""Replicates the jobs of an owned shard to other entry VMs."""

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _peer


@attrs.define(eq=False)
class DeferredActions:
    """Actions that wait until all replicas have confirmed a change.

    Parameters
    ----------
    actions : list of base.Action
        Released once `unconfirmed_ids` is empty.
    unconfirmed_ids : set of str
        Replicas that have not confirmed the change.
    """

    actions: list[base.Action]
    unconfirmed_ids: set[str]


@attrs.define
class InFlightMessage:
    """A `KeepJobs` message that has not been answered yet.

    Parameters
    ----------
    job_ids : tuple of str
        Jobs that it changes.
    deferred : tuple of DeferredActions
        Actions that wait for its answer.
    sent_ms : int
        When it was sent.
    """

    job_ids: tuple[str, ...]
    deferred: tuple[DeferredActions, ...]
    sent_ms: int


@attrs.define
class ReplicaState:
    """Messages sent to one replica of a shard.

    Parameters
    ----------
    in_flight_by_sequence : dict of int to InFlightMessage
        Unanswered messages.
    last_sent_ms : int
        When the last message was sent.
    """

    in_flight_by_sequence: dict[int, InFlightMessage] = attrs.field(
        factory=dict
    )
    last_sent_ms: int = 0


class ReplicaSender:
    """Replicates the jobs of one owned shard.

    Parameters
    ----------
    shard_id : model.ShardId
        The shard.
    epoch : int
        Epoch under which this entry VM owns the shard.
    jobs_by_id : dict of str to JobRecord
        Jobs of the shard; shared with the `JobOwner`.
    counter : itertools.count
        Numbers the messages.
    retry_ms : int
        Time after which an unanswered message is resent.
    refresh_ms : int
        Maximum time between two messages to a replica.
    """

    def __init__(
        self, *, shard_id, epoch, jobs_by_id, counter, retry_ms, refresh_ms
    ):
        self._shard_id = shard_id
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
        """Marks a changed job, so that the next flush replicates it."""
        self._dirty_by_id[job.spec.job_id] = job

    def is_replicated(self, job_id):
        """Returns whether all changes of a job have been confirmed."""
        if job_id in self._dirty_by_id:
            return False
        return not any(
            job_id in in_flight.job_ids
            for state in self._replicas_by_id.values()
            for in_flight in state.in_flight_by_sequence.values()
        )

    def defer(self, action):
        """Defers an action until the changes so far are replicated."""
        self._deferred.append(action)

    def drop_job(self, job_id):
        """Makes the next flush remove a job from the replicas."""
        self._dropped.append(job_id)

    def set_replicas(self, vm_ids, now_ms):
        """Updates the set of replicas; returns the copies for new ones.

        Actions that wait for a removed replica wait for the new ones
        instead. They are released if no replica is left, or if there is
        no new one and all other replicas have confirmed.
        """
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
        all_job_ids = tuple(self._jobs_by_id)
        return [
            self._send(vm_id, all_job_ids, tuple(incomplete), now_ms)
            for vm_id in new_ids
        ]

    def on_jobs_kept(self, replica_id, message, now_ms):
        """Handles `JobsKept`; returns messages with the missing copies."""
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
        """Whether `flush` would do more than resend and refresh."""
        return bool(
            self._dirty_by_id
            or self._deferred
            or self._dropped
            or self._released_actions
        )

    def flush(self, now_ms):
        """Returns the messages due and the released actions."""
        actions = self._send_changes(now_ms)
        actions += self._resend(now_ms)
        released, self._released_actions = self._released_actions, []
        return actions + released

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
            job.changed_indices.clear()
        actions, self._deferred = self._deferred, []
        dropped, self._dropped = tuple(self._dropped), []
        deferred = DeferredActions(actions, set(self._replicas_by_id))
        if not self._replicas_by_id:
            self._release_actions([deferred])
            return []
        sequence = next(self._counter)
        message = _peer.KeepJobs(
            self._shard_id.number,
            self._epoch,
            sequence,
            tuple(copies),
            tuple(marks),
            dropped,
        )
        job_ids = tuple(job.spec.job_id for job in dirty)
        for state in self._replicas_by_id.values():
            state.last_sent_ms = now_ms
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
                    # Sends complete copies, as the changes were not kept.
                    del in_flight_by_sequence[sequence]
                    actions.append(
                        self._send(
                            vm_id,
                            in_flight.job_ids,
                            in_flight.deferred,
                            now_ms,
                        )
                    )
            if now_ms - state.last_sent_ms >= self._refresh_ms:
                actions.append(self._send(vm_id, (), (), now_ms))
        return actions

    def _send(self, vm_id, job_ids, deferred, now_ms):
        sequence = next(self._counter)
        present = [job_id for job_id in job_ids if job_id in self._jobs_by_id]
        copies = tuple(self._jobs_by_id[job_id].copy() for job_id in present)
        state = self._replicas_by_id[vm_id]
        state.last_sent_ms = now_ms
        state.in_flight_by_sequence[sequence] = InFlightMessage(
            tuple(present), tuple(deferred), now_ms
        )
        message = _peer.KeepJobs(
            self._shard_id.number, self._epoch, sequence, copies
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
