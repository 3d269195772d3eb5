"""One worker of the platform, as plain logic without I/O or clock."""

import collections
import math

import attrs

from standins.worker import _amounts

RUNNING = "running"
SUCCEEDED = "succeeded"
FAILED = "failed"
STOPPED = "stopped"
CHECKPOINTED = "checkpointed"
LAPSED = "lapsed"
REFUSED = "refused"
HISTORY_MAX = 100_000
CHECKPOINT_PREFIX = "done_ms:"


@attrs.define
class Attempt:
    """One attempt of a task.

    Parameters
    ----------
    document : dict
        The start command.
    reserved, used : tuple of int
        Processor, memory and accelerators, as reserved and as in use.
    run_ms : int or None
        Real run time of the whole task; None for one that never ends.
    done_ms : int
        Progress at the start.
    """

    document: dict
    state: str
    reserved: tuple = _amounts.NOTHING
    used: tuple = _amounts.NOTHING
    run_ms: int | None = None
    done_ms: int = 0
    started_ms: int = 0
    ended_ms: int = 0
    fails: bool = False
    checkpoint: str = ""
    told_used: tuple | None = None

    @property
    def key(self):
        """Job, index and attempt number."""
        return _key(self.document)


@attrs.define
class Foreign:
    """A task of the older scheduler; it ends at `until_ms`, if not None."""

    amount: tuple
    until_ms: int | None


@attrs.define
class Faults:
    """What the worker was told to do wrong.

    Parameters
    ----------
    fail_starts : bool
        Every task fails as soon as it has started.
    refuse_starts : bool
        Every start is refused.
    lose_answers : int
        Answers that are lost after the exchange took effect.
    pause_ms : int
        How long the worker does nothing, once.
    """

    fail_starts: bool = False
    refuse_starts: bool = False
    lose_answers: int = 0
    pause_ms: int = 0


