"""A WSGI server that bounds what its clients may use."""

from samphiregate.adapters.http import _admission
from samphiregate.adapters.http import _handler
from samphiregate.adapters.http import _server

ACCEPTS_IN_A_ROW = 8


def plain_refusal(status):
    """Returns a whole answer without a body; it closes the connection.

    Parameters
    ----------
    status : str
        Status code and reason phrase.
    """
    lines = [f"HTTP/1.1 {status}", "Connection: close", "Content-Length: 0"]
    if status == _handler.UNAVAILABLE:
        lines.append("Retry-After: 1")
    return "\r\n".join([*lines, "", ""]).encode()


class BoundedServer(_server.NoDelayServer):
    """A WSGI server that keeps to `ServerLimits`.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` to listen on; port 0 takes a free one.
    application : callable
        The WSGI application; it reads bodies by a `BodyReader`.
    limits : ServerLimits
    admission : Admission or None
        Made of the limits by default.
    refusal : callable
        Takes a status; returns the answer to a request that can't be read.

    Attributes
    ----------
    admission : Admission
        Holds the open connections.
    closes_after_answer : bool
        Whether a connection is closed once its requests are answered; set it
        so that clients go elsewhere.
    is_draining : bool
        Whether connections without a request are closed.
    """

    handler_class = _handler.BoundedHandler
    max_accept = ACCEPTS_IN_A_ROW

    def __init__(
        self,
        endpoint,
        application,
        *,
        limits,
        admission=None,
        refusal=plain_refusal,
        **kwargs,
    ):
        super().__init__(endpoint, application, **kwargs)
        self.limits = limits
        self.refusal = refusal
        self.admission = (
            _admission.Admission(limits) if admission is None else admission
        )
        self.closes_after_answer = False
        self.is_draining = False
