"""Reads and writes the store by way of another VM where need be.

The store may turn this VM away, or be cut off from it, and serve others. A
repeated write either takes effect once, or finds that the first one did, so
that it does not matter by which way it goes.
"""

from samphiregate.adapters.cells import _ports
from samphiregate.core import cells
from samphiregate import errors

RELAY_TIMEOUT_MS = 1_000


class StoreRelay:
    """Calls the store, by turns directly and by way of a peer.

    Parameters
    ----------
    store : Store
    peers : PeerCalls
    peer_address : callable
        Returns the address of a VM that probably reaches the store, or
        None.
    """

    def __init__(self, *, store, peers, peer_address):
        self._store = store
        self._peers = peers
        self._peer_address = peer_address
        self._direct_fails = False

    def write(self, expected, write):
        """Writes a key; raises as `Store.commit` does."""
        self._by_turns(
            lambda: self._store.commit(expected=expected, writes=[write]),
            lambda: self._relay_write(expected, write),
        )

    def read(self, key):
        """Reads a key; raises as `Store.get` does."""
        return self._by_turns(
            lambda: self._store.get(key), lambda: self._relay_read(key)
        )

    def _by_turns(self, direct, relayed):
        """Goes the way that did not fail last."""
        if self._direct_fails:
            self._direct_fails = False
            result = relayed()
            self._direct_fails = True
            return result
        try:
            return direct()
        except errors.UnavailableError:
            self._direct_fails = True
            raise

    def _call(self, message):
        address = self._peer_address()
        if address is None:
            raise errors.UnavailableError("no other VM can be asked")
        return self._peers.call(address, message, RELAY_TIMEOUT_MS)

    def _relay_write(self, expected, write):
        message = cells.RelayWrite(
            write.key, write.value, tuple(expected.items())
        )
        answer = self._call(message)
        if not isinstance(answer, cells.WriteWas):
            raise errors.UnavailableError(
                "another VM did not write", ran=errors.Ran.UNKNOWN
            )
        if not answer.done:
            raise _ports.ConflictError(dict(answer.revisions))

    def _relay_read(self, key):
        answer = self._call(cells.RelayRead(key))
        if not isinstance(answer, cells.ItemIs):
            raise errors.UnavailableError("another VM did not read")
        if not answer.revision:
            return None
        return _ports.StoreItem(
            answer.key, answer.value, answer.revision, answer.created_revision
        )

    # For other VMs

    def answer_write(self, message):
        """Answers `RelayWrite`."""
        write = _ports.StoreWrite(message.key, message.value)
        try:
            self._store.commit(expected=dict(message.expected), writes=[write])
        except _ports.ConflictError as error:
            rows = tuple(error.revision_by_key.items())
            return cells.WriteWas(False, rows)
        return cells.WriteWas(True)

    def answer_read(self, message):
        """Answers `RelayRead`."""
        item = self._store.get(message.key)
        if item is None:
            return cells.ItemIs(message.key, b"", 0, 0)
        return cells.ItemIs(
            item.key, item.value, item.revision, item.created_revision
        )