class Worker:
    """Runs tasks as timers under leases.

    Parameters
    ----------
    worker_id : str
        Its id.
    capacity : tuple of int
        Thousandths of a core, MiB of memory, and accelerators.
    incarnation : str
        Told in each answer; different after each restart.
    sample_ms : int
        Time between two samples of use; a report shows the last one.

    Notes
    -----
    A command string may steer a task by words ``run_ms=N`` (its real run
    time), ``use=F`` (its real use as a factor of the declared one) and
    ``fail=1``. An attempt that ended or was refused is remembered until it
    is forgotten by command.
    """

    def __init__(self, worker_id, capacity, *, incarnation, sample_ms=2_000):
        self.worker_id = worker_id
        self.capacity = tuple(capacity)
        self.incarnation = incarnation
        self.sample_ms = sample_ms
        self.faults = Faults()
        self.epoch = 0
        self.sequence = 0
        self.lease_until_ms = 0
        self.attempts_by_key = {}
        self.foreign_by_id = {}
        self.sample_ms_at = None
        self.sample_used = _amounts.NOTHING
        self.sample_ours = _amounts.NOTHING
        self.sample_by_key = {}
        self.sample_told = False
        self.history = collections.deque(maxlen=HISTORY_MAX)

    def exchange(self, document, now_ms):
        """Carries out one exchange and returns the answer's document."""
        self.advance(now_ms)
        if not self._accepts(document, now_ms):
            return self._answer(False, now_ms, ())
        self.epoch = document["epoch"]
        self.sequence = document["sequence"]
        lease_until_ms = document["lease_until_ms"]
        if lease_until_ms:
            self.lease_until_ms = lease_until_ms
        touched = [
            self._carry_out(command, now_ms)
            for command in document["commands"]
        ]
        full = document["full"]
        attempts = self._to_report(touched, full)
        return self._answer(True, now_ms, attempts, full)

    def advance(self, now_ms):
        """Brings all timers up to `now_ms`."""
        for attempt in self._running():
            self._advance_attempt(attempt, now_ms)
        for foreign_id, foreign in tuple(self.foreign_by_id.items()):
            if foreign.until_ms is not None and foreign.until_ms <= now_ms:
                del self.foreign_by_id[foreign_id]
        self._sample(now_ms)

    def place_foreign(self, foreign_id, amount, until_ms, now_ms):
        """Places a foreign task if it fits; returns whether it does."""
        self.advance(now_ms)
        if not _amounts.fits(amount, self.room()):
            return False
        self.foreign_by_id[foreign_id] = Foreign(tuple(amount), until_ms)
        return True

    def remove_foreign(self, foreign_id):
        """Ends a foreign task."""
        self.foreign_by_id.pop(foreign_id, None)

    def room(self):
        """Returns the capacity less all that is reserved."""
        room = self.capacity
        for attempt in self._running():
            room = _amounts.less(room, attempt.reserved)
        for foreign in self.foreign_by_id.values():
            room = _amounts.less(room, foreign.amount)
        return room

    def _running(self):
        return [
            attempt
            for attempt in self.attempts_by_key.values()
            if attempt.state == RUNNING
        ]

    def _accepts(self, document, now_ms):
        if document["epoch"] < self.epoch:
            return False
        is_same_epoch = document["epoch"] == self.epoch
        if is_same_epoch and document["sequence"] <= self.sequence:
            return False
        if document["incarnation"] not in ("", self.incarnation):
            return False
        if document["commands"] and not document["incarnation"]:
            return False
        lease_until_ms = document["lease_until_ms"]
        return not lease_until_ms or now_ms < lease_until_ms

    def _carry_out(self, command, now_ms):
        handler = {
            "start": self._start,
            "stop": self._stop,
            "checkpoint": self._checkpoint,
            "throttle": self._throttle,
            "forget": self._forget,
        }[command["kind"]]
        return handler(command, now_ms)

    def _start(self, command, now_ms):
        known = self.attempts_by_key.get(_key(command))
        if known is not None:
            return known
        reserved = tuple(command["resources"])
        fits = _amounts.fits(reserved, self.room())
        if self.faults.refuse_starts or not fits:
            return self._add(Attempt(command, REFUSED))
        words = _words_of(command["command"])
        factor = float(words.get("use", 1))
        attempt = Attempt(
            command,
            RUNNING,
            reserved=reserved,
            used=_amounts.scaled(reserved, factor),
            run_ms=_run_ms(command, words),
            done_ms=_done_ms(command["checkpoint"]),
            started_ms=now_ms,
            fails=words.get("fail") == "1" or self.faults.fail_starts,
            checkpoint=command["checkpoint"],
        )
        self.history.append((now_ms, "start", attempt.key))
        self._add(attempt)
        if self.faults.fail_starts:
            self._end(attempt, FAILED, now_ms)
        return attempt

    def _stop(self, command, now_ms):
        attempt = self.attempts_by_key.get(_key(command))
        if attempt is None:
            return self._add(Attempt(command, REFUSED))
        if attempt.state == RUNNING:
            self._end(attempt, STOPPED, now_ms)
        return attempt

    def _checkpoint(self, command, now_ms):
        attempt = self.attempts_by_key.get(_key(command))
        if attempt is None:
            return self._add(Attempt(command, REFUSED))
        if attempt.state == RUNNING:
            done_ms = attempt.done_ms + now_ms - attempt.started_ms
            attempt.checkpoint = f"{CHECKPOINT_PREFIX}{done_ms}"
            self._end(attempt, CHECKPOINTED, now_ms)
        return attempt

    def _throttle(self, command, now_ms):
        attempt = self.attempts_by_key.get(_key(command))
        if attempt is not None and attempt.state == RUNNING:
            limit = tuple(command["resources"])
            attempt.used = _amounts.smallest(attempt.used, limit)
        return attempt

    def _forget(self, command, now_ms):
        attempt = self.attempts_by_key.get(_key(command))
        if attempt is not None and attempt.state != RUNNING:
            del self.attempts_by_key[attempt.key]
        return None

    def _add(self, attempt):
        self.attempts_by_key[attempt.key] = attempt
        return attempt

    def _end(self, attempt, state, at_ms):
        attempt.state = state
        attempt.ended_ms = at_ms
        self.history.append((at_ms, state, attempt.key))

    def _advance_attempt(self, attempt, now_ms):
        end_ms = math.inf
        if attempt.run_ms is not None:
            left_ms = max(0, attempt.run_ms - attempt.done_ms)
            end_ms = attempt.started_ms + left_ms
        if end_ms <= min(now_ms, self.lease_until_ms):
            state = FAILED if attempt.fails else SUCCEEDED
            self._end(attempt, state, end_ms)
        elif now_ms >= self.lease_until_ms:
            self._end(attempt, LAPSED, self.lease_until_ms)

    def _sample(self, now_ms):
        last_ms = self.sample_ms_at
        if last_ms is not None and now_ms - last_ms < self.sample_ms:
            return
        self.sample_ms_at = now_ms
        self.sample_told = False
        self.sample_by_key = {one.key: one.used for one in self._running()}
        total = _amounts.NOTHING
        for used in self.sample_by_key.values():
            total = _amounts.plus(total, used)
        self.sample_ours = total
        for foreign in self.foreign_by_id.values():
            total = _amounts.plus(total, foreign.amount)
        self.sample_used = total

    def _to_report(self, touched, full):
        reported = {one.key: one for one in touched if one is not None}
        for attempt in self.attempts_by_key.values():
            used = self.sample_by_key.get(attempt.key, _amounts.NOTHING)
            changed = attempt.state != RUNNING or used != attempt.told_used
            if full or changed:
                reported[attempt.key] = attempt
        return tuple(
            one for one in reported.values() if one.key in self.attempts_by_key
        )

    def _answer(self, accepted, now_ms, attempts, full=False):
        tell_sample = accepted and (full or not self.sample_told)
        if tell_sample:
            self.sample_told = True
        return {
            "incarnation": self.incarnation,
            "accepted": accepted,
            "epoch": self.epoch,
            "clock_ms": now_ms,
            "full": full,
            "used": self.sample_used if tell_sample else None,
            "used_ours": self.sample_ours,
            "age_ms": now_ms - self.sample_ms_at,
            "tasks": [self._task(one, now_ms) for one in attempts],
        }

    def _task(self, attempt, now_ms):
        used = self.sample_by_key.get(attempt.key, _amounts.NOTHING)
        attempt.told_used = used
        start = attempt.document
        end_ms = now_ms if attempt.state == RUNNING else attempt.ended_ms
        ran_ms = end_ms - attempt.started_ms
        return {
            "job_id": start["job_id"],
            "index": start["index"],
            "attempt": start["attempt"],
            "state": attempt.state,
            "team": start.get("team", ""),
            "class": start.get("class", "batch"),
            "urgent": start.get("urgent", False),
            "checkpointable": start.get("checkpointable", False),
            "reserved": attempt.reserved,
            "used": used,
            "checkpoint": attempt.checkpoint,
            "remaining_ms": max(0, start.get("run_time_ms", 0) - ran_ms),
        }


def _key(document):
    return (document["job_id"], document["index"], document["attempt"])


def _words_of(command):
    words = (word.partition("=") for word in command.split())
    return {name: value for name, _sign, value in words}


def _run_ms(command, words):
    if "run_ms" in words:
        return int(words["run_ms"])
    done_ms = _done_ms(command["checkpoint"])
    declared_ms = command["run_time_ms"]
    return declared_ms + done_ms if declared_ms else None


def _done_ms(checkpoint):
    if not checkpoint.startswith(CHECKPOINT_PREFIX):
        return 0
    return int(checkpoint.removeprefix(CHECKPOINT_PREFIX))
