"""Connections to runners, within a budget for each runner."""

import functools

import gevent
from gevent import queue as gevent_queue

from samphiregate.adapters import http
from samphiregate.adapters.runners import _exchange
from samphiregate.core import requests

CONNECT_TIMEOUT_MS = 2_000
IDLE_MS = 30_000
PROBE_TIMEOUT_MS = 2_000


class RunnerPool:
    """Carries `SendToRunner` and `ProbeRunner` actions out.

    Each `SendToRunner` is sent at most once, and ends in exactly one
    `RunnerAnswered` or `RunnerFailed`; each `ProbeRunner` ends in one
    `RunnerProbed`.

    Parameters
    ----------
    submit : callable
        Takes each event.
    connections : int
        Connections to each runner at a time, beside one for probes.
    most_answer_bytes : int
        Longest answer body that is read.
    read_timeout_ms : int
        Longest wait for more of an answer; deadlines are apart from it.
    """

    def __init__(
        self,
        *,
        submit,
        connections=8,
        most_answer_bytes=8 << 20,
        read_timeout_ms=600_000,
    ):
        self._submit = submit
        self._connections = connections
        self._links_by_endpoint = {}
        self._open_client = functools.partial(
            http.Client,
            connections=1,
            timeout_ms=read_timeout_ms,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            most_body_bytes=most_answer_bytes,
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Ends every connection; attempts under way get no event."""
        for links in self._links_by_endpoint.values():
            for link in links:
                link.close()
        self._links_by_endpoint.clear()

    @functools.singledispatchmethod
    def perform(self, action):
        """Carries out one action; other actions are ignored."""

    @perform.register
    def _(self, action: requests.SendToRunner):
        self._links(action.endpoint)[0].put(action)

    @perform.register
    def _(self, action: requests.ProbeRunner):
        self._links(action.endpoint)[1].put(action)

    def _links(self, endpoint):
        links = self._links_by_endpoint.get(endpoint)
        if links is None:
            links = (
                _Link(self._connections, self._serve_work(endpoint)),
                _Link(1, self._serve_probe(endpoint)),
            )
            self._links_by_endpoint[endpoint] = links
        return links

    def _serve_work(self, endpoint):
        def serve(client, action):
            self._submit(_exchange.execute(client, action))

        return _Connection(functools.partial(self._open_client, endpoint), serve)

    def _serve_probe(self, endpoint):
        def serve(client, action):
            self._submit(_exchange.probe(client, action, PROBE_TIMEOUT_MS))

        return _Connection(functools.partial(self._open_client, endpoint), serve)
