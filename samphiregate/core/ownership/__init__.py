"""Which entry VM owns which shard of a data centre, under which epoch."""

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
