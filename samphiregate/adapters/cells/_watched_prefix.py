"""A local copy of the keys under a prefix, updated by a watch."""

import traceback

import gevent

from samphiregate.adapters.cells import _ports
from samphiregate import errors

MIN_RETRY_MS = 100
MAX_RETRY_MS = 800


class WatchedPrefix:
    """Watches the keys under a prefix; a context manager.

    Parameters
    ----------
    store : Store
    prefix : str
    on_change : callable
        Takes each `StoreChange`. When the store no longer has the history,
        the missed changes are derived from a new list.
    now_ms : callable
    wait_ms : int
        How long one watch call waits; also bounds how long a dead
        connection goes undetected.
    log : DecisionLog
    pause_ms : int
        After changes, before the next call; the changes of that time then
        come with one answer.
    on_read : callable or None
        Takes a revision once all changes up to it were applied.
    sleep : callable

    Attributes
    ----------
    item_by_key : dict
    synced : bool
        Whether the first list was applied.
    last_sync_ms : int
        When the last answered request was sent.
    """

    def __init__(
        self,
        *,
        store,
        prefix,
        on_change,
        now_ms,
        wait_ms,
        log,
        pause_ms=0,
        on_read=None,
        sleep=gevent.sleep,
    ):
        self.item_by_key = {}
        self.synced = False
        self.last_sync_ms = 0
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._now_ms = now_ms
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._on_read = on_read
        self._sleep = sleep
        self._log = log
        self._revision = None
        self._failing = False
        self._greenlet = None

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()

    def start_from(self, items, revision):
        """Sets the initial items from a list, without calling `on_change`."""
        self.item_by_key = {item.key: item for item in items}
        self._revision = revision
        self.synced = True

    def _run(self):
        retry_ms = MIN_RETRY_MS
        while True:
            sent_ms = self._now_ms()
            try:
                self._watch_once()
            except _ports.HistoryLostError:
                self._log.write("watch history lost", prefix=self._prefix)
                self._revision = None
                continue
            except errors.UnavailableError as error:
                self._record_failure(error)
                gevent.sleep(retry_ms / 1000)
                retry_ms = min(retry_ms * 2, MAX_RETRY_MS)
                continue
            self._record_success()
            if self._on_read is not None:
                self._on_read(self._revision)
            self.last_sync_ms = sent_ms
            retry_ms = MIN_RETRY_MS

    def _watch_once(self):
        if self._revision is None:
            self._relist()
            return
        changes, revision = self._store.watch(
            self._prefix, self._revision, self._wait_ms
        )
        for change in changes:
            self._apply(change)
        self._revision = max(self._revision, revision)
        if changes and self._pause_ms:
            self._sleep(self._pause_ms / 1000)

    def _relist(self):
        items, revision = self._store.list(self._prefix)
        present = {item.key: item for item in items}
        for key in list(self.item_by_key):
            if key not in present:
                self._apply(_ports.StoreChange(key, revision, None))
        for item in items:
            self._apply(_ports.StoreChange(item.key, item.revision, item))
        self._revision = revision
        self.synced = True

    def _apply(self, change):
        previous = self.item_by_key.get(change.key)
        if previous is not None and change.revision <= previous.revision:
            return
        if change.item is None:
            if previous is None:
                return
            del self.item_by_key[change.key]
        else:
            self.item_by_key[change.key] = change.item
        self._deliver(change)

    def _deliver(self, change):
        """Hands a change on; an exception must not end the watch."""
        try:
            self._on_change(change)
        except Exception:
            self._log.write(
                "change not applied",
                key=change.key,
                trace=traceback.format_exc(),
            )

    def _record_failure(self, error):
        if not self._failing:
            self._failing = True
            self._log.write(
                "watch lost", prefix=self._prefix, reason=error.detail
            )

    def _record_success(self):
        if self._failing:
            self._failing = False
            self._log.write(
                "watch regained",
                prefix=self._prefix,
                away_ms=self._now_ms() - self.last_sync_ms,
            )
