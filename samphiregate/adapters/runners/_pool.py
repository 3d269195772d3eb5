"""Connections to runners, within a budget for each runner."""

import functools

from samphiregate.adapters import http
from samphiregate.adapters.runners import _link
from samphiregate.core import requests

CONNECT_TIMEOUT_MS = 2_000


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
        most_answer_bytes=4 << 20,
        read_timeout_ms=600_000,
    ):
        self._submit = submit
        self._connections = connections
        self._links_by_key = {}
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
        for link in list(self._links_by_key.values()):
            link.close()

    @functools.singledispatchmethod
    def perform(self, action):
        """Carries out one action; other actions are ignored."""

    @perform.register
    def _(self, action: requests.SendToRunner):
        self._link(action.endpoint, "work", self._connections).put(action)

    @perform.register
    def _(self, action: requests.ProbeRunner):
        self._link(action.endpoint, "probe", 1).put(action)

    def _link(self, endpoint, purpose, connections):
        key = (endpoint, purpose)
        if key not in self._links_by_key:
            self._links_by_key[key] = _link.Link(
                connections=connections,
                open_client=functools.partial(self._open_client, endpoint),
                submit=self._submit,
                on_idle=functools.partial(self._links_by_key.pop, key, None),
            )
        return self._links_by_key[key]
