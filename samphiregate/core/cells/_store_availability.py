"""A circuit breaker for calls to the store by one route.

A route is direct, or by another VM.

Without it, every caller that waits for an unavailable store would repeat its
calls for as long as it waits.
"""

OUTAGE_FAILURE_COUNT = 3  # in a row; single calls fail at other times too
PROBE_INTERVAL_MS = 200


class StoreAvailability:
    """Tracks whether the store is available.

    Attributes
    ----------
    failing_since_ms : int or None
        Time of the first failure since the last success; None if there was
        no failure.
    """

    def __init__(self):
        self.failing_since_ms = None
        self._failures = 0
        self._last_success_ms = 0
        self._next_probe_ms = 0

    @property
    def is_unavailable(self):
        """Whether the store is considered unavailable."""
        return self._failures >= OUTAGE_FAILURE_COUNT

    def may_try(self, now_ms):
        """Whether to call the store now.

        While the store is unavailable, allows one probe call every
        `PROBE_INTERVAL_MS`.
        """
        if not self.is_unavailable:
            return True
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def record_failure(self, sent_ms, now_ms):
        """Records a call that was refused or not answered.

        Ignores calls that were sent before the last success.
        """
        if sent_ms < self._last_success_ms:
            return
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        self._failures += 1
        if self._failures == OUTAGE_FAILURE_COUNT:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS

    def record_unavailable(self, now_ms):
        """Records a failure that by itself proves an outage of the store."""
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        self._failures = max(self._failures, OUTAGE_FAILURE_COUNT)

    def record_success(self, now_ms):
        """Records a call that was answered."""
        self._last_success_ms = now_ms
        self._failures = 0
        self.failing_since_ms = None
