"""Observes a virtual cluster and records violations of its invariants."""

import collections

import attrs

PAUSE_LIMIT_MS = 2_300


@attrs.frozen
class Violation:
    """A violation of an invariant, and when it happened."""

    time_ms: int
    rule: str
    detail: str


class Oracle:
    """Checks the invariants of the cluster.

    Parameters
    ----------
    loop : VirtualLoop
        Source of time.
    settle_ms : int
        Time in which a lowered limit takes effect.
    """

    def __init__(self, *, loop, settle_ms):
        self.loop = loop
        self.settle_ms = settle_ms
        self.violations = []
        self.started_by_team = collections.Counter()
        self.running_by_team = collections.Counter()
        self.peak_by_team = collections.Counter()
        self._running_ids = set()
        self._paused_tenures = set()
        self._limits = {}
        self._owner_by_epoch = {}
        self._exchange_owner_by_epoch = {}
        self._epoch_by_shard = {}
        self._stored_epochs = {}

    def fail(self, rule, detail):
        """Records a violation."""
        self.violations.append(Violation(self.loop.now_ms, rule, detail))

    def set_limit(self, team, limit):
        """Records an accepted edit of a limit."""
        self._limits.setdefault(team, []).append((self.loop.now_ms, limit))

    def limit(self, team):
        """Returns the highest limit that may be in force somewhere."""
        entries = self._limits.get(team, [(0, 0)])
        since_ms = self.loop.now_ms - self.settle_ms
        recent = [limit for time_ms, limit in entries if time_ms > since_ms]
        older = [limit for time_ms, limit in entries if time_ms <= since_ms]
        return max(recent + older[-1:], default=0)

    # Work.

    def on_start(self, work_id, team):
        """Records that a worker or runner started a piece of work."""
        if work_id in self._running_ids:
            self.fail("runs once", work_id)
        self._running_ids.add(work_id)
        self.started_by_team[team] += 1
        self.running_by_team[team] += 1
        running = self.running_by_team[team]
        self.peak_by_team[team] = max(running, self.peak_by_team[team])
        if running > self.limit(team):
            self.fail("limit", f"{team}: {running} above {self.limit(team)}")

    def on_end(self, work_id, team):
        """Records that a piece of work ended, or its lease expired."""
        self._running_ids.discard(work_id)
        self.running_by_team[team] -= 1

    def on_command(self, exchange):
        """Checks the owner and epoch of an exchange that a worker accepted."""
        key = (exchange.shard, exchange.epoch)
        owner = self._exchange_owner_by_epoch.setdefault(key, exchange.owner)
        if owner != exchange.owner:
            self.fail("one owner a worker", f"{key}: {owner}")
        highest = self._epoch_by_shard.get(exchange.shard, 0)
        if exchange.epoch < highest:
            self.fail("worker's epoch", f"{key} below {highest}")
        self._epoch_by_shard[exchange.shard] = max(highest, exchange.epoch)

    def on_resumed(self, vm_id, epoch_by_shard, pause_ms):
        """Records the shards that a VM owned before a pause that ends."""
        if pause_ms > PAUSE_LIMIT_MS:
            for shard, epoch in epoch_by_shard.items():
                self._paused_tenures.add((vm_id, shard, epoch))

    def on_sent(self, exchange):
        """Checks that no exchange is sent under a tenure before a pause."""
        key = (exchange.owner, exchange.shard, exchange.epoch)
        if key in self._paused_tenures:
            self.fail("paused VM acts", str(key))

    # Ownership.

    def on_gained(self, vm_id, shard, epoch):
        """Checks that a shard has one owner in each epoch."""
        owner = self._owner_by_epoch.setdefault((shard, epoch), vm_id)
        if owner != vm_id:
            self.fail("one owner an epoch", f"{shard} {epoch} {vm_id}")

    def on_table(self, vm_id, epoch_by_shard, previous):
        """Checks that no epoch in a VM's table has fallen."""
        for shard, epoch in previous.items():
            if epoch_by_shard.get(shard, 0) < epoch:
                self.fail("epochs rise", f"{vm_id} {shard}")

    def on_stored(self, key, entries):
        """Checks that no epoch in a stored table has fallen."""
        previous = self._stored_epochs.setdefault(key, {})
        for number, entry in entries.items():
            if entry.epoch < previous.get(number, 0):
                self.fail("stored epochs rise", f"{key} {number}")
            previous[number] = entry.epoch

    # Tokens.

    def check_tokens(self, team, count):
        """Checks that the tokens of a team don't exceed its limit."""
        if count > self.limit(team):
            self.fail("tokens", f"{team}: {count} above {self.limit(team)}")
