"""How often one entry VM may call the platform."""


class CallBudget:
    """A token bucket, and a backoff that grows with each failure.

    Parameters
    ----------
    calls_per_second : float
        Sustained rate.
    burst : int
        Calls that may be made at once after a quiet time.
    backoff_min_ms, backoff_max_ms : int
        Bounds of the time without calls after a failure.
    random_state : random.Random
        Source of the jitter.
    """

    def __init__(
        self,
        *,
        random_state,
        calls_per_second=5.0,
        burst=20,
        backoff_min_ms=100,
        backoff_max_ms=5_000,
    ):
        self.calls_per_second = calls_per_second
        self.burst = burst
        self.backoff_min_ms = backoff_min_ms
        self.backoff_max_ms = backoff_max_ms
        self._random = random_state
        self._tokens = float(burst)
        self._filled_ms = None
        self._backoff_ms = 0
        self._open_ms = 0

    def reserve(self, now_ms):
        """Takes one call and returns the time to wait before it, in ms."""
        self._fill(now_ms)
        self._tokens -= 1
        if self._tokens >= 0:
            return 0
        return round(-self._tokens * 1_000 / self.calls_per_second)

    def give_back(self):
        """Returns a call that was reserved and not made."""
        self._tokens += 1

    def backoff_left_ms(self, now_ms):
        """Returns the time until calls make sense again after a failure."""
        return max(self._open_ms - now_ms, 0)

    def succeeded(self):
        """Ends the backoff."""
        self._backoff_ms = 0
        self._open_ms = 0

    def failed(self, now_ms):
        """Starts the backoff, or prolongs it if it had run out.

        Failures of calls that were under way together count as one.
        """
        if now_ms < self._open_ms:
            return
        self._backoff_ms = min(
            max(2 * self._backoff_ms, self.backoff_min_ms),
            self.backoff_max_ms,
        )
        jitter = self._random.uniform(0.5, 1.0)
        self._open_ms = now_ms + round(self._backoff_ms * jitter)

    def _fill(self, now_ms):
        if self._filled_ms is not None:
            passed_ms = max(now_ms - self._filled_ms, 0)
            gained = passed_ms * self.calls_per_second / 1_000
            self._tokens = min(self._tokens + gained, float(self.burst))
        self._filled_ms = now_ms
