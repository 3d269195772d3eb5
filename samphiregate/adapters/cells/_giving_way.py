"""Gives a cell up for a VM with much more processor capacity.

When all VMs start at once, they don't know of each other yet, and any of them
may acquire the cell.
"""

import gevent

CHECK_INTERVAL_MS = 250
MIN_TENURE_MS = 1_000  # by then the records of the other VMs were read
# A stronger VM may be unable to acquire the cell.
INTERVAL_MS = 30_000


class GivingWay:
    """Ends the ownership of a weak VM, now and then; a context manager.

    Parameters
    ----------
    ownership : Ownership
    is_weak : callable
        Returns whether another VM has much more capacity.
    now_ms : callable
    log : DecisionLog
    """

    def __init__(self, *, ownership, is_weak, now_ms, log):
        self._ownership = ownership
        self._is_weak = is_weak
        self._now_ms = now_ms
        self._log = log
        self._next_ms = 0
        self._greenlet = None

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()

    def _run(self):
        while True:
            gevent.sleep(CHECK_INTERVAL_MS / 1000)
            self.check()

    def check(self):
        """Gives the cell up if it is time to, and a stronger VM is there."""
        now_ms = self._now_ms()
        since_ms = self._ownership.serving_since_ms
        if since_ms is None or now_ms < since_ms + MIN_TENURE_MS:
            return
        if now_ms < self._next_ms or not self._is_weak():
            return
        self._next_ms = now_ms + INTERVAL_MS
        self._log.write("cell given up for a stronger VM")
        self._ownership.session_end.set()
