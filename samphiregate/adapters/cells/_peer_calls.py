"""Requests between entry VMs, over HTTP."""

from gevent import socket

from samphiregate.adapters import http
from samphiregate.adapters import peers
from samphiregate import errors

PATH = "/peer"
RAN_HEADER = "Samphiregate-Ran"
MAX_CONNECTIONS = 16
CONNECT_TIMEOUT_MS = 500
READ_TIMEOUT_MS = 1_000


class UnexpectedAnswerError(errors.SamphiregateError):
    """A peer sent an answer of an unexpected type."""

    def __init__(self, answer):
        super().__init__(
            errors.ErrorCode.UNAVAILABLE,
            f"unexpected answer from the peer: {answer!r}",
        )


class PeerCalls:
    """Sends requests to other entry VMs; a context manager.

    Parameters
    ----------
    answer : callable
        Takes a message that another VM sent; returns the answer.
    bodies : BodyReader
        Reads the messages of other VMs.
    """

    def __init__(self, *, answer, bodies):
        self._answer = answer
        self._bodies = bodies
        self._clients = http.Clients(
            connections=MAX_CONNECTIONS,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            timeout_step_ms=READ_TIMEOUT_MS,
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._clients.__exit__()

    def call(self, address, message, timeout_ms=READ_TIMEOUT_MS):
        """Sends a request to the VM at an address.

        Returns
        -------
        PeerMessage

        Raises
        ------
        UnavailableError
            When there was no complete answer in time, or the peer failed;
            for a failed peer, `ran` is `NO` only if the peer reported that.
        """
        client = self._clients.get(address, timeout_ms)
        answer = client.request(
            "POST", PATH, body=peers.encode_message(message)
        )
        if answer.status != 200:
            ran = answer.headers.get(RAN_HEADER.lower())
            raise errors.UnavailableError(
                f"{address} answered with status {answer.status}",
                ran=errors.Ran.NO
                if ran == errors.Ran.NO.value
                else errors.Ran.UNKNOWN,
            )
        return peers.decode_message(answer.body)

    def refuses_connections(self, address):
        """Whether a connection to an address is refused at once."""
        host, _colon, port = address.rpartition(":")
        try:
            connection = socket.create_connection(
                (host, int(port)), timeout=CONNECT_TIMEOUT_MS / 1000
            )
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        connection.close()
        return False

    def application(self, environ, start_response):
        """Serves requests of other VMs, as a WSGI application."""
        try:
            body = self._bodies.read(environ)
            answer = self._answer(peers.decode_message(body))
        except errors.SamphiregateError as error:
            headers = [(RAN_HEADER, error.ran.value)]
            start_response("503 Service Unavailable", headers)
            return [error.detail.encode()]
        data = peers.encode_message(answer)
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]
