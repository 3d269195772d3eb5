"""A TCP proxy that can hold back all that passes, as a partition does."""

import contextlib
import time

import gevent
from gevent import server
from gevent import socket

POLL_S = 0.01
BLOCK_BYTES = 65_536


class Proxy:
    """Forwards connections to one address; a context manager.

    Parameters
    ----------
    address, target : str
        ``ip:port`` to listen on, and to forward to.
    """

    def __init__(self, address, target):
        host, _colon, port = target.rpartition(":")
        self._target = (host, int(port))
        self._cut_until_s = 0
        listener = (address.rpartition(":")[0], int(address.split(":")[1]))
        self._server = server.StreamServer(listener, self._handle)

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop(timeout=0)

    def cut(self, for_s):
        """Holds back all bytes, both ways, for a time."""
        self._cut_until_s = time.monotonic() + for_s

    def _wait_while_cut(self):
        while time.monotonic() < self._cut_until_s:
            gevent.sleep(POLL_S)

    def _handle(self, client, _address):
        self._wait_while_cut()
        try:
            runner = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        answers = gevent.spawn(self._forward, runner, client)
        self._forward(client, runner)
        answers.join()
        client.close()
        runner.close()

    def _forward(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(BLOCK_BYTES):
                self._wait_while_cut()
                sink.sendall(data)
        for one in (source, sink):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
