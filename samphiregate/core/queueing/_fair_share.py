"""Weighted dominant-resource fairness with a decaying usage history."""

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.queueing import _messages
from samphiregate.core.queueing import _ranking
from samphiregate.core.queueing import _team
from samphiregate import parameters

DEFAULT_WEIGHT = 1.0
MIN_WEIGHT = 1e-6
NEGLIGIBLE_SHARE = 1e-6
INITIAL_TOTAL = model.Resources(1, 1, 1)
URGENT_LANES = (_team.URGENT_LANE,)
EXPEDITED_LANES = (_team.URGENT_LANE, _team.REQUEST_LANE)


class FairShareQueue(base.Policy):
    """Starts work of the team with the lowest weighted usage.

    Parameters
    ----------
    half_life_ms : int
        Half-life of the usage history, in milliseconds.
    history_weight : float
        Weight of past usage; running work has weight 1.
    history_step_ms : int
        Interval between updates of all teams' histories, in milliseconds.
    remote_weight : float
        Weight of usage in other data centres; local usage has weight 1.
    remote_ttl_ms : int
        Age at which the usage reported by other data centres expires, in
        milliseconds.
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    A team's score is the dominant share of its running work, plus
    `history_weight` times the exponentially decayed mean of that share,
    plus `remote_weight` times its share in other data centres, divided by
    the team's weight. The lowest score goes first. The history lies between
    zero and the largest share that the team has had, so the credit of an
    idle team is at most `history_weight` times the usage of the others, and
    halves with each half-life.

    Within a team, urgent work goes first, then requests, then other work,
    each in order of arrival. Across teams, urgent work goes first while its
    team's running urgent work alone is below the team's weight as a
    fraction of the weights of all active teams. Next are requests of teams
    whose running work in total is below that fraction.

    References
    ----------
    Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple
    Resource Types", NSDI 2011.
    """

    parameter_table = {
        "half_life_ms": parameters.Interval(int, 100, 86_400_000),
        "history_weight": parameters.Interval(float, 0.0, 10.0),
        "history_step_ms": parameters.Interval(int, 1, 60_000),
        "remote_weight": parameters.Interval(float, 0.0, 1.0),
        "remote_ttl_ms": parameters.Interval(int, 1, 3_600_000),
    }

    def __init__(
        self,
        *,
        half_life_ms=30_000,
        history_weight=0.25,
        history_step_ms=500,
        remote_weight=1.0,
        remote_ttl_ms=30_000,
        random_state=None,
    ):
        self.half_life_ms = half_life_ms
        self.history_weight = history_weight
        self.history_step_ms = history_step_ms
        self.remote_weight = remote_weight
        self.remote_ttl_ms = remote_ttl_ms
        self.random_state = random_state
        self.check_parameters()
        self.total_ = INITIAL_TOTAL
        self.weight_by_team_ = {}
        self.teams_by_name_ = {}
        self.items_by_id_ = {}
        self._ranking = _ranking.Ranking()
        self._expedited_ranking = _ranking.Ranking()
        self._demand_ranking = _ranking.Ranking()
        self._active_weight = 0.0
        self._used_share = 0.0
        self._next_refresh_ms = 0
        self._remote_expiry_ms = None

    def observe(self, event, now_ms):
        """Applies a queue event; other events only advance the time."""
        if now_ms >= self._next_refresh_ms:
            self._refresh(now_ms)
        self._observe(event, now_ms)

    @base.singledispatchmethod
    def _observe(self, event, now_ms):
        pass

    @_observe.register
    def _(self, event: _messages.ItemQueued, now_ms):
        item = event.item
        if item.item_id in self.items_by_id_:
            return
        team = self._find_or_add_team(item.team, now_ms)
        self.items_by_id_[item.item_id] = item
        lane = team.lanes[_team.lane_index(item)]
        lane.add(item, at_front=event.at_front)
        team.queued.add_scaled(item.resources, item.units)
        self._rank(team)

    @_observe.register
    def _(self, event: _messages.ItemRemoved, now_ms):
        item = self.items_by_id_.pop(event.item_id, None)
        if item is None:
            return
        if not self.items_by_id_:
            # A dict keeps its memory after deletions; a new one releases it.
            self.items_by_id_ = {}
        team = self.teams_by_name_[item.team]
        team.lanes[_team.lane_index(item)].remove(item.item_id)
        team.queued.add_scaled(item.resources, -item.units)
        self._rank(team)

    @_observe.register
    def _(self, event: _messages.ItemStarted, now_ms):
        self._update_running(event, 1, now_ms)

    @_observe.register
    def _(self, event: _messages.ItemEnded, now_ms):
        self._update_running(event, -1, now_ms)

    @_observe.register
    def _(self, event: _messages.WeightsChanged, now_ms):
        self.weight_by_team_ = dict(event.weight_by_team)
        for team in self.teams_by_name_.values():
            team.weight = self._weight_of(team.name)
        self._rank_all()

    @_observe.register
    def _(self, event: _messages.CapacityChanged, now_ms):
        self.total_ = event.total
        for team in self.teams_by_name_.values():
            team.decay_history(now_ms, self.half_life_ms)
            team.update_shares(self.total_)
        self._rank_all()

    @_observe.register
    def _(self, event: _messages.RemoteUsageChanged, now_ms):
        self._remote_expiry_ms = now_ms + self.remote_ttl_ms
        for name in event.usage_by_team:
            self._find_or_add_team(name, now_ms)
        for team in self.teams_by_name_.values():
            used = event.usage_by_team.get(team.name, model.Resources())
            amount = _team.ResourceSum()
            amount.add_scaled(used, 1)
            team.remote_share = amount.share_of(self.total_)
        self._rank_all()

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Returns the item to start or to shed, or None.

        Parameters
        ----------
        question : NextItem or ItemToShed
            Which item is requested.
        now_ms : int
            Monotonic time, in milliseconds.

        Raises
        ------
        TypeError
            If `question` is of another type.
        """
        raise TypeError(
            f"expected NextItem or ItemToShed, not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.NextItem, now_ms):
        item = self._first_expedited(question)
        if item is not None:
            return item
        for _score, name in self._ranking:
            if name in question.skipped_teams:
                continue
            team = self.teams_by_name_[name]
            item = team.first(question.skipped_items)
            if item is not None:
                return item
        return None

    @choose.register
    def _(self, question: _messages.ItemToShed, now_ms):
        name = self._demand_ranking.highest()
        return self.teams_by_name_[name].shed_candidate() if name else None

    def describe(self):
        """Returns the queue length and each team's shares and score."""
        return {
            "policy": "fair-share",
            "queued": len(self.items_by_id_),
            "teams": {
                team.name: {
                    "queued": team.queued_count(),
                    "share": round(team.share, 6),
                    # The fair share; readers of the status expect this key.
                    "due": round(self.fair_share(team.name), 6),
                    "history": round(team.history, 6),
                    "score": round(self._score(team), 6),
                }
                for team in self.teams_by_name_.values()
            },
        }

    def fair_share(self, name):
        """Returns a team's fair share of the usage of all active teams.

        Parameters
        ----------
        name : str
            Name of the team.

        Returns
        -------
        float
            Dominant share; 0 for a team without queued or running work.

        Notes
        -----
        It is a fraction of the used share, not of the total capacity: where
        the older scheduler or failed workers reduce the free capacity, no
        team could reach its fraction of the total.
        """
        team = self.teams_by_name_.get(name)
        if team is None or not self._is_active(team):
            return 0.0
        return team.weight / self._active_weight * self._used_share

    def weight_share(self, name):
        """Returns a team's weight as a part of those of all active teams.

        0 for a team without queued or running work.
        """
        team = self.teams_by_name_.get(name)
        if team is None or not self._is_active(team):
            return 0.0
        return team.weight / self._active_weight

    def share(self, name):
        """Returns the dominant share of a team's running work."""
        team = self.teams_by_name_.get(name)
        return team.share if team is not None else 0.0

    def urgent_share(self, name):
        """Returns the dominant share of a team's running urgent work."""
        team = self.teams_by_name_.get(name)
        return team.urgent_share if team is not None else 0.0

    def _first_expedited(self, question):
        request_item = None
        for _score, name in self._expedited_ranking:
            if name in question.skipped_teams:
                continue
            team = self.teams_by_name_[name]
            weight_share = team.weight / self._active_weight
            if team.urgent_share < weight_share:
                item = team.first(question.skipped_items, URGENT_LANES)
                if item is not None:
                    return item
            if request_item is None and team.share < weight_share:
                request_item = team.first(
                    question.skipped_items, EXPEDITED_LANES
                )
        return request_item

    def _update_running(self, event, sign, now_ms):
        team = self._find_or_add_team(event.team, now_ms)
        team.decay_history(now_ms, self.half_life_ms)
        team.running.add_scaled(event.resources, sign)
        if event.urgent:
            team.running_urgent.add_scaled(event.resources, sign)
        self._used_share -= team.share
        team.update_shares(self.total_)
        self._used_share += team.share
        self._rank(team)

    def _find_or_add_team(self, name, now_ms):
        team = self.teams_by_name_.get(name)
        if team is None:
            weight = self._weight_of(name)
            team = _team.TeamRecord(name, weight, now_ms)
            self.teams_by_name_[name] = team
        return team

    def _weight_of(self, name):
        weight = self.weight_by_team_.get(name, DEFAULT_WEIGHT)
        return max(weight, MIN_WEIGHT)

    def _is_active(self, team):
        return team.share > 0 or team.queued_count() > 0

    def _score(self, team):
        used = team.share + self.history_weight * team.history
        used += self.remote_weight * team.remote_share
        return used / team.weight

    def _rank(self, team):
        was_counted = team.is_counted
        team.is_counted = self._is_active(team)
        if team.is_counted != was_counted:
            self._active_weight += team.weight * (1 if team.is_counted else -1)
        if team.queued_count() == 0:
            self._ranking.remove(team.name)
            self._expedited_ranking.remove(team.name)
            self._demand_ranking.remove(team.name)
            return
        score = self._score(team)
        self._ranking.set_score(team.name, score)
        if team.has_expedited():
            self._expedited_ranking.set_score(team.name, score)
        else:
            self._expedited_ranking.remove(team.name)
        demand = team.share + team.queued.share_of(self.total_)
        self._demand_ranking.set_score(team.name, demand / team.weight)

    def _rank_all(self):
        self._active_weight = 0.0
        self._used_share = 0.0
        for team in self.teams_by_name_.values():
            self._used_share += team.share
            team.is_counted = False
            self._rank(team)

    def _refresh(self, now_ms):
        self._next_refresh_ms = now_ms + self.history_step_ms
        remote_expiry_ms = self._remote_expiry_ms
        if remote_expiry_ms is not None and now_ms >= remote_expiry_ms:
            self._remote_expiry_ms = None
            for team in self.teams_by_name_.values():
                team.remote_share = 0.0
        for team in self.teams_by_name_.values():
            team.decay_history(now_ms, self.half_life_ms)
        self._rank_all()
        self._remove_idle_teams()

    def _remove_idle_teams(self):
        idle = [
            name
            for name, team in self.teams_by_name_.items()
            if not self._is_active(team)
            and team.history < NEGLIGIBLE_SHARE
            and not team.remote_share
        ]
        for name in idle:
            del self.teams_by_name_[name]
