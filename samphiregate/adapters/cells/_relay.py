"""Reads and writes the store, through another VM if necessary.

The store may refuse this VM or be unreachable from it, and still serve other
VMs. A retried write either takes effect once, or finds that the first one
did, so it may take another path than the first.
"""

import attrs

from samphiregate.adapters.cells import _ports
from samphiregate.core import cells
from samphiregate import errors

RELAY_TIMEOUT_MS = 1_000
RETRY_AFTER_MS = 1_000


class StoreUnavailableError(errors.UnavailableError):
    """The store is unavailable on every path, so nothing was sent."""

    def __init__(self, unavailable_ms):
        super().__init__(
            f"the store has been unavailable for {unavailable_ms} ms",
            retry_after_ms=RETRY_AFTER_MS,
        )


@attrs.define(eq=False)
class _StorePath:
    """A path to the store: direct, or through another VM."""

    name: str
    availability: cells.StoreAvailability = attrs.field(
        factory=cells.StoreAvailability
    )


class StoreRelay:
    """Calls the store directly, or through a peer if that fails.

    Parameters
    ----------
    store : Store
    peers : PeerCalls
    other_addresses : callable
        Returns the addresses of other VMs, the owner's first.
    now_ms : callable
    log : DecisionLog
    """

    def __init__(self, *, store, peers, other_addresses, now_ms, log):
        self._store = store
        self._peers = peers
        self._other_addresses = other_addresses
        self._now_ms = now_ms
        self._log = log
        self._direct = _StorePath("direct")
        self._relayed = _StorePath("by another VM")
        self._failed_relays = 0

    def write(self, expected, write):
        """Writes a key; also raises what `Store.commit` raises.

        Raises
        ------
        StoreUnavailableError
            When neither path works; nothing was sent.
        """
        self._call(
            lambda: self._store.commit(expected=expected, writes=[write]),
            lambda addresses: self._relay_write(addresses, expected, write),
        )

    def read(self, key):
        """Reads a key; raises what `Store.get` and `write` raise."""
        return self._call(
            lambda: self._store.get(key),
            lambda addresses: self._relay_read(addresses, key),
        )

    def record_renewal(self, succeeded):
        """Records whether the store renewed this VM's lease."""
        now_ms = self._now_ms()
        if succeeded:
            self._record_success(self._direct, now_ms)
        elif not self._direct.availability.is_unavailable:
            self._direct.availability.record_unavailable(now_ms)
            self._log.write("store lost", way=self._direct.name)

    def _call(self, direct, relayed):
        """Calls the store directly if that works, else through another VM."""
        sent_ms = self._now_ms()
        path, addresses = self._choose_path(sent_ms)
        if path is None:
            unavailable_ms = (
                sent_ms - self._direct.availability.failing_since_ms
            )
            raise StoreUnavailableError(unavailable_ms)
        try:
            result = direct() if path is self._direct else relayed(addresses)
        except (_ports.ConflictError, _ports.RejectedWriteError):
            self._record_success(path, self._now_ms())
            raise
        except errors.UnavailableError as error:
            self._record_failure(path, sent_ms, error)
            raise
        self._record_success(path, self._now_ms())
        return result

    def _choose_path(self, now_ms):
        """Returns the path to use, or None, and addresses for relaying.

        An unavailable direct path is not probed here: a renewal of the lease
        shows when it works again.
        """
        if self._direct.availability.failing_since_ms is None:
            return self._direct, ()
        addresses = self._other_addresses()
        paths = []
        if not self._direct.availability.is_unavailable:
            paths.append(self._direct)
        if addresses:
            paths.append(self._relayed)
        paths.sort(
            key=lambda path: path.availability.failing_since_ms is not None
        )
        for path in paths:
            if path.availability.may_try(now_ms):
                return path, addresses
        return None, ()

    def _record_failure(self, path, sent_ms, error):
        if path is self._relayed:
            self._failed_relays += 1
        was_unavailable = path.availability.is_unavailable
        path.availability.record_failure(sent_ms, self._now_ms())
        if path.availability.is_unavailable and not was_unavailable:
            self._log.write("store lost", way=path.name, reason=error.detail)

    def _record_success(self, path, now_ms):
        if path.availability.is_unavailable:
            unavailable_ms = now_ms - path.availability.failing_since_ms
            self._log.write(
                "store regained", way=path.name, away_ms=unavailable_ms
            )
        path.availability.record_success(now_ms)

    def _call_peer(self, addresses, message):
        """Calls another VM, a different one after each failure."""
        address = addresses[self._failed_relays % len(addresses)]
        return self._peers.call(address, message, RELAY_TIMEOUT_MS)

    def _relay_write(self, addresses, expected, write):
        message = cells.RelayWrite(
            write.key, write.value, tuple(expected.items())
        )
        answer = self._call_peer(addresses, message)
        if not isinstance(answer, cells.WriteWas):
            raise errors.UnavailableError(
                "the other VM did not confirm the write",
                ran=errors.Ran.UNKNOWN,
            )
        if not answer.done:
            raise _ports.ConflictError(dict(answer.revisions))

    def _relay_read(self, addresses, key):
        answer = self._call_peer(addresses, cells.RelayRead(key))
        if not isinstance(answer, cells.ItemIs):
            raise errors.UnavailableError(
                "the other VM did not return the item"
            )
        if not answer.revision:
            return None
        return _ports.StoreItem(
            answer.key, answer.value, answer.revision, answer.created_revision
        )

    # Requests of other VMs

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
