"""Ownership of the shards of a data centre by entry VMs, under epochs."""

from samphiregate.core.ownership._messages import ShardRecord
from samphiregate.core.ownership._messages import ShardTableDigest
from samphiregate.core.ownership._messages import ShardTableNews
from samphiregate.core.ownership._messages import TableDigest
from samphiregate.core.ownership._ownership import Ownership
from samphiregate.core.ownership._rendezvous import Rendezvous

__all__ = [
    "Ownership",
    "Rendezvous",
    "ShardRecord",
    "ShardTableDigest",
    "ShardTableNews",
    "TableDigest",
]
