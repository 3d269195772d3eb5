"""Shards, the unit of ownership by entry VMs."""

import attrs
import xxhash


@attrs.frozen(order=True)
class ShardId:
    """A fixed partition of one data centre's workers, runners and jobs.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    number : int
        Index of the shard, from 0 to `shard_count` - 1.
    """

    data_centre: str
    number: int


def shard_of(item_id, data_centre, shard_count):
    """Returns the shard of a worker, runner or job.

    Parameters
    ----------
    item_id : str
        Id of the worker, runner or job.
    data_centre : str
        Data centre of the worker, runner or job.
    shard_count : int
        Number of shards in each data centre; must be the same on every
        entry VM.

    Returns
    -------
    ShardId
    """
    number = xxhash.xxh64_intdigest(item_id.encode()) % shard_count
    return ShardId(data_centre, number)
