"""Chooses endpoints for the tasks of a stage by best fit.

Tasks go to the endpoint with the least capacity left over, preferably near
their data. This keeps whole endpoints free for large tasks and
accelerator tasks when many small ones run too. Endpoints that are held for
another stage are left out by the planner.
"""

import heapq

import attrs

# Penalties are added to a cost between 0 and 1.
OTHER_RACK_PENALTY = 10.0
LATENCY_TARGET_PENALTY = 5.0


@attrs.frozen
class Candidate:
    """An endpoint that may run tasks of a stage.

    Parameters
    ----------
    endpoint : Endpoint
    free : Resources
        Free capacity, less the tasks placed so far in this call.
    max_count : int
        Number of further tasks of the stage that may run there.
    penalty : float
        Added to the cost of a slow endpoint.
    """

    endpoint: object
    free: object
    max_count: int
    penalty: float = 0.0

    def after_placing(self, need):
        """Returns the candidate after one more task of this size."""
        return Candidate(
            self.endpoint,
            self.free - need,
            self.max_count - 1,
            self.penalty,
        )


class Packing:
    """Chooses endpoints by best fit; stateless."""

    def choose(self, step, count, candidates):
        """Chooses endpoints for up to `count` tasks of a step.

        `same_rack` is a preference: a gang that fits in no rack is spread.

        Parameters
        ----------
        step : Step
        count : int
        candidates : list of Candidate

        Returns
        -------
        list of Endpoint
            One per task that fits; for a gang, `count` endpoints or none.
        """
        if not step.gang:
            return self._pack(step, count, candidates)
        if step.same_rack:
            chosen = self._pack_one_rack(step, count, candidates)
            if chosen:
                return chosen
        chosen = self._pack(step, count, candidates)
        return chosen if len(chosen) == count else []

    def _pack_one_rack(self, step, count, candidates):
        by_rack = {}
        for candidate in candidates:
            by_rack.setdefault(candidate.endpoint.rack, []).append(candidate)
        for rack in sorted(by_rack, key=lambda rack: -len(by_rack[rack])):
            chosen = self._pack(step, count, by_rack[rack])
            if len(chosen) == count:
                return chosen
        return []

    def _pack(self, step, count, candidates):
        need = step.booked
        # At equal cost, the candidate that is listed first is chosen.
        heap = [
            (self._cost(step, one), position, one)
            for position, one in enumerate(candidates)
            if one.max_count > 0 and need.fits_in(one.free)
        ]
        heapq.heapify(heap)
        chosen = []
        while heap and len(chosen) < count:
            _cost, position, best = heap[0]
            chosen.append(best.endpoint)
            remaining = best.after_placing(need)
            if remaining.max_count > 0 and need.fits_in(remaining.free):
                cost = self._cost(step, remaining)
                heapq.heapreplace(heap, (cost, position, remaining))
            else:
                heapq.heappop(heap)
        return chosen

    def _cost(self, step, candidate):
        endpoint = candidate.endpoint
        capacity = endpoint.registration.capacity
        remaining = candidate.free - step.booked
        cost = remaining.dominant_share(capacity) + candidate.penalty
        if step.rack and endpoint.rack != step.rack:
            cost += OTHER_RACK_PENALTY
        if step.fills and endpoint.has_latency_target:
            cost += LATENCY_TARGET_PENALTY
        return cost
