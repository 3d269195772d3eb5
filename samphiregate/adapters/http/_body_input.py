"""The body of a request as an application reads it, within limits."""

from gevent import pywsgi

BLOCK_BYTES = 16_384


class BodyInput(pywsgi.Input):
    """A body that is never read beyond what is asked for.

    Parameters
    ----------
    given : pywsgi.Input
        Made by the library for the same request.
    on_complete : callable
        Called once the body was read to its end.
    """

    __slots__ = ("_on_complete",)

    def __init__(self, given, *, on_complete):
        super().__init__(
            given.rfile,
            given.content_length,
            socket=given.socket,
            chunked_input=given.chunked_input,
        )
        self._on_complete = on_complete

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
        blocks = []
        while not self.is_complete and length != 0:
            size = BLOCK_BYTES if length is None else min(BLOCK_BYTES, length)
            block = super().read(size)
            blocks.append(block)
            if length is not None:
                length -= len(block)
            if self.is_complete:
                self._on_complete()
        return b"".join(blocks)

    def _discard(self):
        """Leaves the rest unread; the connection is closed instead."""
