"""A granting VM's records of each holder."""

import attrs

from samphiregate.core.limits import _messages


@attrs.define
class TeamAccount:
    """One team's tokens on one holder, as seen by the granting VM.

    The holder never has more than `held`, because grants are counted when
    they are sent and returns when they arrive.

    `base`, `returned`, `in_use`, `wanted` and `handed_over` are as in the
    latest `HoldingLine`, whose `granted` and `ceiling` are
    `reported_granted` and `reported_ceiling`. `granted`, `recalled`,
    `released` and `ceiling` are as in the `GrantLine` to send.
    `handed_over_ms` is when `handed_over` last changed.
    """

    base: int = 0
    granted: int = 0
    returned: int = 0
    recalled: int = 0
    released: int = 0
    in_use: int = 0
    wanted: int = 0
    handed_over: int = 0
    handed_over_ms: int = 0
    reported_granted: int = 0
    reported_ceiling: int = _messages.NO_CEILING
    ceiling: int = _messages.NO_CEILING

    @property
    def held(self):
        """Upper bound of the tokens that the holder has."""
        return self.base + self.granted - self.returned

    @property
    def allocated(self):
        """Tokens that no other holder may have."""
        return max(self.held, self.in_use)

    @property
    def overdraft(self):
        """Tokens of running work in excess of those held."""
        return max(0, self.in_use - self.held)

    @property
    def demand(self):
        """Tokens that the holder could use."""
        return self.in_use + self.wanted

    @property
    def pending_recall(self):
        """Recalled tokens whose return has not arrived."""
        return max(0, self.recalled - self.returned)

    @property
    def needs_resend(self):
        """Whether the holder has not confirmed the latest values."""
        return (
            self.pending_recall > 0
            or self.reported_granted != self.granted
            or self.reported_ceiling != self.ceiling
            or self.handed_over > self.released
        )


@attrs.define
class HolderAccount:
    """One holder's account.

    Parameters
    ----------
    number : int
        Account number, chosen by the holder.
    sequence : int
        Sequence number of the latest report.
    acknowledged : int
        Sequence number of the latest acknowledged report.
    reported_ms : int
        When the latest report arrived.
    teams_by_name : dict
        `TeamAccount` records, keyed by team.
    changed_teams : set
        Teams with changes to send to the holder.
    """

    number: int
    sequence: int = 0
    acknowledged: int = 0
    reported_ms: int = 0
    teams_by_name: dict = attrs.field(factory=dict)
    changed_teams: set = attrs.field(factory=set)

    def team(self, team):
        """Returns the record of a team; creates it if missing."""
        record = self.teams_by_name.get(team)
        if record is None:
            record = TeamAccount()
            self.teams_by_name[team] = record
        return record

    def grant(self, team, count):
        """Grants further tokens."""
        self.team(team).granted += count
        self.changed_teams.add(team)

    def recall(self, team, count):
        """Recalls `count` tokens in addition to pending recalls."""
        record = self.team(team)
        # Returns in excess of earlier recalls don't count for this one.
        record.recalled = record.returned + record.pending_recall + count
        self.changed_teams.add(team)

    def release(self, team):
        """Allows the holder to return its handed-over tokens."""
        record = self.team(team)
        record.released = record.handed_over
        self.changed_teams.add(team)

    def set_ceiling(self, team, ceiling):
        """Sets the limit above which the holder has to stop work."""
        record = self.team(team)
        if record.ceiling != ceiling:
            record.ceiling = ceiling
            self.changed_teams.add(team)

    def grant_lines(self, teams):
        """Returns the `GrantLine` of each given team."""
        return tuple(
            _messages.GrantLine(
                team=team,
                granted=self.team(team).granted,
                recalled=self.team(team).recalled,
                released=self.team(team).released,
                ceiling=self.team(team).ceiling,
            )
            for team in sorted(teams)
        )
