"""The callers' HTTP API of an entry VM."""

from samphiregate.adapters.edge._headers import key_hash
from samphiregate.adapters.edge._server import EdgeServer

__all__ = ["EdgeServer", "key_hash"]
