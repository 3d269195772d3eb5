"""Messages by which entry VMs tell each other who owns which shard."""

import attrs

from samphiregate.core import base


@attrs.frozen
class ShardRecord:
    """One line of a table of owners."""

    number: int
    owner: str
    epoch: int


@attrs.frozen
class ShardTableNews(base.PeerMessage):
    """Entries of one data centre's table that took effect in the store."""

    data_centre: str
    records: tuple[ShardRecord, ...] = ()


@attrs.frozen
class TableDigest:
    """Sums up one data centre's table.

    Parameters
    ----------
    epoch_sum : int
        Sum of all epochs; it only rises.
    checksum : int
        32-bit checksum of the entries.
    """

    data_centre: str
    epoch_sum: int
    checksum: int


@attrs.frozen
class ShardTableDigest(base.PeerMessage):
    """Sums up every table that the sender knows.

    Parameters
    ----------
    answering : bool
        Whether it answers a digest, so that no further one is sent.
    """

    digests: tuple[TableDigest, ...] = ()
    answering: bool = False
