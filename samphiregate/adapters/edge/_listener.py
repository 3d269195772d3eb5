"""The listening socket, its connections, and TLS."""

import os
import ssl

import gevent
from gevent import ssl as gevent_ssl

from samphiregate.adapters.edge import _responses
from samphiregate.adapters import http
from samphiregate import errors

BACKLOG = 1_024
HANDSHAKE_TIMEOUT_MS = 10_000


class Listener(http.BoundedServer):
    """The server of callers' connections, with or without TLS."""

    def __init__(
        self, endpoint, application, *, limits, admission, context=None
    ):
        tls = {} if context is None else {"ssl_context": context}
        super().__init__(
            endpoint,
            application,
            limits=limits,
            admission=admission,
            refusal=_responses.unread_problem,
            error_log=None,
            backlog=BACKLOG,
            **tls,
        )

    def wrap_socket_and_handle(self, client_socket, address):
        """Serves a connection under TLS; a bad handshake ends it."""
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_MS / 1000, TimeoutError):
                wrapped = self.wrap_socket(client_socket, **self.ssl_args)
        except OSError:
            client_socket.close()
            return
        try:
            self.handle(wrapped, address)
        finally:
            wrapped.close()


class Certificate:
    """A certificate and its key, read again when the files change.

    Parameters
    ----------
    certificate_file, key_file : str
        Files in PEM format.

    Raises
    ------
    SettingError
        If they can't be read when the process starts.
    """

    def __init__(self, certificate_file, key_file):
        self._files = (certificate_file, key_file)
        self.context = gevent_ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._seen = None
        try:
            self._load()
        except (OSError, ssl.SSLError) as error:
            raise errors.SettingError(
                "tls-certificate", f"can't be read: {error}"
            ) from error

    def refresh(self):
        """Reads the files again if they changed.

        Returns
        -------
        bool
            False if they changed and can't be used; the last good ones then
            stay in use.
        """
        try:
            if self._stamps() != self._seen:
                self._load()
        except (OSError, ssl.SSLError):
            return False
        return True

    def _load(self):
        stamps = self._stamps()
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        trial.load_cert_chain(*self._files)
        self.context.load_cert_chain(*self._files)
        self._seen = stamps

    def _stamps(self):
        found = [os.stat(name) for name in self._files]
        return [(stat.st_mtime_ns, stat.st_size) for stat in found]
