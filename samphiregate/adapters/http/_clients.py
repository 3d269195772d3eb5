"""Clients by address and time-out, made when they are first used."""

import collections

from samphiregate.adapters.http import _client


MOST_CLIENTS = 1_024  # endpoints come and go at ever new addresses


class Clients:
    """Holds a client for each address and time-out; a context manager.

    The ones used last are kept.

    Parameters
    ----------
    connections : int
        Connections at a time of each client.
    connect_timeout_ms : int
        Longest wait for connecting.
    wait_timeout_ms : int or None
        Longest wait for one of them to be free; see `Client`.
    timeout_step_ms : int
        Time-outs are rounded up to a multiple of this, so that varying ones
        share a client.
    most_clients : int
        Clients kept; the idle connections of others are closed.
    """

    def __init__(
        self,
        *,
        connections,
        connect_timeout_ms,
        wait_timeout_ms=None,
        timeout_step_ms=1,
        most_clients=MOST_CLIENTS,
    ):
        self._connections = connections
        self._connect_timeout_ms = connect_timeout_ms
        self._wait_timeout_ms = wait_timeout_ms
        self._timeout_step_ms = timeout_step_ms
        self._most_clients = most_clients
        self._client_by_key = collections.OrderedDict()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for client in self._client_by_key.values():
            client.close()

    def get(self, address, timeout_ms):
        """Returns the `Client` of an address and time-out."""
        step_ms = self._timeout_step_ms
        rounded_ms = -(-timeout_ms // step_ms) * step_ms
        key = (address, rounded_ms)
        client = self._client_by_key.get(key)
        if client is None:
            client = _client.Client(
                address,
                connections=self._connections,
                timeout_ms=rounded_ms,
                connect_timeout_ms=self._connect_timeout_ms,
                wait_timeout_ms=self._wait_timeout_ms,
            )
            self._client_by_key[key] = client
            self._drop_oldest()
        self._client_by_key.move_to_end(key)
        return client

    def _drop_oldest(self):
        """Drops clients above the most; calls on them may still end."""
        while len(self._client_by_key) > self._most_clients:
            _key, client = self._client_by_key.popitem(last=False)
            client.close_idle()
