"""The connections to one runner, each served by one greenlet."""

import gevent
from gevent import queue as gevent_queue

from samphiregate.adapters.runners import _exchange
from samphiregate import timers

IDLE_MS = 30_000


class Link:
    """Carries actions to one runner over a few connections.

    A greenlet is started for each connection when there is work for it, and
    ends after a time without work.

    Parameters
    ----------
    connections : int
        Connections at a time; further actions wait for one.
    open_client : callable
        Returns a new client of one connection.
    submit : callable
        Takes the event that each action ends in.
    on_idle : callable
        Called when the last connection has ended.
    """

    def __init__(self, *, connections, open_client, submit, on_idle):
        self._connections = connections
        self._open_client = open_client
        self._submit = submit
        self._on_idle = on_idle
        self._waiting = gevent_queue.SimpleQueue()
        self._idle = 0
        self._greenlets = set()

    def put(self, action):
        """Sends an action as soon as a connection is free."""
        self._waiting.put((action, timers.monotonic_ms()))
        busy = self._waiting.qsize() > self._idle
        if busy and len(self._greenlets) < self._connections:
            greenlet = gevent.spawn(self._serve)
            self._greenlets.add(greenlet)
            greenlet.link(self._ended)

    def close(self):
        """Ends every connection at once."""
        gevent.killall(list(self._greenlets))

    def _serve(self):
        client = self._open_client()
        try:
            while (entry := self._next()) is not None:
                action, put_ms = entry
                waited_ms = timers.monotonic_ms() - put_ms
                event = _exchange.carry_out(action, client, waited_ms)
                if not _exchange.is_whole(event):
                    client.close()
                    client = self._open_client()
                self._submit(event)
        finally:
            client.close()

    def _next(self):
        self._idle += 1
        try:
            return self._waiting.get(timeout=IDLE_MS / 1000)
        except gevent_queue.Empty:
            return None
        finally:
            self._idle -= 1

    def _ended(self, greenlet):
        self._greenlets.discard(greenlet)
        if not self._greenlets and not self._waiting.qsize():
            self._on_idle()
