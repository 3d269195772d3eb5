"""Scripted and in-memory stores, and other fakes, for tests of an entry VM."""

import contextlib

import gevent

from samphiregate.adapters import cells as ports
from samphiregate.adapters.cells import _job_service
from samphiregate.adapters.cells import _ownership
from samphiregate.adapters.cells import _relay
from samphiregate.adapters.cells import _writer
from samphiregate import errors

CELL = "all"
SETTLE_S = 10  # upper bound of a wait for a greenlet, not an expected time
SLOW_WRITE_S = 5  # longer than any caller waits
ACCEPTED_UNIX_MS = 1_700_000_000_000  # by the clocks of VMs


class ScriptedStore:
    """Answers writes and reads with scripted outcomes; repeats the last one.

    Outcomes: ``done``, ``exists``, ``refused`` (not executed), ``silent``
    (unknown) and ``slow`` (no answer for `SLOW_WRITE_S` seconds).

    Attributes
    ----------
    calls : int
        Number of attempted writes and reads.
    """

    def __init__(self, outcomes):
        self.calls = 0
        self.set_outcomes(outcomes)

    def set_outcomes(self, outcomes):
        """Sets the outcomes of the next writes."""
        self._outcomes = list(outcomes)

    def commit(self, *, expected, writes, removals=()):
        """See `ports.Store.commit`."""
        del writes, removals
        return self._answer(expected)

    def get(self, key):
        """See `ports.Store.get`; raises, or returns None."""
        self._answer((key,))

    def _answer(self, keys):
        self.calls += 1
        outcome = (
            self._outcomes.pop(0)
            if len(self._outcomes) > 1
            else self._outcomes[0]
        )
        if outcome == "exists":
            raise ports.ConflictError(dict.fromkeys(keys, 5))
        if outcome == "refused":
            raise errors.UnavailableError("refused")
        if outcome == "slow":
            gevent.sleep(SLOW_WRITE_S)
        if outcome == "silent":
            raise errors.UnavailableError("silent", ran=errors.Ran.UNKNOWN)
        return 6


class MemoryStore:
    """A store whose leases never expire; answers of writes can get lost."""

    def __init__(self, loses_answers=False):
        self.item_by_key = {}
        self.ended_leases = []
        self.revision = 1
        self._loses_answers = loses_answers

    def get(self, key):
        """See `ports.Store.get`."""
        return self.item_by_key.get(key)

    def end_lease(self, lease_id):
        """See `ports.Store.end_lease`."""
        self.ended_leases.append(lease_id)

    def commit(self, *, expected, writes, removals=()):
        """See `ports.Store.commit`."""
        present = {
            key: self.item_by_key[key].revision
            if key in self.item_by_key
            else 0
            for key in expected
        }
        if present != dict(expected):
            raise ports.ConflictError(present)
        self.revision += 1
        for write in writes:
            self.item_by_key[write.key] = ports.StoreItem(
                write.key, write.value, self.revision, self.revision
            )
        for key in removals:
            self.item_by_key.pop(key, None)
        if self._loses_answers:
            raise errors.UnavailableError("lost", ran=errors.Ran.UNKNOWN)
        return self.revision


class RejectingStore(MemoryStore):
    """A store that rejects writes of one key.

    Parameters
    ----------
    key : str
    is_too_large : bool
        Whether it gives the size of the value as the cause.
    """

    def __init__(self, key, *, is_too_large):
        super().__init__()
        self._key = key
        self._is_too_large = is_too_large

    def commit(self, *, expected, writes, removals=()):
        """See `ports.Store.commit`."""
        if any(write.key == self._key for write in writes):
            raise ports.RejectedWriteError(
                "rejected", is_too_large=self._is_too_large
            )
        return super().commit(
            expected=expected, writes=writes, removals=removals
        )


class DelayedStore(MemoryStore):
    """A store that does not answer the first writes and delays them.

    Parameters
    ----------
    delayed_count : int
        Number of writes that are delayed.
    """

    def __init__(self, delayed_count):
        super().__init__()
        self._delayed_count = delayed_count
        self._delayed = []

    def commit(self, *, expected, writes, removals=()):
        """See `ports.Store.commit`."""
        if self._delayed_count:
            self._delayed_count -= 1
            self._delayed.append((dict(expected), list(writes)))
            raise errors.UnavailableError("late", ran=errors.Ran.UNKNOWN)
        return super().commit(
            expected=expected, writes=writes, removals=removals
        )

    def apply_delayed(self):
        """Executes the delayed writes whose conditions hold."""
        delayed, self._delayed = self._delayed, []
        for expected, writes in delayed:
            with contextlib.suppress(ports.ConflictError):
                super().commit(expected=expected, writes=writes)


