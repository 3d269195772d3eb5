"""Reads and writes the store by way of another VM where need be.

The store may turn this VM away, or be cut off from it, and serve others. A
repeated write either takes effect once, or finds that the first one did, so
that it does not matter by which way it goes.
"""

from samphiregate.adapters.cells import _ports
from samphiregate.core import cells
from samphiregate import errors

RELAY_TIMEOUT_MS = 1_000
RETRY_AFTER_MS = 1_000


class StoreRelay:
    """Calls the store directly or by way of a peer, as worked last.

    Parameters
    ----------
    store : Store
    peers : PeerCalls
    other_addresses : callable
        Returns the addresses of other VMs, the owner's first.
    renewed_ms : callable
        Returns when this VM's lease was last renewed, by a direct call.
    now_ms : callable
    log : DecisionLog
    """

    def __init__(
        self, *, store, peers, other_addresses, renewed_ms, now_ms, log
    ):
        self._store = store
        self._peers = peers
        self._other_addresses = other_addresses
        self._renewed_ms = renewed_ms
        self._now_ms = now_ms
        self._log = log
        self._direct_failed_ms = None
        self._failed_relays = 0
        self._outage = cells.OutageMeter()

    def write(self, expected, write):
        """Writes a key; raises as `Store.commit` does.

        While neither way works most calls fail at once: `UnavailableError`
        with `retry_after_ms`, and nothing was done.
        """
        self._call(
            lambda: self._store.commit(expected=expected, writes=[write]),
            lambda addresses: self._relay_write(addresses, expected, write),
        )

    def read(self, key):
        """Reads a key; raises as `Store.get` and `write` do."""
        return self._call(
            lambda: self._store.get(key),
            lambda addresses: self._relay_read(addresses, key),
        )

    def _call(self, direct, relayed):
        """Goes the way that did not fail last."""
        sent_ms = self._now_ms()
        if not self._outage.may_try(sent_ms):
            raise errors.UnavailableError(
                f"the store is away for {sent_ms - self._outage.since_ms} ms",
                retry_after_ms=RETRY_AFTER_MS,
            )
        addresses = self._other_addresses() if self._direct_fails else ()
        goes_directly = not addresses
        try:
            result = direct() if goes_directly else relayed(addresses)
        except _ports.ConflictError:
            self._note_success()
            raise
        except errors.UnavailableError as error:
            self._direct_failed_ms = sent_ms if goes_directly else None
            self._failed_relays += not goes_directly
            self._note_failure(sent_ms, error)
            raise
        self._note_success()
        return result

    @property
    def _direct_fails(self):
        """Whether the store has not served this VM since it failed."""
        failed_ms = self._direct_failed_ms
        return failed_ms is not None and self._renewed_ms() <= failed_ms

    def _note_failure(self, sent_ms, error):
        was_away = self._outage.is_away
        self._outage.note_failure(sent_ms, self._now_ms())
        if self._outage.is_away and not was_away:
            self._log.write("store lost", reason=error.detail)

    def _note_success(self):
        now_ms = self._now_ms()
        if self._outage.is_away:
            away_ms = now_ms - self._outage.since_ms
            self._log.write("store regained", away_ms=away_ms)
        self._outage.note_success(now_ms)

    def _ask_peer(self, addresses, message):
        """Asks another VM, a different one after each failure."""
        address = addresses[self._failed_relays % len(addresses)]
        return self._peers.call(address, message, RELAY_TIMEOUT_MS)

    def _relay_write(self, addresses, expected, write):
        message = cells.RelayWrite(
            write.key, write.value, tuple(expected.items())
        )
        answer = self._ask_peer(addresses, message)
        if not isinstance(answer, cells.WriteWas):
            raise errors.UnavailableError(
                "another VM did not write", ran=errors.Ran.UNKNOWN
            )
        if not answer.done:
            raise _ports.ConflictError(dict(answer.revisions))

    def _relay_read(self, addresses, key):
        answer = self._ask_peer(addresses, cells.RelayRead(key))
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
