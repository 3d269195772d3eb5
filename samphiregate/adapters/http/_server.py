"""A WSGI server whose connections send small answers at once."""

import socket

from gevent import pywsgi


class NoDelayServer(pywsgi.WSGIServer):
    """A gevent WSGI server with TCP_NODELAY on each accepted socket.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` to listen on; port 0 takes a free one.
    application : callable
        The WSGI application.
    """

    def __init__(self, endpoint, application, **kwargs):
        host, _colon, port = endpoint.rpartition(":")
        kwargs.setdefault("log", None)
        super().__init__((host, int(port)), application, **kwargs)

    def wrap_socket_and_handle(self, client_socket, address):
        """Sets TCP_NODELAY, then serves a connection under TLS."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return super().wrap_socket_and_handle(client_socket, address)

    def handle(self, client_socket, address):
        """Sets TCP_NODELAY, then serves a connection."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return super().handle(client_socket, address)
