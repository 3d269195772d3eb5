"""The tokens that one entry VM holds."""

import functools

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import model


class TokenHolder(base.StateMachine):
    """Holds tokens of each team; a start needs one in hand.

    Parameters
    ----------
    vm_id : str
        This entry VM.
    data_centre : str
        Its data centre.
    membership : Membership
        The same VM's beliefs about others.
    ownership : Ownership
        The same VM's shards; the owner of shard 0 grants tokens.
    random_state : random.Random
        Source of randomness.
    """

    def __init__(
        self, *, vm_id, data_centre, membership, ownership, random_state
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.membership = membership
        self.ownership = ownership
        self.random_state = random_state
        self.limit_by_team_ = {}
        self._in_use_by_team = {}

    def acquire(self, team, now_ms, units=1):
        """Takes tokens for a start; returns whether there were enough."""
        if self.ownership.owns(model.ShardId(self.data_centre, 0)) is None:
            return False
        in_use = self._in_use_by_team.get(team, 0)
        if in_use + units > self.limit_by_team_.get(team, 0):
            return False
        self._in_use_by_team[team] = in_use + units
        return True

    def release(self, team, now_ms, units=1):
        """Gives tokens back after work surely ended."""
        in_use = self._in_use_by_team.get(team, 0)
        self._in_use_by_team[team] = max(0, in_use - units)

    def restore(self, team, units):
        """Counts work that was found running after a takeover."""
        in_use = self._in_use_by_team.get(team, 0)
        self._in_use_by_team[team] = in_use + units

    def excess(self, team):
        """Returns how many units must stop under a lowered limit."""
        in_use = self._in_use_by_team.get(team, 0)
        return max(0, in_use - self.limit_by_team_.get(team, 0))

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        actions = []
        self._on_event(event, now_ms, actions)
        return actions

    @functools.singledispatchmethod
    def _on_event(self, event, now_ms, actions):
        """Ignores events of other parts."""

    @_on_event.register
    def _(self, event: fleet.ConfigurationChanged, now_ms, actions):
        plans = event.configuration.plans_by_name
        self.limit_by_team_ = {
            team.name: plans[team.plan].max_running
            for team in event.configuration.teams_by_name.values()
            if team.plan in plans
        }
