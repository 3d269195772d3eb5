"""A pooled HTTP client for one endpoint."""

import select
import socket

import attrs
from gevent import monkey
from gevent import queue
from gevent import socket as gevent_socket
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response
import orjson

from samphiregate import errors

MOST_RESENDS = 1
_poll = monkey.get_original("select", "poll")  # does not switch greenlets
READ_BYTES = 65_536


@attrs.frozen
class Answer:
    """A whole HTTP answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict
        Header values by lower-case name.
    body : bytes
        The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Returns the body decoded from JSON."""
        return orjson.loads(self.body)


class Client:
    """Sends requests to one endpoint over pooled connections.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` of the server.
    connections : int
        Connections at a time; further callers wait for one.
    timeout_ms : int
        Longest wait for connecting and for each read.
    connect_timeout_ms : int or None
        Longest wait for connecting, if it is to differ.
    wait_timeout_ms : int or None
        Longest wait for one of the connections to be free; by default there
        is no bound. An order that waits for long is sent when it is not
        wanted any more.
    most_body_bytes : int or None
        Longest answer body that is read; a longer one counts as no whole
        answer.

    Notes
    -----
    A GET or PUT is sent again once when its connection breaks, as a server
    may have closed it while it was idle, and a POST never. Calls that must
    take effect at most once are POSTs.
    """

    def __init__(
        self,
        endpoint,
        *,
        connections=8,
        timeout_ms=5_000,
        connect_timeout_ms=None,
        wait_timeout_ms=None,
        most_body_bytes=None,
    ):
        host, _colon, port = endpoint.rpartition(":")
        self.endpoint = endpoint
        self._most_body_bytes = most_body_bytes
        self._client = geventhttpclient.HTTPClient(host, int(port))
        self._client._connection_pool = _NoDelayPool(
            host,
            int(port),
            host,
            int(port),
            size=connections,
            connection_timeout=(connect_timeout_ms or timeout_ms) / 1000,
            network_timeout=timeout_ms / 1000,
        )
        self._client._connection_pool.wait_timeout_ms = wait_timeout_ms
        # The library sends again up to once more than the pool's size.
        self._client._connection_pool.size = MOST_RESENDS - 1

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Closes every pooled connection."""
        self._client.close()

    def close_idle(self):
        """Closes the connections that no call uses now."""
        self._client._connection_pool.close_idle()

    def request(self, method, path, *, body=b"", headers=None):
        """Sends a request and reads the whole answer.

        Returns
        -------
        Answer

        Raises
        ------
        UnavailableError
            With `Ran.NO` when no connection could be made, and with
            `Ran.UNKNOWN` when the answer did not come or was cut short.
        """
        try:
            response = self._client.request(
                method, path, body=body, headers=headers or {}
            )
            content = self._read(response)
        except _NotConnectedError as error:
            raise errors.UnavailableError(
                f"no connection to {self.endpoint}"
            ) from error
        except (OSError, http_response.HTTPParseError) as error:
            # One silent connection may not be the only one.
            self.close_idle()
            raise errors.UnavailableError(
                f"no whole answer from {self.endpoint}",
                ran=errors.Ran.UNKNOWN,
            ) from error
        received = {name.lower(): value for name, value in response.items()}
        return Answer(response.status_code, received, content)

    def _read(self, response):
        if self._most_body_bytes is None:
            return bytes(response.read())
        content = bytearray()
        while block := response.read(READ_BYTES):
            content += block
            if len(content) > self._most_body_bytes:
                response.release()
                raise http_response.HTTPParseError("the answer is too long")
        return bytes(content)

    def request_json(self, method, path, document, *, headers=None):
        """Sends `document` as JSON; see `request`."""
        sent = {"Content-Type": "application/json", **(headers or {})}
        return self.request(
            method, path, body=orjson.dumps(document), headers=sent
        )


class _NotConnectedError(Exception):
    """No connection could be made, so nothing was sent."""


class _NoDelayPool(connectionpool.ConnectionPool):
    """Connections with TCP_NODELAY that tell a failed connect apart."""

    wait_timeout_ms = None

    def after_connect(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_socket(self):
        """Returns a connection, once one of them is free."""
        if self.wait_timeout_ms is not None:
            wait_s = self.wait_timeout_ms / 1000
            if not self._semaphore.acquire(timeout=wait_s):
                raise _NotConnectedError("no connection is free")
            self._semaphore.release()
        return super().get_socket()

    def _is_socket_alive(self, sock):
        """Whether an idle connection is open and has nothing to read.

        The library asks select(), which fails above 1,023 descriptors.
        """
        if sock is None or sock.fileno() < 0:
            return False
        poller = _poll()
        poller.register(sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def close_idle(self):
        """Closes the connections that no request uses now."""
        while True:
            try:
                self._socket_queue.get(block=False).close()
            except queue.Empty:
                return

    def _resolve(self):
        # Addresses are IP numbers, for which no resolver is asked.
        address = (self._connection_host, self._connection_port)
        stream = gevent_socket.SOCK_STREAM
        return [(gevent_socket.AF_INET, stream, 0, "", address)]

    def _create_socket(self):
        try:
            return super()._create_socket()
        except (OSError, RuntimeError) as error:
            raise _NotConnectedError(str(error)) from error
