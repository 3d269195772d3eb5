"""The headers that callers state their wishes in."""

import hashlib

from samphiregate.core import requests
from samphiregate import errors

DEFAULT_DEADLINE_MS = 30_000
MOST_KEY_CHARACTERS = 512
MOST_TYPE_CHARACTERS = 256
BEARER_PREFIX = "bearer "


def key_hash(environ):
    """Returns the hash of the key that came along; empty without one.

    Raises
    ------
    SamphiregateError
        If the header is not a bearer token.
    """
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header:
        return ""
    scheme = header[: len(BEARER_PREFIX)].lower()
    key = header[len(BEARER_PREFIX) :].strip()
    if scheme != BEARER_PREFIX or not 0 < len(key) <= MOST_KEY_CHARACTERS:
        raise errors.SamphiregateError(
            errors.ErrorCode.KEY_REFUSED,
            "Authorization must be: Bearer <key>",
        )
    return hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()


def deadline_ms(environ, longest_ms):
    """Returns the time that the caller gives, in milliseconds.

    Raises
    ------
    BadInputError
        If it is not a whole number up to `longest_ms`.
    """
    text = environ.get("HTTP_SAMPHIREGATE_DEADLINE_MS", "")
    if not text:
        return min(DEFAULT_DEADLINE_MS, longest_ms)
    return _whole_number("Samphiregate-Deadline-Ms", text, longest_ms)


def idempotent(environ):
    """Returns whether the request may be executed more than once."""
    text = environ.get("HTTP_SAMPHIREGATE_IDEMPOTENT", "false").lower()
    if text not in ("true", "false"):
        raise errors.BadInputError(
            "Samphiregate-Idempotent must be true or false"
        )
    return text == "true"


def content_type(environ):
    """Returns the media type of the body.

    Raises
    ------
    BadInputError
        If it could not be passed on as a header.
    """
    text = environ.get("CONTENT_TYPE", "") or requests.BINARY_TYPE
    if len(text) > MOST_TYPE_CHARACTERS or not text.isprintable():
        raise errors.BadInputError("Content-Type is not valid")
    return text


def wait_ms(query, most_ms):
    """Returns the value of ``wait_ms`` in a query; 0 if it is absent."""
    values = query.get("wait_ms", ["0"])
    if values == ["0"]:
        return 0
    return _whole_number("wait_ms", values[-1], most_ms)


def _whole_number(name, text, most):
    small = len(text) <= len(str(most))
    if not (small and text.isascii() and text.isdecimal()):
        raise errors.BadInputError(f"{name} must be a whole number")
    if not 1 <= int(text) <= most:
        raise errors.BadInputError(f"{name} must be from 1 to {most}")
    return int(text)
