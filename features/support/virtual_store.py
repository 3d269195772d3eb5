"""The platform's key-value service, in memory, with its faults."""

import attrs

from samphiregate.core import store

TIMEOUT_MS = 1_000
RESYNC_MS = 1_000


@attrs.define
class StoreFaults:
    """What is wrong with the store now."""

    down: bool = False
    slow_ms: int = 0
    answers_lost: bool = False
    applied_late_ms: int = 0
    stale_reads: bool = False


class VirtualStore:
    """Keeps keys with versions; calls take virtual time.

    Parameters
    ----------
    loop : VirtualLoop
        Source of time.
    random_state : random.Random
        Source of randomness.
    reaches : callable
        Whether a VM reaches the platform.
    """

    def __init__(self, *, loop, random_state, reaches):
        self.loop = loop
        self.random_state = random_state
        self.reaches = reaches
        self.faults = StoreFaults()
        self.history_by_key = {}
        self.listeners = []
        self.read_count = 0
        self.write_count = 0
        self._watches = {}

    def current(self, key):
        """Returns version and value of a key."""
        return self.history_by_key.get(key, [(0, b"")])[-1]

    def call(self, node, action):
        """Carries out a store action of a node."""
        if isinstance(action, store.WatchKey):
            self._watches.setdefault((node, action.key), 0)
            self._resync(node, action.key)
            return
        delay_ms = self.random_state.randint(1, 4) + self.faults.slow_ms
        self.loop.after(delay_ms, self._serve, node, action)

    def _serve(self, node, action):
        if not self.reaches(node.vm_id):
            self._answer_unknown(node, action)
        elif self.faults.down:
            outcome = store.StoreOutcome.UNAVAILABLE
            self._answer(node, action, outcome, 0, b"")
        elif isinstance(action, store.ReadKey):
            self._read(node, action)
        elif self.faults.applied_late_ms:
            delay_ms = self.faults.applied_late_ms
            self.loop.after(delay_ms, self._swap, action)
            self._answer_unknown(node, action)
        else:
            result = self._swap(action)
            if self.faults.answers_lost:
                self._answer_unknown(node, action)
            else:
                self._answer(node, action, *result)

    def _read(self, node, action):
        self.read_count += 1
        history = self.history_by_key.get(action.key, [(0, b"")])
        version, value = history[-1]
        if self.faults.stale_reads and len(history) > 1:
            version, value = self.random_state.choice(history[-3:])
        outcome = store.StoreOutcome.OK
        self._answer(node, action, outcome, version, value)

    def _swap(self, action):
        self.write_count += 1
        version, value = self.current(action.key)
        if version != action.expected_version:
            return store.StoreOutcome.CONFLICT, version, value
        entry = (version + 1, action.value)
        self.history_by_key.setdefault(action.key, [(0, b"")]).append(entry)
        for listener in self.listeners:
            listener(action.key, action.value)
        for node, key in tuple(self._watches):
            if key == action.key:
                delay_ms = self.random_state.randint(1, 20)
                self.loop.after(delay_ms, self._push, node, key)
        return store.StoreOutcome.OK, version + 1, b""

    def _answer_unknown(self, node, action):
        outcome = store.StoreOutcome.UNKNOWN
        self.loop.after(
            TIMEOUT_MS, self._answer, node, action, outcome, 0, b""
        )

    def _answer(self, node, action, outcome, version, value):
        answer = store.StoreAnswered(
            action.call_id, action.key, outcome, version, value
        )
        delay_ms = self.random_state.randint(1, 4)
        self.loop.after(delay_ms, node.deliver, answer)

    def _push(self, node, key):
        version, value = self.current(key)
        if self.faults.down or not self.reaches(node.vm_id):
            return
        if version > self._watches[node, key]:
            self._watches[node, key] = version
            node.deliver(store.KeyChanged(key, version, value))

    def _resync(self, node, key):
        self._push(node, key)
        self.loop.after(RESYNC_MS, self._resync, node, key)
