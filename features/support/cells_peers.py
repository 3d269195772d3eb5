"""Peers of an entry VM that answer with a callable, for tests."""

from samphiregate.adapters.cells import _peer_calls
from samphiregate.adapters import http


def serve(context, answer):
    """Serves requests of other VMs until the scenario ends.

    Parameters
    ----------
    context : behave.runner.Context
    answer : callable
        Takes a message; returns the answer.

    Returns
    -------
    str
        ``ip:port``.
    """
    peers = _make_calls(answer)
    server = http.BoundedServer(
        "127.0.0.1:0", peers.application, limits=http.ProcessLimits().peers
    )
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    return f"127.0.0.1:{server.server_port}"


def make_calls(context):
    """Returns `PeerCalls` to other VMs, closed when the scenario ends."""
    peers = _make_calls(answer=None)
    context.add_cleanup(peers.__exit__)
    return peers


def _make_calls(answer):
    bodies = http.BodyReader(http.ProcessLimits().peers)
    return _peer_calls.PeerCalls(answer=answer, bodies=bodies)
