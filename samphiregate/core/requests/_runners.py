"""Runners of one owner: slots in use, possibly in use, or used by others."""

import attrs

from samphiregate.core import model

MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000
MIN_PROBE_INTERVAL_MS = 500
MAX_PROBE_INTERVAL_MS = 10_000
SETTLE_MS = 2_000
TRANSIT_MS = 5


@attrs.define
class UnknownAttempt:
    """An attempt of unknown outcome; it keeps its slot and token.

    Parameters
    ----------
    since_ms : int
        When its outcome became unknown.
    release_ms : int
        When it counts as ended if no report of the runner shows it earlier.
    """

    team: str
    since_ms: int
    release_ms: int


@attrs.define
class Runner:
    """A runner and the use of its slots.

    Parameters
    ----------
    sent_ms_by_key : dict
        When each attempt in flight was sent.
    unknown_by_key : dict
        Attempts of unknown outcome that may still run there.
    foreign_slots : int
        Estimated number of slots in use by attempts that this owner did
        not send, such as those of an earlier owner.
    backoff_until_ms : int
        After a refusal, nothing is sent until then.
    next_probe_ms : int or None
        When the next probe is due; None if none is scheduled.
    """

    info: model.RunnerInfo
    shard: model.ShardId
    owned: bool = True
    leaving: bool = False
    sent_ms_by_key: dict = attrs.field(factory=dict)
    unknown_by_key: dict = attrs.field(factory=dict)
    foreign_slots: int = 0
    backoff_until_ms: int = 0
    backoff_ms: int = 0
    next_probe_ms: int | None = 0
    probe_interval_ms: int = MIN_PROBE_INTERVAL_MS
    latency_ms: float = 0.0

    def used(self):
        """Returns the slots in use, or possibly in use, by this owner."""
        return len(self.sent_ms_by_key) + len(self.unknown_by_key)

    def free(self, now_ms):
        """Returns the number of slots that may be assigned at `now_ms`.

        After a refusal and its backoff, attempts are sent one at a time
        until the runner answers one.
        """
        if not self.usable() or now_ms < self.backoff_until_ms:
            return 0
        free = max(self.info.slots - self.used() - self.foreign_slots, 0)
        if self.backoff_ms:
            return 0 if self.sent_ms_by_key else min(free, 1)
        return free

    def usable(self):
        """Returns whether the runner may get new work."""
        return self.owned and not self.leaving and not self.info.leaving

    def back_off(self, now_ms):
        """Backs off after a refusal, which means that others use the slots."""
        longer_ms = max(self.backoff_ms * 2, MIN_BACKOFF_MS)
        self.backoff_ms = min(longer_ms, MAX_BACKOFF_MS)
        self.backoff_until_ms = now_ms + self.backoff_ms
        self.schedule_probe(now_ms)

    def reset_backoff(self):
        """Resets the backoff after an answer: the runner accepts work."""
        self.backoff_ms = 0

    def schedule_probe(self, now_ms):
        """Schedules a probe unless one is scheduled already."""
        if self.next_probe_ms is None:
            self.probe_interval_ms = MIN_PROBE_INTERVAL_MS
            self.next_probe_ms = now_ms

    def schedule_next_probe(self, now_ms):
        """Schedules the next probe, in case this one has no result."""
        self.next_probe_ms = now_ms + self.probe_interval_ms
        self.probe_interval_ms = min(
            self.probe_interval_ms * 2, MAX_PROBE_INTERVAL_MS
        )

    def update_used_slots(self, slots_used, now_ms):
        """Applies the number of slots that the runner reports as in use.

        Returns
        -------
        list of UnknownAttempt
            Attempts that are now known to have ended.
        """
        ended = self._release_settled(slots_used, now_ms)
        self._update_foreign_slots(slots_used, now_ms)
        if not self.foreign_slots and not self.unknown_by_key:
            self.next_probe_ms = None
        else:
            self.schedule_probe(now_ms)
        return ended

    def _update_foreign_slots(self, slots_used, now_ms):
        """Clips the estimate of foreign slots to its possible range.

        The report may or may not count an attempt that was sent less than
        `TRANSIT_MS` ago.
        """
        arrived = sum(
            now_ms - sent_ms >= TRANSIT_MS
            for sent_ms in self.sent_ms_by_key.values()
        )
        others = slots_used - len(self.unknown_by_key)
        min_foreign = max(others - len(self.sent_ms_by_key), 0)
        max_foreign = max(others - arrived, 0)
        foreign_slots = min(max(self.foreign_slots, min_foreign), max_foreign)
        self.foreign_slots = min(foreign_slots, self.info.slots)

    def release_expired(self, now_ms):
        """Releases the unknown attempts whose release time has passed."""
        expired = [
            key
            for key, attempt in self.unknown_by_key.items()
            if attempt.release_ms <= now_ms
        ]
        return [self.unknown_by_key.pop(key) for key in expired]

    def _release_settled(self, slots_used, now_ms):
        """Releases unknown attempts in excess of the slots in use.

        An attempt is released only `SETTLE_MS` after its connection broke,
        so that bytes still in transit can't start it afterwards.
        """
        settled = [
            key
            for key, attempt in self.unknown_by_key.items()
            if now_ms - attempt.since_ms >= SETTLE_MS
        ]
        excess = max(len(self.unknown_by_key) - slots_used, 0)
        return [self.unknown_by_key.pop(key) for key in settled[:excess]]
