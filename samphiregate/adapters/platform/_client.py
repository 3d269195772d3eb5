"""Carries the core's store actions to the platform and its events back."""

import functools

from absl import logging
import gevent
from gevent import pool

from samphiregate.adapters.platform import _budget
from samphiregate.adapters.platform import _calls
from samphiregate.adapters.platform import _watch
from samphiregate.core import store
from samphiregate import errors

MAX_WAIT_MS = 2_000


class PlatformClient:
    """Client of the platform for one entry VM; a context manager.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` of the platform.
    deliver : callable
        Takes each event: `StoreAnswered`, `KeyChanged` and `FleetListed`.
    timers : TimerService
        Times the retries and the polls of the fleet list.
    random_state : random.Random
        Source of jitter.
    data_centre : str or None
        Leaves out the workers and runners of other data centres.
    fleet_interval_ms : int
        Mean time between two reads of the fleet list.
    timeout_ms : int
        Longest wait for an answer.
    watch_ms : int
        Time that a watch waits at the platform.
    calls_per_second : float
        Sustained rate of calls, watches and polls of the list included.
    burst : int
        Calls that may be made at once after a quiet time.

    Notes
    -----
    After a failure no call is made until a backoff has passed; calls that
    are asked for meanwhile are answered UNAVAILABLE at once. A call that
    may have taken effect is answered UNKNOWN and never made again.
    """

    def __init__(
        self,
        *,
        endpoint,
        deliver,
        timers,
        random_state,
        data_centre=None,
        fleet_interval_ms=2_000,
        timeout_ms=2_000,
        watch_ms=20_000,
        calls_per_second=5.0,
        burst=20,
    ):
        self.fleet_interval_ms = fleet_interval_ms
        self._data_centre = data_centre
        self._deliver = deliver
        self._timers = timers
        self._random = random_state
        self._budget = _budget.CallBudget(
            random_state=random_state,
            calls_per_second=calls_per_second,
            burst=burst,
        )
        self._calls = _calls.PlatformCalls(
            endpoint=endpoint, timeout_ms=timeout_ms, watch_ms=watch_ms
        )
        self._greenlets = pool.Group()
        self._watches_by_key = {}
        self._fleet_version = 0
        self._available = True
        self._open = False

    def __enter__(self):
        self._open = True
        self._spawn_after(0, self._poll_fleet)
        return self

    def __exit__(self, *exc_info):
        self._open = False
        for watch in self._watches_by_key.values():
            watch.stop()
        self._greenlets.kill(block=False)
        self._calls.close()

    @functools.singledispatchmethod
    def perform(self, action):
        """Carries out a store action; others are not for this client.

        Raises
        ------
        TypeError
            For an action of another kind.
        """
        raise TypeError(f"no store action: {action!r}")

    @perform.register
    def _perform_read(self, action: store.ReadKey):
        call = functools.partial(self._calls.read, action.key)
        self._start_call(action, call)

    @perform.register
    def _perform_swap(self, action: store.CompareAndSwap):
        call = functools.partial(
            self._calls.compare_and_swap,
            action.key,
            action.expected_version,
            action.value,
        )
        self._start_call(action, call)

    @perform.register
    def _perform_watch(self, action: store.WatchKey):
        present = self._watches_by_key.get(action.key)
        if action.active and present is None:
            self._start_watch(action.key)
        elif not action.active and present is not None:
            self._watches_by_key.pop(action.key).stop()

    def _start_call(self, action, call):
        now_ms = self._timers.now_ms()
        wait_ms = self._budget.reserve(now_ms)
        refused = self._budget.backoff_left_ms(now_ms) > 0
        if refused or wait_ms > MAX_WAIT_MS:
            self._budget.give_back()
            answer = functools.partial(
                self._answer, action, _calls.UNAVAILABLE
            )
            self._spawn_after(0, answer)
            return
        run = functools.partial(self._run_call, action, call)
        self._spawn_after(wait_ms, run)

    def _run_call(self, action, call):
        result = call()
        self._note(result.outcome)
        self._answer(action, result)

    def _answer(self, action, result):
        answered = store.StoreAnswered(
            call_id=action.call_id,
            key=action.key,
            outcome=result.outcome,
            version=result.version,
            value=result.value,
        )
        self._deliver(answered)

    def _start_watch(self, key):
        watch = _watch.Watch(
            key=key,
            call=functools.partial(self._wait_for_change, key),
            deliver=self._deliver,
            spawn_after=self._spawn_after,
            budget=self._budget,
            clock_ms=self._timers.now_ms,
        )
        self._watches_by_key[key] = watch
        watch.start()

    def _wait_for_change(self, key, version):
        if version is None:
            result = self._calls.read(key)
        else:
            result = self._calls.watch(key, version)
        self._note(result.outcome)
        return result

    def _poll_fleet(self):
        now_ms = self._timers.now_ms()
        backoff_ms = self._budget.backoff_left_ms(now_ms)
        if backoff_ms:
            self._spawn_after(backoff_ms, self._poll_fleet)
            return
        self._budget.reserve(now_ms)
        try:
            self._read_fleet()
        finally:
            jitter = self._random.uniform(0.5, 1.5)
            delay_ms = round(self.fleet_interval_ms * jitter)
            self._spawn_after(delay_ms, self._poll_fleet)

    def _read_fleet(self):
        try:
            version, listed = self._calls.read_fleet(
                self._fleet_version, self._data_centre
            )
        except errors.UnavailableError:
            self._note(store.StoreOutcome.UNAVAILABLE)
            return
        self._note(store.StoreOutcome.OK)
        self._fleet_version = version
        if listed is not None:
            self._deliver(listed)

    def _note(self, outcome):
        failed = outcome in (
            store.StoreOutcome.UNAVAILABLE,
            store.StoreOutcome.UNKNOWN,
        )
        if failed:
            self._budget.failed(self._timers.now_ms())
        else:
            self._budget.succeeded()
        if failed == self._available:
            self._available = not failed
            state = "unavailable" if failed else "available again"
            logging.info("platform: the store is %s.", state)

    def _spawn_after(self, delay_ms, callback):
        if not self._open:
            return
        if delay_ms <= 0:
            self._greenlets.start(gevent.Greenlet(callback))
            return
        self._timers.after(delay_ms, lambda _now_ms: self._spawn(callback))

    def _spawn(self, callback):
        if self._open:
            self._greenlets.start(gevent.Greenlet(callback))
