"""Forwards TCP connections and delays, silences or cuts them on demand."""

import attrs
import gevent
from gevent import server
from gevent import socket

CHUNK_BYTES = 65_536
POLL_S = 0.01


@attrs.define
class Faults:
    """What the proxy does to the bytes that it forwards.

    Parameters
    ----------
    delay_ms : int
        Added to each chunk, in both directions.
    silent_to_server, silent_to_client : bool
        Take bytes and pass none on, for connections that are open now or
        later, until set back; the bytes are lost.
    refuse : bool
        Close new connections at once.
    """

    delay_ms: int = 0
    silent_to_server: bool = False
    silent_to_client: bool = False
    refuse: bool = False


@attrs.define(eq=False)
class _Connection:
    client: object
    upstream: object
    silent: bool = False

    def close(self):
        for sock in (self.client, self.upstream):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


class FaultProxy:
    """A proxy in front of one endpoint; a context manager.

    Parameters
    ----------
    target : str
        ``ip:port`` that connections are forwarded to.
    listen : str
        ``ip:port`` to listen on; port 0 takes a free one.
    """

    def __init__(self, target, *, listen="127.0.0.1:0"):
        self.target = target
        self.faults = Faults()
        self._connections = set()
        host, _colon, port = listen.rpartition(":")
        self._server = server.StreamServer((host, int(port)), self._accept)

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop()
        self.cut()

    @property
    def endpoint(self):
        """The ``ip:port`` that the proxy listens on."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def cut(self):
        """Closes every open connection."""
        for connection in tuple(self._connections):
            connection.close()

    def silence_open_connections(self):
        """Makes the connections open now silent for good."""
        for connection in self._connections:
            connection.silent = True

    def _accept(self, client, _address):
        if self.faults.refuse:
            client.close()
            return
        host, _colon, port = self.target.rpartition(":")
        try:
            upstream = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            client.close()
            return
        upstream.settimeout(None)
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._forward(_Connection(client, upstream))

    def _forward(self, connection):
        self._connections.add(connection)
        pumps = [
            gevent.spawn(self._pump, connection, True),
            gevent.spawn(self._pump, connection, False),
        ]
        try:
            gevent.joinall(pumps, count=1)
        finally:
            connection.close()
            gevent.killall(pumps)
            self._connections.discard(connection)

    def _pump(self, connection, to_server):
        ends = (connection.client, connection.upstream)
        source, sink = ends if to_server else reversed(ends)
        try:
            while chunk := source.recv(CHUNK_BYTES):
                if self.faults.delay_ms:
                    gevent.sleep(self.faults.delay_ms / 1000)
                if not self._is_silent(connection, to_server):
                    sink.sendall(chunk)
            while self._is_silent(connection, to_server):
                gevent.sleep(POLL_S)
        except OSError:
            pass

    def _is_silent(self, connection, to_server):
        silent = self.faults.silent_to_client
        if to_server:
            silent = self.faults.silent_to_server
        return connection.silent or silent
