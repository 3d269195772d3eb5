"""Keys that teams present: making them, and the hash that is kept."""

from samphiregate.keys._keys import hash_key
from samphiregate.keys._keys import KEY_BYTES
from samphiregate.keys._keys import make_key

__all__ = ["KEY_BYTES", "hash_key", "make_key"]
