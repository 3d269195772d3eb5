"""Disables single guards, to show that the fault matrix detects it."""

import contextlib
from unittest import mock

from samphiregate.core.limits import _account
from samphiregate.core.limits import _granter
from samphiregate.core.limits import _holder
from samphiregate.core.limits import _holding
from samphiregate.core.limits import _ledger
from samphiregate.core.limits import _ledger_client
from samphiregate.core.membership import _view
from samphiregate.core.ownership import _ownership
from samphiregate.core.ownership import _table

FENCING = "worker refuses older epochs"


@contextlib.contextmanager
def disabled(guard):
    """Runs a block with one guard disabled; with none if it is empty."""
    with contextlib.ExitStack() as stack:
        if guard and guard != FENCING:
            for target, name, value in PATCHES_BY_GUARD[guard]:
                patch = mock.patch.object(target, name, new=value)
                stack.enter_context(patch)
        yield


def _newer_if_different(self, entry_by_number):
    return {
        number: entry
        for number, entry in entry_by_number.items()
        if entry != self.entry(number)
    }


def _propose_and_act(original):
    def propose(self, moves, now_ms, actions):
        original(self, moves, now_ms, actions)
        self._apply_entries(self._table, self._call.proposal, now_ms, actions)

    return propose


def _apply_grant_without_total(self, line):
    self.held += line.granted
    self.granted = line.granted
    self.recalled = max(self.recalled, line.recalled)
    self.return_due_tokens()


def _return_without_debit(self, count):
    count = max(0, min(count, self.idle))
    self.returned += count
    return count


def _reserve_nothing(self, team):
    return 0


def _audit_at_once(self, now_ms):
    self.audited_ = self.ledger.claimed_


def _release_at_once(self, team, now_ms, units=1):
    self.release(team, now_ms, units)


def _apply_without_limit(original):
    def apply(ledger, changes, *, limit_by_team, **others):
        unlimited = dict.fromkeys(changes.acquired_by_team, 10**6)
        return original(ledger, changes, limit_by_team=unlimited, **others)

    return apply


def _keep_all(self):
    """Keeps all tokens, including those that no running work uses."""


def _no_refutation(self, update, actions):
    """Leaves the suspicion of others unrefuted."""


def _held(self):
    return self.held


def _acquire_shortage(self, team, now_ms):
    return self._shortage_by_team.get(team, 0)


def _no_isolation(self, now_ms):
    """Uses tokens however long no message is received."""


def _no_reduction(self, team):
    return 0


def _no_drop(self, actions):
    """Keeps the shards that were owned before the pause."""


PATCHES_BY_GUARD = {
    "only a higher epoch replaces an entry": [
        (_table.ShardTable, "newer_entries", _newer_if_different),
    ],
    "an entry takes effect once the store has it": [
        (
            _ownership.Ownership,
            "_propose",
            _propose_and_act(_ownership.Ownership._propose),
        ),
    ],
    "shards are dropped after a pause": [
        (_ownership.Ownership, "_drop_all", _no_drop),
    ],
    "a VM refutes its own death": [
        (_view.MembershipView, "refute", _no_refutation),
    ],
    "grants are running totals": [
        (_holding.Holding, "apply_grant", _apply_grant_without_total),
    ],
    "tokens are debited before they move": [
        (_holding.Holding, "return_idle", _return_without_debit),
    ],
    "an unclear write stays reserved until settled": [
        (_ledger_client.LedgerClient, "reserved", _reserve_nothing),
    ],
    "unreported tokens wait for reports and the lapse": [
        (_granter.TokenGranter, "_audit", _audit_at_once),
    ],
    "tokens of handed-over work stay reserved": [
        (_holder.TokenHolder, "hand_over", _release_at_once),
    ],
    "work found running is booked": [
        (_account.TeamAccount, "allocated", property(_held)),
        (_account.TeamAccount, "overdraft", 0),
    ],
    "the ledger never exceeds a limit": [
        (_ledger, "apply", _apply_without_limit(_ledger.apply)),
        (_granter.TokenGranter, "_acquirable", _acquire_shortage),
    ],
    "a lowered limit removes tokens": [
        (_granter.TokenGranter, "_reduction", _no_reduction)
    ],
    "idle tokens are dropped after a pause": [
        (_holding.Holding, "drop_idle", _keep_all),
    ],
    "an isolated VM uses no tokens": [
        (_holder.TokenHolder, "_check_isolation", _no_isolation),
    ],
}
GUARDS = (FENCING, *PATCHES_BY_GUARD)
