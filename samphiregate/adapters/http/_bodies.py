"""Whole bodies of requests, read within limits."""

import gevent

from samphiregate.adapters.http import _admission
from samphiregate.adapters.http import _body_input
from samphiregate.adapters.http import _reader
from samphiregate import errors

RETRY_MS = 1_000
MOST_LENGTH_DIGITS = 12

_Code = errors.ErrorCode
_Reason = _admission.Reason


class BodyReader:
    """Reads bodies; tells callers why one was refused.

    Parameters
    ----------
    limits : ServerLimits
    note : callable
        Takes the `Reason` of each refusal.
    """

    def __init__(self, limits, note=lambda reason: None):
        self.limits = limits
        self._note = note

    def read(self, environ):
        """Returns the whole body of a request.

        Raises
        ------
        SamphiregateError
            If it is too long, cut short, too slow, or not valid. The
            request has not run.
        """
        length = _declared_length(environ)
        if length is not None and length > self.limits.max_body_bytes:
            raise self._too_large(_Reason.BODY)
        if length == 0:
            return b""
        body = self._read_in_time(environ["wsgi.input"])
        if len(body) > self.limits.max_body_bytes:
            raise self._too_large(_Reason.BODY)
        return body

    def _read_in_time(self, source):
        timeout_s = self.limits.body_timeout_ms / 1000
        try:
            with gevent.Timeout(timeout_s, TimeoutError):
                return source.read(self.limits.max_body_bytes + 1)
        except TimeoutError as error:
            self._note(_Reason.SLOW_BODY)
            raise errors.SamphiregateError(
                _Code.TIMEOUT, "the body came too slowly"
            ) from error
        except _reader.GaveWayError as error:
            raise errors.SamphiregateError(
                _Code.OVERLOADED,
                "too many large requests are being read",
                retry_after_ms=RETRY_MS,
            ) from error
        except _body_input.FramingTooLargeError as error:
            raise self._too_large(_Reason.FRAMING) from error
        except OSError as error:
            raise errors.BadInputError(
                "the body was cut short or is not valid"
            ) from error

    def _too_large(self, reason):
        self._note(reason)
        return errors.SamphiregateError(
            _Code.BODY_TOO_LARGE,
            f"a body may have {self.limits.max_body_bytes} bytes, "
            f"and {self.limits.max_framing_bytes} more for chunks",
        )


def _declared_length(environ):
    """Returns the length in bytes, or None for a chunked body."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return None
    text = environ.get("CONTENT_LENGTH") or "0"
    digits = text.isascii() and text.isdecimal()
    if not digits or len(text) > MOST_LENGTH_DIGITS:
        raise errors.BadInputError("Content-Length is not a whole number")
    return int(text)
