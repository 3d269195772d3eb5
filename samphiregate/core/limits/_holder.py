"""State machine that holds the tokens of one entry VM."""

import itertools

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core.limits import _granter
from samphiregate.core.limits import _holding
from samphiregate.core.limits import _messages
from samphiregate.core import model
from samphiregate.core import store
from samphiregate import parameters

REPORT_PERIOD_MS = 1_000
MAX_LINES_PER_REPORT = 32


class TokenHolder(base.StateMachine, parameters.Parameterised):
    """Holds the tokens of each team and takes them for work that starts.

    Parameters
    ----------
    vm_id : str
        This entry VM.
    data_centre : str
        Its data centre.
    membership : Membership
        Membership state of this VM; it handles each event first.
    ownership : Ownership
        Shards of this VM; it handles each event before this machine.
    random_state : random.Random
        Source of randomness.
    lapse_ms : int
        Time after which work of a VM that is gone is known to have ended;
        exceeds the longest task lease and the longest request deadline.
    isolation_ms : int
        Time without contact to any VM or the platform after which no
        token is used, if the data centre has other VMs.
    pause_limit_ms : int
        Longest gap between events that does not count as a pause.
    write_period_ms : int
        Minimum time between two writes of the ledger.

    Attributes
    ----------
    limit_by_team_ : dict
        Upper limits in the latest configuration.

    Notes
    -----
    The owner of shard 0 of a data centre grants its tokens. A holder keeps
    its tokens for as long as it runs, so an outage of the store or of the
    granting VM prevents transfers of tokens but not their use.
    """

    parameter_table = {
        "lapse_ms": parameters.Interval(int, 100, 3_600_000),
        "isolation_ms": parameters.Interval(int, 100, 3_600_000),
        "pause_limit_ms": parameters.Interval(int, 200, 600_000),
        "write_period_ms": parameters.Interval(int, 0, 600_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        membership,
        ownership,
        random_state,
        lapse_ms=30_000,
        isolation_ms=15_000,
        pause_limit_ms=2_000,
        write_period_ms=1_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.membership = membership
        self.ownership = ownership
        self.random_state = random_state
        self.lapse_ms = lapse_ms
        self.isolation_ms = isolation_ms
        self.pause_limit_ms = pause_limit_ms
        self.write_period_ms = write_period_ms
        self.check_parameters()
        self.limit_by_team_ = {}
        self.revision_ = 0
        self._shard = model.ShardId(data_centre, 0)
        self._holdings_by_team = {}
        self._granter = None
        self._epoch = 0
        self._account = 1
        self._sequence = 0
        self._registered = False
        self._leaving = False
        self._isolated = False
        self._last_listed_ms = None
        # A dict used as a set in insertion order, so that the oldest change
        # is reported first.
        self._changed_teams = {}
        self._returning_teams = set()
        self._sequence_by_unacknowledged_team = {}
        self._next_report_ms = 0
        self._call_ids = itertools.count(1)
        self._pause = base.PauseDetector(limit_ms=pause_limit_ms)

    # Direct calls from other state machines.

    def acquire(self, team, now_ms, units=1):
        """Takes tokens for work that is about to start.

        Parameters
        ----------
        team : str
            Team of the work.
        now_ms : int
            Time in milliseconds.
        units : int
            Units of work to start; takes one token for each, or none.

        Returns
        -------
        bool
            Whether enough tokens were idle; if not, none is taken and more
            are requested.
        """
        holding = self._holding(team)
        if self._isolated or holding.idle < units:
            holding.record_shortage(units, now_ms)
            return False
        holding.in_use += units
        self._changed_teams[team] = True
        return True

    def release(self, team, now_ms, units=1):
        """Releases the tokens of work that is known to have ended."""
        holding = self._holding(team)
        holding.in_use = max(0, holding.in_use - units)
        self._changed_teams[team] = True
        if holding.return_due_tokens():
            self._returning_teams.add(team)

    def hand_over(self, team, now_ms, units=1):
        """Sets aside the tokens of work that continues under another owner.

        Call it instead of `release` for work of a shard that this VM lost;
        the new owner counts that work with `restore`.
        """
        self._holding(team).add_handover(units, now_ms)
        self._changed_teams[team] = True

    def restore(self, team, units):
        """Counts running work that was found after a takeover."""
        self._holding(team).in_use += units
        self._changed_teams[team] = True

    def excess(self, team):
        """Returns the units that must stop under a lowered limit."""
        holding = self._holdings_by_team.get(team)
        if holding is None or holding.ceiling == _messages.NO_CEILING:
            return 0
        return max(0, holding.in_use - holding.ceiling)

    def idle(self, team):
        """Returns the tokens available to new work."""
        holding = self._holdings_by_team.get(team)
        return max(0, holding.idle) if holding else 0

    def in_use_by_team(self):
        """Returns the tokens in use, keyed by team, without zeros."""
        return {
            team: holding.in_use
            for team, holding in self._holdings_by_team.items()
            if holding.in_use
        }

    # Events.

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        actions = []
        if self._pause.observe(now_ms):
            # Other holders may have been granted this VM's tokens during
            # the pause.
            self._granter = None
            self._open_account()
        self._update_granter(now_ms)
        self._on_event(event, now_ms, actions)
        return actions

    @base.singledispatchmethod
    def _on_event(self, event, now_ms, actions):
        """Ignores events of other parts."""

    @_on_event.register
    def _(self, event: fleet.ConfigurationChanged, now_ms, actions):
        configuration = event.configuration
        if configuration.revision < self.revision_:
            return
        plans = configuration.plans_by_name
        self.revision_ = configuration.revision
        self.limit_by_team_ = {
            team.name: plans[team.plan].max_running
            for team in configuration.teams_by_name.values()
            if team.plan in plans
        }

    @_on_event.register
    def _(self, event: fleet.FleetListed, now_ms, actions):
        if self.vm_id in event.entry_vms_by_id:
            self._last_listed_ms = now_ms

    @_on_event.register
    def _(self, event: base.StopRequested, now_ms, actions):
        self._leaving = True

    @_on_event.register
    def _(self, event: base.Tick, now_ms, actions):
        self._check_isolation(now_ms)
        if self._granter is not None:
            self._granter.revision_ = self.revision_
            self._granter.limit_by_team_ = self.limit_by_team_
            self._granter.tick(now_ms, actions)
        if self._leaving:
            self._return_all()
        self._report(now_ms, actions)

    @_on_event.register
    def _(self, event: store.StoreAnswered, now_ms, actions):
        if self._granter is not None:
            self._granter.on_store(event, now_ms, actions)

    @_on_event.register
    def _(self, event: base.PeerDelivered, now_ms, actions):
        self._on_message(event.message, event.sender, now_ms, actions)

    # Messages.

    @base.singledispatchmethod
    def _on_message(self, message, sender, now_ms, actions):
        """Ignores messages of other parts."""

    @_on_message.register
    def _(self, message: _messages.TokenReport, sender, now_ms, actions):
        if self._granter is not None:
            self._granter.on_report(message, sender, now_ms, actions)

    @_on_message.register
    def _(self, message: _messages.TokenDemand, sender, now_ms, actions):
        if self._granter is not None:
            self._granter.on_demand(message, now_ms)

    @_on_message.register
    def _(
        self, message: _messages.ApportionmentMoved, sender, now_ms, actions
    ):
        if self._granter is not None:
            if message.version > self._granter.ledger.version_:
                self._granter.ledger.request_read()

    @_on_message.register
    def _(self, message: _messages.TokenGrant, sender, now_ms, actions):
        if message.epoch != self._epoch or message.account != self._account:
            return
        if not message.registered:
            if self._registered:
                self._open_account()
            return
        self._registered = True
        self._on_acknowledged(message.sequence)
        for line in message.lines:
            holding = self._holding(line.team)
            returned = holding.returned
            holding.apply_grant(line)
            self._changed_teams[line.team] = True
            if holding.returned != returned:
                self._returning_teams.add(line.team)

    def _on_acknowledged(self, sequence):
        for team, reported_sequence in tuple(
            self._sequence_by_unacknowledged_team.items()
        ):
            if reported_sequence <= sequence:
                del self._sequence_by_unacknowledged_team[team]

    # Held tokens.

    def _holding(self, team):
        holding = self._holdings_by_team.get(team)
        if holding is None:
            holding = _holding.Holding()
            self._holdings_by_team[team] = holding
        return holding

    def _open_account(self):
        """Opens a new account, which keeps only tokens of running work."""
        self._account += 1
        self._reset_reports()
        for holding in self._holdings_by_team.values():
            holding.drop_idle()
            holding.begin_epoch()

    def _reset_reports(self):
        self._sequence = 0
        self._registered = False
        self._sequence_by_unacknowledged_team.clear()

    def _return_all(self):
        for team, holding in self._holdings_by_team.items():
            if holding.return_idle(holding.idle):
                self._returning_teams.add(team)

    def _check_isolation(self, now_ms):
        contact_ms = max(
            self.membership.received_ms_, self._last_listed_ms or 0
        )
        alone = not any(
            peer.data_centre == self.data_centre
            for peer in self.membership.peers_by_id_.values()
        )
        silent = now_ms - contact_ms > self.isolation_ms
        isolated = silent and not alone
        if isolated != self._isolated:
            self._open_account()
            if self._granter is not None:
                self._granter.ledger.require_confirmation()
        self._isolated = isolated

    # Granting VM.

    def _update_granter(self, now_ms):
        """Applies a change of the granting VM, which can be this VM."""
        entry = self.ownership.entry_of(self._shard)
        epoch = entry.epoch if entry is not None else 0
        owned_epoch = self.ownership.owned_epoch(self._shard)
        granter_epoch = (
            self._granter.epoch if self._granter is not None else None
        )
        if owned_epoch != granter_epoch:
            self._change_granter(owned_epoch, now_ms)
        if epoch != self._epoch:
            self._epoch = epoch
            self._reset_reports()
            for holding in self._holdings_by_team.values():
                holding.begin_epoch()

    def _change_granter(self, epoch, now_ms):
        if self._granter is not None:
            # The pool of the ended epoch becomes part of this VM's holdings.
            # `begin_epoch` counts it in `base`, which is reported to the
            # next granting VM.
            for team in self._granter.teams():
                self._holding(team).held += max(0, self._granter.pool(team))
        self._granter = None
        if epoch is not None:
            self._granter = _granter.TokenGranter(
                vm_id=self.vm_id,
                data_centre=self.data_centre,
                epoch=epoch,
                gained_ms=now_ms,
                membership=self.membership,
                ownership=self.ownership,
                call_ids=self._call_ids,
                random_state=self.random_state,
                lapse_ms=self.lapse_ms,
                write_period_ms=self.write_period_ms,
            )

    def _report(self, now_ms, actions):
        entry = self.ownership.entry_of(self._shard)
        if entry is None or not entry.owner:
            return
        due = now_ms >= self._next_report_ms
        urgent = self._collect_urgent_teams(now_ms, due)
        if not due and not urgent:
            return
        if due:
            self._next_report_ms = now_ms + REPORT_PERIOD_MS
        self._sequence += 1
        teams = self._teams_to_report(urgent)
        for team in teams:
            self._sequence_by_unacknowledged_team[team] = self._sequence
        teams = set(self._sequence_by_unacknowledged_team)
        if not self._registered:
            teams = self._holdings_by_team
        message = _messages.TokenReport(
            epoch=self._epoch,
            account=self._account,
            sequence=self._sequence,
            complete=not self._registered,
            lines=tuple(self._line(team, now_ms) for team in sorted(teams)),
        )
        actions.append(base.SendToPeer(entry.owner, message))

    def _collect_urgent_teams(self, now_ms, due):
        """Updates `wanted` and returns the teams to report at once.

        These are the teams whose `wanted` changed or that returned tokens.
        Teams that use more tokens than they hold, or that have handed-over
        tokens, are marked as changed.
        """
        urgent = set(self._returning_teams)
        for team, holding in self._holdings_by_team.items():
            if due or holding.max_shortage:
                if holding.update_wanted(now_ms):
                    urgent.add(team)
            if holding.in_use > holding.held or holding.handovers:
                self._changed_teams[team] = True
        self._returning_teams.clear()
        return urgent

    def _teams_to_report(self, urgent):
        """Returns the teams to report.

        These are at most `MAX_LINES_PER_REPORT`, unless more are urgent or
        have a negative `idle`.
        """
        chosen = urgent | {
            team
            for team in self._changed_teams
            if self._holdings_by_team[team].idle < 0
        }
        for team in self._changed_teams:
            if len(chosen) >= MAX_LINES_PER_REPORT:
                break
            chosen.add(team)
        for team in chosen:
            self._changed_teams.pop(team, None)
        return chosen

    def _line(self, team, now_ms):
        holding = self._holding(team)
        handed_over = holding.handed_over_until(now_ms - self.lapse_ms)
        return holding.line(team, handed_over)
