"""Retry budgets: retries are bounded by a share of successes."""

import attrs


@attrs.define
class RetryBudget:
    """The retries that one team may still make.

    Parameters
    ----------
    ratio : float
        Retries that each success earns.
    most : float
        Retries that can be saved up; also what a new budget holds.
    """

    ratio: float
    max_saved: float
    saved: float = attrs.field()

    @saved.default
    def _(self):
        return self.max_saved

    def earn(self):
        """Takes in a success."""
        self.saved = min(self.saved + self.ratio, self.max_saved)

    def spend(self):
        """Takes one retry and returns whether there was one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
