"""Summaries of free and booked resources for the other entry VMs."""

from samphiregate.core import model
from samphiregate.core.workers import _ledger
from samphiregate.core.workers import _peer

MAX_USAGE_TEAMS = 32


class SummaryBuilder:
    """Builds the summaries of one entry VM.

    Parameters
    ----------
    ledger : Ledger
        Bookings.

    Notes
    -----
    A summary carries at most `MAX_USAGE_TEAMS` teams whose booked
    resources changed, to bound its size; the others follow in the next ones.
    """

    def __init__(self, *, ledger):
        self._ledger = ledger
        self._sent_by_team = {}

    def build(self, now_ms, leaving):
        """Returns the current `RoomSummary`."""
        records = self._ledger.workers_by_id.values()
        free = largest = model.Resources()
        for record in records:
            if not record.usable:
                continue
            free = free + record.room
            largest = _elementwise_max(largest, record.room)
        return _peer.RoomSummary(
            capacity=_ledger.usable_capacity(records),
            free=free,
            largest=largest,
            usage=tuple(self._changed_usage()),
            leaving=leaving,
        )

    def _changed_usage(self):
        usage = {
            team: _total_booked(bookings.values())
            for team, bookings in self._ledger.live_by_team.items()
        }
        teams = sorted(usage.keys() | self._sent_by_team.keys())
        changed = [
            team
            for team in teams
            if usage.get(team) != self._sent_by_team.get(team)
        ]
        for team in changed[:MAX_USAGE_TEAMS]:
            amount = usage.get(team)
            if amount is None:
                del self._sent_by_team[team]
            else:
                self._sent_by_team[team] = amount
            yield _peer.TeamUsage(team, amount or model.Resources())


def _elementwise_max(first, second):
    return model.Resources(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mib, second.memory_mib),
        max(first.accelerators, second.accelerators),
    )


def _total_booked(bookings):
    cpu = memory = accelerators = 0
    for booking in bookings:
        cpu += booking.resources.cpu_millis
        memory += booking.resources.memory_mib
        accelerators += booking.resources.accelerators
    return model.Resources(cpu, memory, accelerators)
