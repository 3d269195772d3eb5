"""How fresh the news of one VM is, and whether it may judge keys."""


class Freshness:
    """Keeps the times at which a VM started and last had news.

    Parameters
    ----------
    valid_without_news_ms : int
        Time without news after which the VM counts as cut off.
    settle_ms : int
        Time after the start at which the VM counts as settled anyhow.
    """

    def __init__(self, *, max_age_ms, settle_ms):
        self.max_age_ms = max_age_ms
        self.settle_ms = settle_ms
        self._now_ms = 0
        self._started_ms = None
        self._fresh_ms = None
        self._caught_up = False

    def update_time(self, now_ms):
        """Takes the present time; an earlier one than before is ignored."""
        self._now_ms = max(now_ms, self._now_ms)

    def start(self):
        """Notes the start; the VM counts as having news from then on."""
        self._started_ms = self._fresh_ms = self._now_ms

    def record_fresh(self, fresh_ms):
        """Notes that the news was fresh at a time, which may be past."""
        if self._fresh_ms is not None:
            self._fresh_ms = max(self._fresh_ms, min(fresh_ms, self._now_ms))

    def mark_caught_up(self):
        """Notes that the VM has a revision no lower than a peer's."""
        self._caught_up = True

    @property
    def age_ms(self):
        """Time since the news was fresh; 0 before the start."""
        if self._fresh_ms is None:
            return 0
        return self._now_ms - self._fresh_ms

    @property
    def cut_off(self):
        """Whether the VM has been without news for too long."""
        return self.age_ms > self.max_age_ms

    @property
    def settled(self):
        """Whether the VM is past the doubts of its start."""
        if self._started_ms is None:
            return False
        waited_ms = self._now_ms - self._started_ms
        return self._caught_up or waited_ms >= self.settle_ms
