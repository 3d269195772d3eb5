"""Shards: the unit in which ownership moves between entry VMs."""

import attrs
import xxhash


@attrs.frozen(order=True)
class ShardId:
    """A fixed part of one data centre's workers, runners and jobs.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    number : int
        From 0 to the data centre's shard count less one.
    """

    data_centre: str
    number: int


def shard_of(item_id, data_centre, shard_count):
    """Returns the shard that a worker, runner or job belongs to.

    Parameters
    ----------
    item_id : str
        Id of the worker, runner or job.
    data_centre : str
        Its data centre.
    shard_count : int
        Shards in each data centre; the same on every entry VM.

    Returns
    -------
    ShardId
    """
    number = xxhash.xxh64_intdigest(item_id.encode()) % shard_count
    return ShardId(data_centre, number)
