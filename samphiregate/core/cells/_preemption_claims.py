"""Room that stopped runs leave, kept for the tasks that they were stopped for.

A stop takes a while, and other tasks would take the room bit by bit. The
claims are in memory only: without them, urgent tasks are still the first in
the order of a plan.
"""

import collections

import attrs

from samphiregate.core.cells import _work


@attrs.define(eq=False)
class Claim:
    """Room on one endpoint for tasks of a stage.

    Parameters
    ----------
    stage : Stage
    endpoint_id : str
    count : int
        Number of tasks.
    made_ms : int
    until_ms : float
        After which the tasks would be late all the same.
    stopped : list of Booking
        Runs that were stopped there for it and have not ended.
    """

    stage: object
    endpoint_id: str
    count: int
    made_ms: int
    until_ms: float
    stopped: list

    @property
    def resources(self):
        """What the tasks need."""
        return self.stage.step.booked.scaled_by(self.count)


class Claims:
    """The claims of all stages, by endpoint."""

    def __init__(self):
        self._claims_by_endpoint = {}

    def __bool__(self):
        return bool(self._claims_by_endpoint)

    def add(self, claim):
        """Adds a claim."""
        self._claims_by_endpoint.setdefault(claim.endpoint_id, []).append(
            claim
        )

    def remove(self, claim):
        """Removes a claim."""
        claims = self._claims_by_endpoint[claim.endpoint_id]
        claims.remove(claim)
        if not claims:
            del self._claims_by_endpoint[claim.endpoint_id]

    def by_stage(self):
        """Returns the claims of each stage."""
        by_stage = collections.defaultdict(list)
        for claims in self._claims_by_endpoint.values():
            for claim in claims:
                by_stage[claim.stage].append(claim)
        return by_stage

    def count_of(self, stage):
        """Returns for how many tasks of a stage room is claimed."""
        return sum(
            claim.count
            for claims in self._claims_by_endpoint.values()
            for claim in claims
            if claim.stage is stage
        )

    def claimed_by(self, account):
        """Returns what tasks of an account need for which room is claimed."""
        total = _work.ZERO_RESOURCES
        for claims in self._claims_by_endpoint.values():
            for claim in claims:
                if claim.stage.entry.job.account == account:
                    demand = claim.stage.step.demand
                    total += demand.scaled_by(claim.count)
        return total

    def claimed(self, endpoint_id):
        """Returns what is claimed on an endpoint."""
        total = _work.ZERO_RESOURCES
        for claim in self._claims_by_endpoint.get(endpoint_id, ()):
            total += claim.resources
        return total

    def unusable(self, endpoint_id, stage):
        """Returns what a stage must leave free of an endpoint's free room.

        Claims are met from the room of runs that are being stopped first.
        """
        claims = [
            one
            for one in self._claims_by_endpoint.get(endpoint_id, ())
            if one.stage is not stage
        ]
        if not claims:
            return None
        total = _work.ZERO_RESOURCES
        for claim in claims:
            total += claim.resources
            for booking in claim.stopped:
                if booking.run in booking.task.bookings_by_run:
                    total -= booking.step.booked
        return _work.Resources(
            max(total.cpu_millis, 0),
            max(total.memory_mb, 0),
            max(total.gpus, 0),
        )
