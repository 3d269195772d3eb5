"""Reads and writes of the ledger in the store."""

import attrs

from samphiregate.core.limits import _ledger
from samphiregate.core import store

KEY = "limits/apportionment"
CALL_TIMEOUT_MS = 10_000
MIN_BACKOFF_MS = 300
MAX_BACKOFF_MS = 5_000


@attrs.define
class _Write:
    """A compare-and-swap whose outcome is not known yet."""

    expected_version: int
    value: bytes
    changes: _ledger.LedgerChanges
    debits: dict


class LedgerClient:
    """Reads and changes the ledger for one epoch of a granting VM.

    Parameters
    ----------
    data_centre : str
        Data centre of the granting VM.
    epoch : int
        Epoch of the granting VM.
    call_ids : iterator of int
        Source of call ids that are unique on this VM.
    random_state : random.Random
        Source of randomness.
    write_period_ms : int
        Minimum time between two writes.

    Attributes
    ----------
    ledger_ : Ledger or None
        Ledger as last read from or written to the store.
    version_ : int
        Store version of `ledger_`.
    read_ms_ : int or None
        When `ledger_` was last read or written.
    claimed_ : bool
        Whether the ledger contains this epoch, so that no write of an
        earlier one can still take effect.
    confirmed_ : bool
        Whether the store was read since `require_confirmation` was last
        called.
    superseded_ : bool
        Whether the ledger contains a higher epoch.
    is_first_claim_ : bool
        Whether no earlier epoch had claimed the data centre's tokens.
    tokens_at_claim_by_team_ : dict
        Tokens of the data centre when the ledger was claimed.

    Notes
    -----
    A write with an unknown outcome is settled once the store returns a
    higher version: either it has taken effect by then or it never will.
    Until then its debits stay reserved.
    """

    def __init__(
        self, *, data_centre, epoch, call_ids, random_state, write_period_ms
    ):
        self.data_centre = data_centre
        self.epoch = epoch
        self.call_ids = call_ids
        self.random_state = random_state
        self.write_period_ms = write_period_ms
        self.ledger_ = None
        self.version_ = 0
        self.read_ms_ = None
        self.claimed_ = False
        self.confirmed_ = True
        self.superseded_ = False
        self.is_first_claim_ = False
        self.tokens_at_claim_by_team_ = {}
        self.write_count_ = 0
        self._tokens_by_team = {}
        self._write = None
        self._call_id = None
        self._call_is_write = False
        self._call_sent_ms = 0
        self._next_write_ms = 0
        self._retry_ms = 0
        self._backoff_ms = 0
        self._must_read = True

    def tokens(self, team):
        """Returns the data centre's tokens; 0 before the claim."""
        return self._tokens_by_team.get(team, 0)

    def reserved(self, team):
        """Returns the tokens that an unsettled write may have debited."""
        if self._write is None:
            return 0
        return self._write.debits.get(team, 0)

    @property
    def settled(self):
        """Whether the outcome of every write is known."""
        return self._write is None

    def may_write(self, now_ms):
        """Returns whether a new write can be sent now."""
        idle = self._call_id is None and self._write is None
        due = not self.claimed_ or now_ms >= self._next_write_ms
        return idle and due and now_ms >= self._retry_ms

    def teams(self):
        """Returns the teams that have tokens in this data centre."""
        return set(self._tokens_by_team)

    @property
    def may_grant(self):
        """Whether no higher epoch was read and no confirmation is pending."""
        return self.confirmed_ and not self.superseded_

    def require_confirmation(self):
        """Suspends grants until the store has been read again."""
        self.confirmed_ = False
        self._call_id = None
        self._must_read = True

    def request_read(self):
        """Reads the ledger as soon as possible."""
        self._must_read = True

    def start_due_call(
        self, changes, revision, limit_by_team, now_ms, actions
    ):
        """Starts the call that is due, if any.

        Parameters
        ----------
        changes : LedgerChanges
            Changes to write; the debited tokens must not be in use.
        revision : int
            Configuration revision.
        limit_by_team : dict
            Limits in that revision.
        now_ms : int
            Time in milliseconds.
        actions : list of Action
            List to which the call is appended.
        """
        if self.superseded_ or now_ms < self._retry_ms:
            return
        if self._call_id is not None:
            if now_ms - self._call_sent_ms < CALL_TIMEOUT_MS:
                return
            self._call_id = None
            self._must_read = True
        if self._must_read or self.ledger_ is None:
            self._begin_call(False, now_ms)
            actions.append(store.ReadKey(self._call_id, KEY))
        elif self._write is not None:
            self._send_write(now_ms, actions)
        elif not self.claimed_ or (changes and now_ms >= self._next_write_ms):
            self._prepare(changes, revision, limit_by_team)
            self._next_write_ms = now_ms + self.write_period_ms
            self._send_write(now_ms, actions)

    def on_answer(self, event, now_ms):
        """Handles a `StoreAnswered`; returns changes that took effect.

        Returns
        -------
        LedgerChanges or None
        """
        if event.key != KEY or event.call_id != self._call_id:
            return None
        self._call_id = None
        was_write = self._call_is_write
        outcome = event.outcome
        if outcome is store.StoreOutcome.OK:
            self._backoff_ms = 0
            return self._on_ok(event, was_write, now_ms)
        self._back_off(now_ms)
        if outcome is store.StoreOutcome.CONFLICT and event.value:
            self._apply_ledger(event.version, event.value, now_ms)
        else:
            self._must_read = True
        return None

    def _on_ok(self, event, was_write, now_ms):
        if not was_write:
            self._must_read = False
            self.confirmed_ = True
            self._apply_ledger(event.version, event.value, now_ms)
            return None
        write = self._write
        self._apply_ledger(event.version, write.value, now_ms)
        return write.changes

    def _apply_ledger(self, version, value, now_ms):
        """Applies a ledger and its version as received from the store."""
        if self.ledger_ is not None and version < self.version_:
            self._must_read = True
            self._back_off(now_ms)
            return
        ledger = _ledger.decode(value)
        self.version_ = version
        self.ledger_ = ledger
        self.read_ms_ = now_ms
        stored_epoch = ledger.epoch_by_centre.get(self.data_centre, 0)
        if stored_epoch > self.epoch:
            self.superseded_ = True
            return
        write = self._write
        if write is not None:
            if version <= write.expected_version:
                return
            self._write = None
        if stored_epoch == self.epoch:
            self._tokens_by_team = self._own_tokens(ledger)
            if not self.claimed_:
                self.claimed_ = True

    def _own_tokens(self, ledger):
        return {
            team: tokens[self.data_centre]
            for team, tokens in ledger.tokens_by_team.items()
            if tokens.get(self.data_centre, 0)
        }

    def _prepare(self, changes, revision, limit_by_team):
        if not self.claimed_:
            epochs = self.ledger_.epoch_by_centre
            self.is_first_claim_ = self.data_centre not in epochs
            before = self._own_tokens(self.ledger_)
            self.tokens_at_claim_by_team_ = before
        ledger = _ledger.apply(
            self.ledger_,
            changes,
            data_centre=self.data_centre,
            epoch=self.epoch,
            revision=revision,
            limit_by_team=limit_by_team,
        )
        self._write = _Write(
            expected_version=self.version_,
            value=_ledger.encode(ledger),
            changes=changes,
            debits=changes.debits(),
        )

    def _send_write(self, now_ms, actions):
        self._begin_call(True, now_ms)
        self.write_count_ += 1
        actions.append(
            store.CompareAndSwap(
                self._call_id,
                KEY,
                self._write.expected_version,
                self._write.value,
            )
        )

    def _begin_call(self, is_write, now_ms):
        self._call_id = next(self.call_ids)
        self._call_is_write = is_write
        self._call_sent_ms = now_ms

    def _back_off(self, now_ms):
        doubled = max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(doubled, MAX_BACKOFF_MS)
        jitter = self.random_state.uniform(0.5, 1.0)
        self._retry_ms = now_ms + int(self._backoff_ms * jitter)
