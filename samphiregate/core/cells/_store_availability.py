"""Spaces the tries of calls to the store while it does not answer one way.

Answers the load of callers that all wait for a store that is away: without
it each of them would repeat its calls for as long as it waits.
"""

OUTAGE_FAILURE_COUNT = 3  # in series; single calls fail at other times too
PROBE_INTERVAL_MS = 200


class StoreAvailability:
    """Tells whether a call to the store is worth a try.

    Attributes
    ----------
    since_ms : int or None
        When the first failure of the present series was noted.
    """

    def __init__(self):
        self.failing_since_ms = None
        self._failures = 0
        self._last_success_ms = 0
        self._next_probe_ms = 0

    @property
    def is_unavailable(self):
        """Whether the store is taken to be away."""
        return self._failures >= OUTAGE_FAILURE_COUNT

    def may_try(self, now_ms):
        """Whether to call; while the store is away, a probe now and then."""
        if not self.is_unavailable:
            return True
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return True

    def record_failure(self, sent_ms, now_ms):
        """Notes a call that was not answered, or refused.

        One that was sent before the last success tells nothing new.
        """
        if sent_ms < self._last_success_ms:
            return
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        self._failures += 1
        if self._failures == OUTAGE_FAILURE_COUNT:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS

    def record_unavailable(self, now_ms):
        """Notes a failure that by itself tells that the store is away."""
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        self._failures = max(self._failures, OUTAGE_FAILURE_COUNT)

    def record_success(self, now_ms):
        """Notes a call that was answered."""
        self._last_success_ms = now_ms
        self._failures = 0
        self.failing_since_ms = None
