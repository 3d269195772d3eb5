"""Routing policies, which choose an endpoint for each request."""

import random

from samphiregate.core import base
from samphiregate.core.routing import _messages
from samphiregate.core.routing import _table
from samphiregate import parameters


class _EndpointPolicy(base.Policy):
    """Base of the routing policies; maintains the table of endpoints."""

    def __init__(self):
        self.table_ = _table.EndpointTable()

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies `EndpointChanged` and `EndpointRemoved`.

        Other events are ignored.
        """

    @observe.register
    def _(self, event: _messages.EndpointChanged, now_ms):
        self.table_.update(event)

    @observe.register
    def _(self, event: _messages.EndpointRemoved, now_ms):
        self.table_.remove(event)

    def choose(self, question, now_ms):
        """Returns an endpoint's id for a `PickEndpoint`, or None."""
        candidates = self.table_.candidates(question)
        if not len(candidates):
            return None
        return self._pick(candidates, question.excluded)

    def describe(self):
        """Returns the number of endpoints and of those with free slots."""
        return {
            "endpoints": len(self.table_.all_ids),
            "with_free_slots": len(self.table_.free_ids),
        }

    def _score(self, endpoint_id):
        return self.table_.endpoints_by_id[endpoint_id].score()


class PowerOfTwo(_EndpointPolicy):
    """Draws endpoints at random and chooses the best of those drawn.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    draws : int
        Endpoints drawn for each decision, with replacement.

    Notes
    -----
    The cost of a decision does not depend on the number of endpoints, and
    several entry VMs with the same stale load data do not all choose the
    same endpoint.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
    """

    parameter_table = {"draws": parameters.Interval(int, 1, 8)}

    def __init__(self, *, random_state=None, draws=2):
        super().__init__()
        self.random_state = random_state or random.Random(0)
        self.draws = draws
        self.check_parameters()

    def _pick(self, candidates, excluded):
        drawn = {candidates.draw(self.random_state) for _ in range(self.draws)}
        allowed = sorted(drawn - excluded)
        if not allowed and excluded:
            allowed = sorted(set(candidates) - excluded)
        return min(allowed, key=self._score, default=None)


class LeastLoaded(_EndpointPolicy):
    """Chooses the endpoint with the best score of all.

    Notes
    -----
    A baseline: each decision compares all endpoints, and entry VMs with the
    same stale load data send their requests to the same endpoint.
    """

    def _pick(self, candidates, excluded):
        allowed = sorted(set(candidates) - excluded)
        return min(allowed, key=self._score, default=None)


class RoundRobin(_EndpointPolicy):
    """Chooses endpoints in turn, whatever their load; a baseline."""

    def __init__(self):
        super().__init__()
        self.last_id_ = ""

    def _pick(self, candidates, excluded):
        allowed = sorted(set(candidates) - excluded)
        if not allowed:
            return None
        later_ids = (name for name in allowed if name > self.last_id_)
        self.last_id_ = next(later_ids, allowed[0])
        return self.last_id_


POLICIES_BY_NAME = {
    "least-loaded": LeastLoaded,
    "power-of-two": PowerOfTwo,
    "round-robin": RoundRobin,
}


def make_router(name, **params):
    """Returns a new routing policy.

    Parameters
    ----------
    name : str
        Key of `POLICIES_BY_NAME`.
    **params
        Parameters of the policy.

    Raises
    ------
    SettingError
        If the name is unknown.
    """
    return parameters.make_named("routing", POLICIES_BY_NAME, name, params)
