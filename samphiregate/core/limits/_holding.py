"""Tokens of one team on one entry VM."""

import attrs

from samphiregate.core.limits import _messages

WANTED_TTL_MS = 1_500
MAX_WANTED_ABOVE_IN_USE = 8


@attrs.define
class Holding:
    """One team's tokens on one entry VM.

    Parameters
    ----------
    held : int
        Tokens held, including those of running work.
    in_use : int
        Tokens of running work; can exceed `held` after a takeover.
    base, granted, returned, recalled, released : int
        See `HoldingLine` and `GrantLine`.
    ceiling : int
        Running work above it has to stop.
    wanted : int
        Further tokens that work is waiting for.
    max_shortage : int
        Largest number of tokens that work lacked to start, since the last
        report.
    last_shortage_ms : int or None
        When work last lacked tokens to start.
    forfeited : int
        Tokens of running work that are dropped when it ends, since
        other holders may have been granted them by then.
    handovers : list of tuple
        Handed-over tokens that are still held: time and count.
    """

    held: int = 0
    in_use: int = 0
    base: int = 0
    granted: int = 0
    returned: int = 0
    recalled: int = 0
    released: int = 0
    ceiling: int = _messages.NO_CEILING
    wanted: int = 0
    max_shortage: int = 0
    last_shortage_ms: int | None = None
    forfeited: int = 0
    handovers: list = attrs.field(factory=list)

    @property
    def in_handover(self):
        """Tokens of work whose shard moved to another VM."""
        return sum(count for _, count in self.handovers)

    @property
    def idle(self):
        """Tokens available to new work; can be negative after a takeover."""
        return self.held - self.in_use - self.in_handover

    @property
    def empty(self):
        """Whether there is nothing to report about the team."""
        return not (self.held or self.in_use or self.wanted)

    def begin_epoch(self):
        """Resets the running totals for a new granting VM."""
        self.base = self.held
        self.granted = 0
        self.returned = 0
        self.recalled = 0
        self.released = 0
        self.ceiling = _messages.NO_CEILING

    def drop_idle(self):
        """Drops idle tokens and forfeits those of running work."""
        self.held = min(self.held, self.in_use + self.in_handover)
        self.forfeited = self.held

    def return_idle(self, count):
        """Returns up to `count` idle tokens to the granting VM.

        The result is how many.
        """
        count = min(count, self.idle)
        if count > 0:
            self.held -= count
            self.returned += count
        return max(0, count)

    def return_due_tokens(self):
        """Drops forfeited and returns recalled tokens that are idle.

        The result is the number of both.
        """
        dropped = min(self.forfeited, max(0, self.idle))
        self._drop(dropped)
        return dropped + self.return_idle(self.recalled - self.returned)

    def _drop(self, count):
        """Drops forfeited tokens without crediting the granting VM."""
        self.forfeited -= count
        self.held -= count
        self.base -= count

    def apply_grant(self, line):
        """Applies a `GrantLine`.

        Totals only increase, so that a repeated or older line grants
        nothing.
        """
        if line.granted > self.granted:
            self.held += line.granted - self.granted
            self.granted = line.granted
        self.recalled = max(self.recalled, line.recalled)
        self.ceiling = line.ceiling
        if line.released > self.released:
            self._release(line.released - self.released)
            self.released = line.released
        self.return_due_tokens()

    def _release(self, count):
        remaining = count
        while remaining > 0 and self.handovers:
            handed_over_ms, in_handover = self.handovers.pop(0)
            freed = min(remaining, in_handover)
            remaining -= freed
            if in_handover > freed:
                self.handovers.insert(0, (handed_over_ms, in_handover - freed))
        freed = min(count - remaining, max(0, self.idle))
        dropped = min(self.forfeited, freed)
        self._drop(dropped)
        self.return_idle(freed - dropped)

    def add_handover(self, units, now_ms):
        """Sets aside tokens of work that another VM owns now."""
        units = min(units, self.in_use)
        self.in_use -= units
        if units:
            self.handovers.append((now_ms, units))

    def handed_over_until(self, time_ms):
        """Returns the tokens set aside up to `time_ms`."""
        return sum(
            n
            for handed_over_ms, n in self.handovers
            if handed_over_ms <= time_ms
        )

    def record_shortage(self, units, now_ms):
        """Records that work lacked tokens to start."""
        self.max_shortage = max(self.max_shortage, units - max(0, self.idle))
        self.last_shortage_ms = now_ms

    def update_wanted(self, now_ms):
        """Updates `wanted` before a report; returns whether it changed."""
        wanted = self.wanted
        if self.max_shortage:
            limit = self.in_use + MAX_WANTED_ABOVE_IN_USE
            wanted = max(self.max_shortage, min(2 * wanted, limit))
            self.max_shortage = 0
        elif self.last_shortage_ms is not None:
            if now_ms - self.last_shortage_ms > WANTED_TTL_MS:
                wanted = 0
                self.last_shortage_ms = None
        changed = wanted != self.wanted
        self.wanted = wanted
        return changed

    def line(self, team, handed_over):
        """Returns the `HoldingLine` of this holding."""
        return _messages.HoldingLine(
            team=team,
            base=self.base,
            returned=self.returned,
            in_use=self.in_use + self.in_handover,
            wanted=self.wanted,
            handed_over=self.released + handed_over,
            granted=self.granted,
            ceiling=self.ceiling,
        )
