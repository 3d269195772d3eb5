"""Resource usage of each client account, compared with its limit."""

import collections

from samphiregate.core.cells import _work


class AccountLimits:
    """Tracks the resources that each account may use in a cell.

    Counts all runs that may exist, over all endpoints.
    """

    def __init__(self):
        self._used_by_account = collections.defaultdict(
            lambda: _work.ZERO_RESOURCES
        )
        self._limit_by_account = {}

    def set_accounts(self, accounts):
        """Sets the limits from the accounts of a configuration."""
        self._limit_by_account = {
            account.name: account.cap for account in accounts
        }

    def used(self, account):
        """Returns the resources of an account's runs."""
        return self._used_by_account[account]

    def allows(self, account, demand, limit_share=1.0):
        """Whether an account may use this much more.

        Parameters
        ----------
        account : str
        demand : Resources
        limit_share : float
            Share of the limit that may be used.
        """
        cap = self._limit_by_account.get(account)
        if cap is None:
            return True
        total = self._used_by_account[account] + demand
        return (
            _within(total.cpu_millis, cap.cpu_millis * limit_share)
            and _within(total.memory_mb, cap.memory_mb * limit_share)
            and _within(total.gpus, cap.gpus * limit_share)
        )

    def add(self, account, demand):
        """Adds the resources of a run."""
        if account:
            self._used_by_account[account] += demand

    def remove(self, account, demand):
        """Removes the resources of a run."""
        if account:
            self._used_by_account[account] -= demand


def _within(total, limit):
    return not limit or total <= limit
