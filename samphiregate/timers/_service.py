"""Periodic and one-off callbacks, driven by one loop."""

import heapq
import itertools
import time

import gevent
import gevent.event


class Subscription:
    """A callback registered with a `TimerService`; a context manager.

    Leaving the context, or calling `cancel`, ends the subscription.
    """

    def __init__(self, callback, period_ms):
        self.callback = callback
        self.period_ms = period_ms
        self.active = True

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.cancel()

    def cancel(self):
        """Ends the subscription; the callback is not called again."""
        self.active = False


class TimerService:
    """Calls subscribers when their time has come, on one greenlet.

    Callbacks take the time in milliseconds, must not block, and are called
    one after the other.

    Parameters
    ----------
    clock_ms : callable
        Returns a monotonic time in milliseconds.
    on_error : callable
        Called with each exception that a callback raises.
    """

    def __init__(self, *, clock_ms=None, on_error=None):
        self._clock_ms = clock_ms or monotonic_ms
        self._on_error = on_error or _raise
        self._heap = []
        self._order = itertools.count()
        self._woken = gevent.event.Event()
        self._greenlet = None

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()

    def now_ms(self):
        """Returns the monotonic time in milliseconds."""
        return self._clock_ms()

    def every(self, period_ms, callback):
        """Calls `callback(now_ms)` every `period_ms` milliseconds."""
        subscription = Subscription(callback, period_ms)
        self._push(self._clock_ms() + period_ms, subscription)
        return subscription

    def after(self, delay_ms, callback):
        """Calls `callback(now_ms)` once, `delay_ms` milliseconds from now."""
        subscription = Subscription(callback, None)
        self._push(self._clock_ms() + delay_ms, subscription)
        return subscription

    def run_due(self, now_ms):
        """Calls all that is due and returns the time of the next one.

        Returns
        -------
        int or None
            Milliseconds on the same clock; None with no subscriber.
        """
        while self._heap and self._heap[0][0] <= now_ms:
            due_ms, _order, subscription = heapq.heappop(self._heap)
            if subscription.active:
                self._call(subscription, due_ms, now_ms)
        return self._heap[0][0] if self._heap else None

    def _call(self, subscription, due_ms, now_ms):
        if subscription.period_ms is not None:
            next_ms = max(due_ms + subscription.period_ms, now_ms + 1)
            self._push(next_ms, subscription)
        try:
            subscription.callback(now_ms)
        except Exception as error:
            self._on_error(error)

    def _push(self, due_ms, subscription):
        entry = (due_ms, next(self._order), subscription)
        heapq.heappush(self._heap, entry)
        self._woken.set()

    def _run(self):
        while True:
            next_ms = self.run_due(self._clock_ms())
            self._woken.clear()
            if next_ms is None:
                self._woken.wait()
            else:
                wait_ms = max(next_ms - self._clock_ms(), 0)
                self._woken.wait(wait_ms / 1000)


def monotonic_ms():
    """Returns the monotonic clock in whole milliseconds."""
    return time.monotonic_ns() // 1_000_000


def _raise(error):
    raise error
