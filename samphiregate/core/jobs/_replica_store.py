"""In-memory replicas of the job shards that other entry VMs own."""

import attrs

from samphiregate.core.jobs import _peer
from samphiregate.core import model


@attrs.define
class ShardReplica:
    """Replica of one shard.

    Parameters
    ----------
    epoch : int
        Lowest epoch whose messages are still accepted.
    refreshed_ms : int
        When the last `KeepJobs` was accepted, or this VM lost the shard.
    copies_by_id : dict of str to JobCopy
        Copies of the shard's jobs.
    """

    epoch: int = 0
    refreshed_ms: int = 0
    copies_by_id: dict[str, _peer.JobCopy] = attrs.field(factory=dict)


class ReplicaStore:
    """Stores replicas of shards for their owners.

    Parameters
    ----------
    data_centre : str
        Data centre of the shards.
    """

    def __init__(self, *, data_centre):
        self._data_centre = data_centre
        self.replicas_by_shard_ = {}

    def store(self, message, now_ms):
        """Applies `KeepJobs`; returns `JobsKept`, or None to a stale owner."""
        replica = self._replica_of(message.shard_number)
        if message.epoch < replica.epoch:
            return None
        replica.epoch = message.epoch
        replica.refreshed_ms = now_ms
        for copy in message.copies:
            self._store_unless_older(replica, copy)
        missing = [
            marks.job_id
            for marks in message.marks
            if not _apply_marks(replica, marks)
        ]
        for job_id in message.dropped:
            replica.copies_by_id.pop(job_id, None)
        return _peer.JobsKept(
            message.shard_number,
            message.epoch,
            message.sequence,
            tuple(missing),
        )

    def read_copies(self, message):
        """Answers `AskForJobs` with the copies, or None to a stale owner."""
        replica = self._replica_of(message.shard_number)
        if message.epoch < replica.epoch:
            return None
        replica.epoch = message.epoch
        copies = tuple(replica.copies_by_id.values())
        return _peer.JobsOfShard(message.shard_number, message.epoch, copies)

    def pop_copies(self, shard_id):
        """Returns the copies of a shard and removes its replica."""
        replica = self.replicas_by_shard_.pop(shard_id, None)
        return tuple(replica.copies_by_id.values()) if replica else ()

    def store_own_copies(self, shard_id, epoch, copies, now_ms):
        """Stores the copies of a shard that this entry VM owned until now."""
        replica = self._replica_of(shard_id.number)
        replica.epoch = max(replica.epoch, epoch)
        replica.refreshed_ms = now_ms
        for copy in copies:
            self._store_unless_older(replica, copy)

    def drop_copies(self, shard_id):
        """Drops the copies of a shard, but keeps its lowest epoch."""
        replica = self.replicas_by_shard_.get(shard_id)
        if replica is not None:
            replica.copies_by_id.clear()

    def _replica_of(self, number):
        shard_id = model.ShardId(self._data_centre, number)
        return self.replicas_by_shard_.setdefault(shard_id, ShardReplica())

    @staticmethod
    def _store_unless_older(replica, copy):
        stored = replica.copies_by_id.get(copy.spec.job_id)
        if stored is None or stored.version <= copy.version:
            replica.copies_by_id[copy.spec.job_id] = copy


def _apply_marks(replica, marks):
    """Applies changed marks to the stored copy of a job.

    Returns whether the copy is then at the marks' version or above; if not,
    the replica needs the whole copy.
    """
    copy = replica.copies_by_id.get(marks.job_id)
    if copy is None:
        return False
    if copy.version >= marks.version:
        return True
    if copy.version != marks.base_version:
        return False
    by_index = {mark.index: mark for mark in copy.marks}
    by_index.update((mark.index, mark) for mark in marks.marks)
    replica.copies_by_id[marks.job_id] = attrs.evolve(
        copy,
        version=marks.version,
        cancelled=marks.cancelled,
        marks=tuple(by_index.values()),
    )
    return True
