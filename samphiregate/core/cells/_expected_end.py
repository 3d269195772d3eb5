"""Weighs the speed of endpoints against the time that a job has left.

The load that this answers: a service of whose endpoints some are slow for
good. What is urgent, or wide, goes to the fast ones, as it would be late on
the others or end with its slowest task; what has time takes the slow ones
while urgent jobs come, which leaves the fast ones free. It is a cost, so all
endpoints are in use when there is more work than room.
"""

import attrs

from samphiregate.core.cells import _work

MIN_SLACK_SHARE = 0.1  # of the expected time of a run
# A run that would end within this share of the time left has time.
LEISURE_SHARE = 0.5
MAX_COST = 1.0  # as much as the best fit can cost
LEISURE_COST = 0.3  # of a fast endpoint, for what has time
SLOW_FACTOR = 1.15  # from which an endpoint counts as slower than others


class ExpectedEndPolicy:
    """Adds the cost of an endpoint's speed; a `CandidatePolicy`.

    Parameters
    ----------
    cell_state : CellState
    """

    def __init__(self, *, cell_state):
        self._cell_state = cell_state
        self._run_times = cell_state.run_times

    def select(self, request, candidates):
        """See `CandidatePolicy.select`."""
        speeds = self._run_times.speeds
        stage = request.stage
        if stage.step.long_running or len(candidates) < 2:
            return candidates
        factors = [speeds.time_factor(one.endpoint) for one in candidates]
        fastest = min(factors)
        if max(factors) < SLOW_FACTOR * fastest:
            return candidates
        usual_ms = self._run_times.expected_stage_ms(stage)
        left_ms = stage.due_ms - request.now_ms
        cost_by_factor = {
            factor: self._cost(stage, factor, fastest, usual_ms, left_ms)
            for factor in set(factors)
        }
        if not any(cost_by_factor.values()):
            return candidates
        return [
            attrs.evolve(one, penalty=one.penalty + cost_by_factor[factor])
            for one, factor in zip(candidates, factors, strict=True)
        ]

    def _cost(self, stage, factor, fastest, usual_ms, left_ms):
        slow_ms = usual_ms * factor
        has_time = (
            stage.queue.priority > _work.URGENT_PRIORITY
            and not stage.step.gang
            and slow_ms < LEISURE_SHARE * left_ms
        )
        if has_time:
            if not self._cell_state.has_any_recent_urgent_work():
                return 0.0
            is_slow = factor >= SLOW_FACTOR * fastest
            return 0.0 if is_slow else LEISURE_COST
        extra_ms = usual_ms * (factor - fastest)
        slack_ms = left_ms - usual_ms * fastest
        slack_ms = max(slack_ms, MIN_SLACK_SHARE * usual_ms)
        return min(extra_ms / slack_ms, MAX_COST)
