"""What each client account has running, against its upper limit."""

import collections

from samphiregate.core.cells import _work


class AccountLimits:
    """Counts what may run for each account over all endpoints of a cell."""

    def __init__(self):
        self._used_by_account = collections.defaultdict(
            lambda: _work.ZERO_RESOURCES
        )
        self._limit_by_account = {}

    def set_accounts(self, accounts):
        """Takes the accounts of a configuration."""
        self._limit_by_account = {
            account.name: account.cap for account in accounts
        }

    def used(self, account):
        """Returns what an account has running."""
        return self._used_by_account[account]

    def allows(self, account, demand, share=1.0):
        """Whether an account may have this much more running.

        Parameters
        ----------
        account : str
        demand : Resources
        share : float
            Part of the limit that may be used.
        """
        cap = self._limit_by_account.get(account)
        if cap is None:
            return True
        total = self._used_by_account[account] + demand
        return (
            _within(total.cpu_millis, cap.cpu_millis * share)
            and _within(total.memory_mb, cap.memory_mb * share)
            and _within(total.gpus, cap.gpus * share)
        )

    def add(self, account, demand):
        """Counts a run."""
        if account:
            self._used_by_account[account] += demand

    def remove(self, account, demand):
        """Stops counting a run."""
        if account:
            self._used_by_account[account] -= demand


def _within(total, limit):
    return not limit or total <= limit
