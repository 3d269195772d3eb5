"""Measures each team's use over windows of time."""

from bench.decisions import _records

WINDOW_MS = 10_000


class Meter:
    """Integrates dominant shares and notes who always had work waiting.

    Parameters
    ----------
    total : model.Resources
        Capacity of the site.
    outcome : Outcome
        Receives the windows.
    """

    def __init__(self, total, outcome):
        self.total = total
        self.outcome = outcome
        self.limited_teams = set()
        self.queued_by_team = {}
        self._used_by_team = {}
        self._share_by_team = {}
        self._integral_by_team = {}
        self._backlogged = set()
        self._now_ms = 0
        self._window_ms = 0

    def advance(self, now_ms):
        """Lets time pass; windows that are over are recorded."""
        while now_ms - self._window_ms >= WINDOW_MS:
            self._integrate(self._window_ms + WINDOW_MS)
            self._close_window()
        self._integrate(now_ms)

    def finish(self, end_ms):
        """Records the last whole window."""
        self.advance(end_ms)

    def change_queued(self, team, by):
        """Counts a team's waiting works."""
        self.queued_by_team[team] = self.queued_by_team.get(team, 0) + by

    def note_backlog(self):
        """Notes, after a round of starts, who has nothing waiting."""
        self._backlogged = {
            team
            for team in self._backlogged
            if self.queued_by_team[team] and team not in self.limited_teams
        }

    def change_used(self, team, resources, sign):
        """Takes in that a task of a team started or ended."""
        used = self._used_by_team.setdefault(team, [0, 0, 0])
        used[0] += sign * resources.cpu_millis
        used[1] += sign * resources.memory_mib
        used[2] += sign * resources.accelerators
        totals = (
            self.total.cpu_millis,
            self.total.memory_mib,
            self.total.accelerators,
        )
        parts = zip(used, totals, strict=True)
        self._share_by_team[team] = max(
            part / all_ for part, all_ in parts if all_
        )

    def _integrate(self, now_ms):
        elapsed_ms = now_ms - self._now_ms
        if not elapsed_ms:
            return
        self._now_ms = now_ms
        integrals = self._integral_by_team
        for team, share in self._share_by_team.items():
            integrals[team] = integrals.get(team, 0.0) + share * elapsed_ms

    def _close_window(self):
        part_by_team = {
            team: integral / WINDOW_MS
            for team, integral in self._integral_by_team.items()
        }
        window = _records.Window(
            self._window_ms, part_by_team, frozenset(self._backlogged)
        )
        self.outcome.windows.append(window)
        self._window_ms += WINDOW_MS
        self._integral_by_team = {}
        self._backlogged = {
            team for team, queued in self.queued_by_team.items() if queued
        }
