"""Soft copies of jobs, kept for the owners of their shards."""

import attrs

from samphiregate.core.jobs import _peer
from samphiregate.core import model


@attrs.define
class ShardReplica:
    """Copies of one shard's jobs, kept for its owner.

    Parameters
    ----------
    epoch : int
        Lowest epoch whose copies are still taken.
    """

    epoch: int = 0
    refreshed_ms: int = 0
    copies_by_id: dict[str, _peer.JobCopy] = attrs.field(factory=dict)


class ReplicaStore:
    """Keeps copies for the owners of shards.

    Parameters
    ----------
    data_centre : str
        Data centre of the shards.
    """

    def __init__(self, *, data_centre):
        self._data_centre = data_centre
        self.shards_by_id_ = {}

    def keep(self, message, now_ms):
        """Takes copies in; returns `JobsKept`, or None from a stale owner."""
        kept = self._replica_of(message.shard_number)
        if message.epoch < kept.epoch:
            return None
        kept.epoch = message.epoch
        kept.refreshed_ms = now_ms
        for copy in message.copies:
            self._take(kept, copy)
        missing = [
            marks.job_id for marks in message.marks if not _apply(kept, marks)
        ]
        for job_id in message.dropped:
            kept.copies_by_id.pop(job_id, None)
        return _peer.JobsKept(
            message.shard_number,
            message.epoch,
            message.sequence,
            tuple(missing),
        )

    def tell(self, message):
        """Returns the copies of a shard, or None to a stale owner."""
        kept = self._replica_of(message.shard_number)
        if message.epoch < kept.epoch:
            return None
        kept.epoch = message.epoch
        copies = tuple(kept.copies_by_id.values())
        return _peer.JobsOfShard(message.shard_number, message.epoch, copies)

    def release(self, shard):
        """Returns and forgets the copies of a shard."""
        kept = self.shards_by_id_.pop(shard, None)
        return tuple(kept.copies_by_id.values()) if kept else ()

    def hold(self, shard, epoch, copies, now_ms):
        """Keeps copies of a shard that this entry VM has owned."""
        kept = self._replica_of(shard.number)
        kept.epoch = max(kept.epoch, epoch)
        kept.refreshed_ms = now_ms
        for copy in copies:
            self._take(kept, copy)

    def expire(self, shard):
        """Drops the copies of a shard that another entry VM keeps."""
        kept = self.shards_by_id_.get(shard)
        if kept is not None:
            kept.copies_by_id.clear()

    def _replica_of(self, number):
        shard = model.ShardId(self._data_centre, number)
        return self.shards_by_id_.setdefault(shard, ShardReplica())

    @staticmethod
    def _take(kept, copy):
        known = kept.copies_by_id.get(copy.spec.job_id)
        if known is None or known.version <= copy.version:
            kept.copies_by_id[copy.spec.job_id] = copy


def _apply(kept, marks):
    """Returns whether the copy is now at least at the marks' version."""
    copy = kept.copies_by_id.get(marks.job_id)
    if copy is None:
        return False
    if copy.version >= marks.version:
        return True
    if copy.version != marks.base_version:
        return False
    by_index = {mark.index: mark for mark in copy.marks}
    by_index.update((mark.index, mark) for mark in marks.marks)
    kept.copies_by_id[marks.job_id] = attrs.evolve(
        copy,
        version=marks.version,
        cancelled=marks.cancelled,
        marks=tuple(by_index.values()),
    )
    return True
