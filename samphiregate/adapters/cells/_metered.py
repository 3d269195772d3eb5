"""Measures the calls to a store."""

import contextlib
import time

from samphiregate import errors


class MeteredStore:
    """Wraps a store and records its calls; see `_ports.Store`.

    Parameters
    ----------
    store : Store
    record_call : callable
        Takes the call's name, its outcome (``ok``, or an error's code) and
        its duration in seconds.
    """

    def __init__(self, *, store, record_call):
        self._store = store
        self._record_call = record_call

    @contextlib.contextmanager
    def _timed(self, call):
        started_s = time.monotonic()
        outcome = "ok"
        try:
            yield
        except errors.SamphiregateError as error:
            outcome = error.code.value
            raise
        finally:
            self._record_call(call, outcome, time.monotonic() - started_s)

    def get(self, key):
        """See `_ports.Store.get`."""
        with self._timed("get"):
            return self._store.get(key)

    def list(self, prefix):
        """See `_ports.Store.list`."""
        with self._timed("list"):
            return self._store.list(prefix)

    def watch(self, prefix, after_revision, wait_ms):
        """See `_ports.Store.watch`."""
        with self._timed("watch"):
            return self._store.watch(prefix, after_revision, wait_ms)

    def commit(self, *, expected, writes, removals=()):
        """See `_ports.Store.commit`."""
        with self._timed("commit"):
            return self._store.commit(
                expected=expected, writes=writes, removals=removals
            )

    def grant_lease(self, ttl_ms):
        """See `_ports.Store.grant_lease`."""
        with self._timed("grant lease"):
            return self._store.grant_lease(ttl_ms)

    def renew_lease(self, lease_id):
        """See `_ports.Store.renew_lease`."""
        with self._timed("renew lease"):
            self._store.renew_lease(lease_id)

    def end_lease(self, lease_id):
        """See `_ports.Store.end_lease`."""
        with self._timed("end lease"):
            self._store.end_lease(lease_id)
