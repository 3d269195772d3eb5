"""Gives endpoints that say that they are still slow less work.

An endpoint that has just started says how much longer it is slow. Until then
tasks go to it only if no other endpoint has room, and urgent ones, whose
callers wait, rather go far from their data.
"""

import attrs

# On a cost between 0 and 1; see `_placement`.
COLD_PENALTY = 2.0
URGENT_COLD_PENALTY = 20.0  # above the penalty of another rack


class ColdEndpoints:
    """Ranks endpoints that are still slow last; see `CandidatePolicy`.

    It acts only on registrations with `cold_left_ms`.
    """

    def select(self, request, candidates):
        """See `CandidatePolicy.select`."""
        now_ms = request.now_ms
        if all(one.endpoint.cold_until_ms <= now_ms for one in candidates):
            return candidates
        is_urgent = request.stage.queue.is_urgent
        penalty = URGENT_COLD_PENALTY if is_urgent else COLD_PENALTY
        return [
            attrs.evolve(one, penalty=one.penalty + penalty)
            if one.endpoint.cold_until_ms > now_ms
            else one
            for one in candidates
        ]
