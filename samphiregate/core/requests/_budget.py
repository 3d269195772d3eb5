"""Retry budgets, which limit retries to a share of the successes."""

import attrs


@attrs.define
class RetryBudget:
    """The retries that one team may still make.

    Parameters
    ----------
    ratio : float
        Retries that each success adds.
    max_available : float
        Maximum number of available retries, and the initial number.
    """

    ratio: float
    max_available: float
    available: float = attrs.field()

    @available.default
    def _(self):
        return self.max_available

    def earn(self):
        """Adds the retries that one success earns."""
        self.available = min(self.available + self.ratio, self.max_available)

    def spend(self):
        """Uses one retry and returns whether one was available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
