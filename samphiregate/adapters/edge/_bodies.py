"""Bodies of callers' requests, read within bounds."""

import contextlib

import gevent

from samphiregate import errors

READ_BYTES = 65_536

_Code = errors.ErrorCode


class BodyReader:
    """Reads bodies within a bound of each and of all together.

    Parameters
    ----------
    most_body_bytes : int
        Longest body.
    most_reading_bytes : int
        Bytes of all bodies that are being read.
    timeout_ms : int
        Longest time for reading one body.
    """

    def __init__(self, *, most_body_bytes, most_reading_bytes, timeout_ms):
        self.most_body_bytes = most_body_bytes
        self.most_reading_bytes = most_reading_bytes
        self.timeout_ms = timeout_ms
        self.bytes_being_read = 0

    def read(self, environ):
        """Returns the whole body of a request.

        Raises
        ------
        SamphiregateError
            If it is too long, cut short, too slow, or not valid.
        """
        length = _declared_length(environ)
        if length is not None and length > self.most_body_bytes:
            raise self._too_large()
        if length == 0:
            return b""
        with self._reservation(length or self.most_body_bytes):
            return self._read_in_time(environ["wsgi.input"])

    def _read_in_time(self, source):
        try:
            with gevent.Timeout(self.timeout_ms / 1000):
                return self._read_all(source)
        except gevent.Timeout as error:
            raise errors.SamphiregateError(
                _Code.TIMEOUT, "the body came too slowly"
            ) from error
        except OSError as error:
            raise errors.BadInputError(
                "the body was cut short or is not valid"
            ) from error

    def _read_all(self, source):
        blocks = []
        size = 0
        while block := source.read(READ_BYTES):
            size += len(block)
            if size > self.most_body_bytes:
                raise self._too_large()
            blocks.append(block)
        return b"".join(blocks)

    @contextlib.contextmanager
    def _reservation(self, size):
        if self.bytes_being_read + size > self.most_reading_bytes:
            raise errors.SamphiregateError(
                _Code.OVERLOADED,
                "too many bodies are being read",
                retry_after_ms=1_000,
            )
        self.bytes_being_read += size
        try:
            yield
        finally:
            self.bytes_being_read -= size

    def _too_large(self):
        return errors.SamphiregateError(
            _Code.BODY_TOO_LARGE,
            f"a body may have {self.most_body_bytes} bytes",
        )


def _declared_length(environ):
    """Returns the length in bytes, or None for a chunked body."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return None
    text = environ.get("CONTENT_LENGTH", "0") or "0"
    if not text.isdecimal():
        raise errors.BadInputError("Content-Length is not a whole number")
    return int(text)
