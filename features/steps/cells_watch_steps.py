"""Steps about the watch of a prefix of the store."""

import behave
import gevent

from features.support import cells_store
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _watched_prefix

POLL_MS = 2


class _ChangingStore:
    """A store one key of which changes; its time is virtual.

    Attributes
    ----------
    now_ms : int
    calls : int
        Number of watch calls.
    """

    def __init__(self, gap_ms, span_ms):
        self.now_ms = 0
        self.calls = 0
        self._change_times = range(gap_ms, span_ms + 1, gap_ms)

    def watch(self, prefix, after_revision, wait_ms):
        """See `ports.Store.watch`; a revision is a number of changes."""
        del wait_ms
        self.calls += 1
        while True:
            made = sum(time <= self.now_ms for time in self._change_times)
            if made > after_revision:
                break
            if made == len(self._change_times):
                gevent.sleep(cells_store.SETTLE_S)
            self.now_ms += POLL_MS
        return [
            _ports.StoreChange(
                f"{prefix}{number}",
                number,
                _ports.StoreItem(f"{prefix}{number}", b"", number, number),
            )
            for number in range(after_revision + 1, made + 1)
        ], made


@behave.given("a store with a change every {gap_ms:d} ms for {span_ms:d} ms")
def given_changing(context, gap_ms, span_ms):
    context.store = _ChangingStore(gap_ms, span_ms)


@behave.when("a prefix is watched with a pause of {pause_ms:d} ms")
def when_watched(context, pause_ms):
    store = context.store
    context.seen = []

    def sleep(seconds):
        store.now_ms += round(seconds * 1000)
        gevent.sleep(0)

    watched = _watched_prefix.WatchedPrefix(
        store=store,
        prefix="a/",
        on_change=context.seen.append,
        now_ms=lambda: store.now_ms,
        wait_ms=1_000,
        log=cells_store.FakeLog(),
        pause_ms=pause_ms,
        sleep=sleep,
    )
    watched.start_from([], 0)
    with watched, gevent.Timeout(cells_store.SETTLE_S):
        while len(context.seen) < 40:
            gevent.sleep(0.001)


@behave.then(
    "all {count:d} changes are seen after {least:d} to {most:d} calls"
)
def then_seen(context, count, least, most):
    assert len(context.seen) == count, len(context.seen)
    assert least <= context.store.calls <= most, context.store.calls


@behave.when(
    "a prefix is watched, and the third change is met with an exception"
)
def when_watched_with_exception(context):
    store = context.store
    context.log = cells_store.FakeLog()
    context.seen = []

    def note(change):
        context.seen.append(change.revision)
        if len(context.seen) == 3:
            raise AssertionError("a fault")

    watched = _watched_prefix.WatchedPrefix(
        store=store,
        prefix="p/",
        on_change=note,
        now_ms=lambda: store.now_ms,
        wait_ms=1_000,
        log=context.log,
    )
    watched.start_from([], 0)
    with watched, gevent.Timeout(cells_store.SETTLE_S):
        while len(context.seen) < 10:
            gevent.sleep(0.001)


@behave.then("{count:d} changes are seen")
def then_seen_count(context, count):
    assert len(context.seen) == count, context.seen


@behave.then("the exception is logged")
def then_exception_logged(context):
    events = [what for what, _fields in context.log.lines]
    assert events == ["change not applied"], events
