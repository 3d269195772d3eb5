"""The platform's balancer: takes the entry VMs that say they are ready."""

import gevent

from samphiregate.adapters import http
from samphiregate import errors

CLIENT_CONNECTIONS = 4_000
CLIENT_TIMEOUT_MS = 60_000
PROBE_TIMEOUT_MS = 500
PROBE_PERIOD_S = 0.2


class Balancer:
    """Hands out clients of ready entry VMs in turn; a context manager.

    Parameters
    ----------
    endpoints : callable
        Returns the ``ip:port`` of each entry VM that exists now.
    """

    def __init__(self, endpoints):
        self._endpoints = endpoints
        self._clients_by_endpoint = {}
        self._ready = []
        self._turn = 0
        self._prober = None

    def __enter__(self):
        self.probe()
        self._prober = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._prober.kill()
        for client in self._clients_by_endpoint.values():
            client.close()

    def next_client(self):
        """Returns a client of the next ready VM; None if there is none."""
        if not self._ready:
            return None
        self._turn += 1
        return self._ready[self._turn % len(self._ready)]

    def probe(self):
        """Asks every VM whether it is ready."""
        endpoints = list(self._endpoints())
        answers = [gevent.spawn(_is_ready, one) for one in endpoints]
        gevent.joinall(answers)
        self._ready = [
            self._client_of(endpoint)
            for endpoint, answer in zip(endpoints, answers)
            if answer.value
        ]

    def _run(self):
        while True:
            gevent.sleep(PROBE_PERIOD_S)
            self.probe()

    def _client_of(self, endpoint):
        if endpoint not in self._clients_by_endpoint:
            self._clients_by_endpoint[endpoint] = http.Client(
                endpoint,
                connections=CLIENT_CONNECTIONS,
                timeout_ms=CLIENT_TIMEOUT_MS,
            )
        return self._clients_by_endpoint[endpoint]


def _is_ready(endpoint):
    try:
        with http.Client(endpoint, timeout_ms=PROBE_TIMEOUT_MS) as client:
            return client.request("GET", "/ready").status == 200
    except errors.UnavailableError:
        return False
