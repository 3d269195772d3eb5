"""Age of the configuration on one VM."""


class Freshness:
    """Tracks the age of the configuration and whether the VM is settled.

    The age is the time since the store last confirmed the configuration,
    directly or through peers, or since the start of the VM if that is later.

    Parameters
    ----------
    max_age_ms : int
        Age above which the configuration is expired.
    settle_ms : int
        Time after the start from which the VM counts as settled even if it
        has not caught up with a peer.
    """

    def __init__(self, *, max_age_ms, settle_ms):
        self.max_age_ms = max_age_ms
        self.settle_ms = settle_ms
        self._now_ms = 0
        self._started_ms = None
        self._confirmed_ms = None
        self._caught_up = False

    def update_time(self, now_ms):
        """Updates the current time; ignores a time in the past."""
        self._now_ms = max(now_ms, self._now_ms)

    def start(self):
        """Records the start, which counts as a confirmation.

        A new VM thus has `max_age_ms` to reach the store or a peer.
        """
        self._started_ms = self._confirmed_ms = self._now_ms

    def record_confirmation(self, confirmed_ms):
        """Records that the store confirmed the configuration in the past.

        Has no effect before the start.
        """
        if self._confirmed_ms is not None:
            self._confirmed_ms = max(
                self._confirmed_ms, min(confirmed_ms, self._now_ms)
            )

    def mark_caught_up(self):
        """Records that the VM's revision is at least that of a peer."""
        self._caught_up = True

    @property
    def age_ms(self):
        """Time in ms since the last confirmation; 0 before the start."""
        if self._confirmed_ms is None:
            return 0
        return self._now_ms - self._confirmed_ms

    @property
    def is_expired(self):
        """Whether the configuration is older than `max_age_ms`."""
        return self.age_ms > self.max_age_ms

    @property
    def settled(self):
        """Whether the VM caught up with a peer or waited `settle_ms`."""
        if self._started_ms is None:
            return False
        waited_ms = self._now_ms - self._started_ms
        return self._caught_up or waited_ms >= self.settle_ms
