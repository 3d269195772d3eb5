"""Messages in which entry VMs exchange their tables of shard owners."""

import attrs

from samphiregate.core import base


@attrs.frozen
class ShardRecord:
    """Entry of one shard in a table of owners."""

    number: int
    owner: str
    epoch: int


@attrs.frozen
class ShardTableNews(base.PeerMessage):
    """Entries of one data centre's table that the store has accepted."""

    data_centre: str
    records: tuple[ShardRecord, ...] = ()


@attrs.frozen
class TableDigest:
    """Digest of one data centre's table.

    Parameters
    ----------
    epoch_sum : int
        Sum of all epochs, which never falls; digests are compared only for
        equality.
    checksum : int
        32-bit checksum of the entries.
    """

    data_centre: str
    epoch_sum: int
    checksum: int


@attrs.frozen
class ShardTableDigest(base.PeerMessage):
    """Digests of all tables that the sender holds.

    Parameters
    ----------
    answering : bool
        Whether it answers a digest; the recipient then sends none back.
    """

    digests: tuple[TableDigest, ...] = ()
    answering: bool = False
