"""Random keys and their hashes."""

import base64
import hashlib
import secrets

from samphiregate.core import model

KEY_BYTES = 32
KEY_ID_BYTES = 6
KEY_PREFIX = "sgk_"


def make_key(team):
    """Makes a key of 256 random bits.

    Parameters
    ----------
    team : str
        Team that the key stands for.

    Returns
    -------
    tuple of str and KeyRecord
        The key, which is kept nowhere, and the record with its hash.

    Notes
    -----
    A plain hash is enough: nobody can guess 256 random bits, so that a
    slow or salted hash would cost time at each request and add nothing.
    """
    random_bits = secrets.token_bytes(KEY_BYTES)
    encoded = base64.urlsafe_b64encode(random_bits).rstrip(b"=")
    key = KEY_PREFIX + encoded.decode("ascii")
    record = model.KeyRecord(
        key_hash=hash_key(key),
        key_id=secrets.token_hex(KEY_ID_BYTES),
        team=team,
    )
    return key, record


def hash_key(key):
    """Returns the hexadecimal SHA-256 of a key, as `KeyRecord` holds it."""
    return hashlib.sha256(key.encode("utf-8")).hexdigest()