class FakeLog:
    """Records log lines."""

    def __init__(self):
        self.lines = []

    def write(self, what, **fields):
        """Records a line."""
        self.lines.append((what, fields))


class LateStore(MemoryStore):
    """A store that executes the writes of some calls late, in order.

    Attributes
    ----------
    is_late : bool
        Whether writes are not answered and wait for `apply_late`.
    changes : list of ports.StoreChange
        Each change of a key, in order.
    """

    def __init__(self):
        super().__init__()
        self.is_late = False
        self.changes = []
        self._late = []

    def commit(self, *, expected, writes, removals=()):
        """See `ports.Store.commit`."""
        if self.is_late:
            self._late.append((dict(expected), tuple(writes)))
            raise errors.UnavailableError("late", ran=errors.Ran.UNKNOWN)
        revision = super().commit(
            expected=expected, writes=writes, removals=removals
        )
        items = [self.item_by_key[write.key] for write in writes]
        self.changes += [
            ports.StoreChange(item.key, revision, item) for item in items
        ]
        self.changes += [
            ports.StoreChange(key, revision, None) for key in removals
        ]
        return revision

    def apply_late(self):
        """Executes the late writes whose conditions hold."""
        late, self._late = self._late, []
        for expected, writes in late:
            with contextlib.suppress(ports.ConflictError):
                self.commit(expected=expected, writes=writes)


class RecordedNotices:
    """Records the notices that an owner would get."""

    def __init__(self):
        self.stored_ids = []
        self.stored_jobs = []
        self.cancelled_ids = []

    def tell_stored(self, job):
        """See `OwnerNotices.tell_stored`."""
        self.stored_ids.append(job.job_id)
        self.stored_jobs.append(job)

    def tell_cancelled(self, job_id):
        """See `OwnerNotices.tell_cancelled`."""
        self.cancelled_ids.append(job_id)


class FakeLease:
    """A lease that is valid as long as `lease_id` is not 0."""

    def __init__(self):
        self.lease_id = 5

    @property
    def is_valid(self):
        """Whether the lease is valid."""
        return self.lease_id != 0


class SteppingClock:
    """Advances at each reading, so that deadlines pass without waiting."""

    def __init__(self, step_ms=50):
        self.time_ms = 0
        self._step_ms = step_ms

    def now_ms(self):
        """Advances the time by one step and returns it."""
        self.time_ms += self._step_ms
        return self.time_ms


def make_relay(store, now_ms, peers=None, others=()):
    """Returns a `StoreRelay` to a store, or through other VMs."""
    return _relay.StoreRelay(
        store=store,
        peers=peers,
        other_addresses=lambda: others,
        now_ms=now_ms,
        log=FakeLog(),
    )


def make_job_service(relay, now_ms, **arguments):
    """Returns the `JobService` of a VM that does not own the cell.

    Parameters
    ----------
    relay : StoreRelay
    now_ms : callable
    arguments : dict
        What is to differ, by parameter.
    """
    usual = {
        "cell": CELL,
        "relay": relay,
        "peers": None,
        "local_cell": lambda: None,
        "owner_address": lambda: None,
        "notices": RecordedNotices(),
        "now_ms": now_ms,
        "unix_ms": lambda: ACCEPTED_UNIX_MS,
        "log": FakeLog(),
    }
    return _job_service.JobService(**(usual | arguments))


def make_writer(store, **callables):
    """Returns a `RecordWriter` that writes to a store.

    Parameters
    ----------
    store : Store
    callables : dict
        What it calls, by parameter; the others do nothing.
    """
    arguments = {
        "pop_records": lambda _max_items, _max_bytes: [],
        "pop_silent_record": lambda: None,
        "on_stored": lambda _rows: None,
        "on_refused": lambda _job_id: None,
        "on_delayed": lambda _job_id: None,
        "on_silent_record_stored": lambda: None,
        "on_lost": lambda _reason: None,
    }
    return _writer.RecordWriter(
        store=store,
        tenure=_ownership.Tenure(CELL, 1, {}, 1),
        log=FakeLog(),
        **(arguments | callables),
    )


def result_of(call):
    """Returns what a caller is told of a call, in words."""
    try:
        call()
    except errors.SamphiregateError as error:
        if error.code is errors.ErrorCode.UNAVAILABLE:
            return f"unavailable, ran {error.ran.value}"
        return error.code.value
    return "accepted"
