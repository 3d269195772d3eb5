"""The body of a request as an application reads it, within limits."""

from gevent import pywsgi

from samphiregate.adapters.http import _reader

BLOCK_BYTES = 16_384


class FramingTooLargeError(ValueError):
    """The chunks of a body add too much to it."""


class BodyInput(pywsgi.Input):
    """A body that is never read beyond what is asked for.

    Parameters
    ----------
    given : pywsgi.Input
        Made by the library for the same request.
    max_framing_bytes : int
        What chunks may add to the body.
    on_complete : callable
        Called once the body was read to its end.
    """

    __slots__ = (
        "_max_framing_bytes",
        "_on_complete",
        "_received",
        "_returned",
    )

    def __init__(self, given, *, max_framing_bytes, on_complete):
        super().__init__(
            given.rfile,
            given.content_length,
            socket=given.socket,
            chunked_input=given.chunked_input,
        )
        self._max_framing_bytes = max_framing_bytes
        self._on_complete = on_complete
        self._received = 0
        self._returned = 0

    @property
    def is_complete(self):
        """Whether the body was read to its end; so is one that is absent."""
        if self.chunked_input:
            return self.chunk_length == 0 and not self._chunked_input_error
        return not self.bytes_left

    @property
    def bytes_left(self):
        """Bytes of a body with a declared length that were not read."""
        if self.chunked_input:
            return 0
        return (self.content_length or 0) - self.position

    def read(self, length=None):
        """Reads up to `length` bytes, all of them by default."""
        if length is not None and length < 0:
            length = None
        was_complete = self.is_complete
        blocks = []
        while not self.is_complete and length != 0:
            size = BLOCK_BYTES if length is None else min(BLOCK_BYTES, length)
            block = super().read(size)
            if not block:
                break  # it ended in an error before, or with the last chunk
            self._returned += len(block)
            blocks.append(block)
            if length is not None:
                length -= len(block)
        if self.is_complete and not was_complete:
            self._on_complete()
        return b"".join(blocks)

    def note_received(self, count):
        """Notes that `count` bytes were received while it is read.

        Raises
        ------
        FramingTooLargeError
            If the chunks add too much to what has been read.
        """
        if not self.chunked_input or self.is_complete:
            return
        self._received += count
        ahead = BLOCK_BYTES + _reader.BUFFER_BYTES
        framing = self._received - self._returned - ahead
        if framing > self._max_framing_bytes:
            self._chunked_input_error = True
            raise FramingTooLargeError("the chunks of the body are too small")

    def _discard(self):
        """Leaves the rest unread; the connection is closed instead."""
