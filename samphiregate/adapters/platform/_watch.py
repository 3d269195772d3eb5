"""One watch on a key, kept up over failures."""

from samphiregate.core import store

WATCH_INTERVAL_MS = 250


class Watch:
    """Waits at the platform for one key, again and again.

    Parameters
    ----------
    key : str
        The key.
    call : callable
        Makes one waiting call: ``call(after_version)`` gives a
        `StoreResult`.
    deliver : callable
        Takes each `KeyChanged`.
    spawn_after : callable
        ``spawn_after(delay_ms, callback)`` runs the callback on a greenlet.
    budget : CallBudget
        Bounds the calls.
    clock_ms : callable
        Returns the time in milliseconds.
    """

    def __init__(self, *, key, call, deliver, spawn_after, budget, clock_ms):
        self.key = key
        self.active = True
        self._call = call
        self._deliver = deliver
        self._spawn_after = spawn_after
        self._budget = budget
        self._clock_ms = clock_ms
        self._version = None

    def start(self):
        """Makes the first call as soon as the budget allows."""
        self._schedule(0)

    def stop(self):
        """Ends the watch; what a call under way brings is dropped."""
        self.active = False

    def _schedule(self, delay_ms):
        now_ms = self._clock_ms()
        wait_ms = max(delay_ms, self._budget.backoff_left_ms(now_ms))
        wait_ms = max(wait_ms, self._budget.reserve(now_ms))
        self._spawn_after(wait_ms, self._poll)

    def _poll(self):
        if not self.active:
            self._budget.give_back()
            return
        result = self._call(self._version)
        if not self.active:
            return
        if result.outcome is store.StoreOutcome.OK:
            self._take(result)
        self._schedule(WATCH_INTERVAL_MS)

    def _take(self, result):
        if self._version is not None and result.version <= self._version:
            return
        self._version = result.version
        changed = store.KeyChanged(self.key, result.version, result.value)
        self._deliver(changed)
