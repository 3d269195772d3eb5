"""Entry VMs that had no token for a team lately."""

import attrs

MAX_DOUBLINGS = 4


@attrs.define
class BackoffState:
    """No token at the last try, and when the next one is due."""

    until_ms: int
    refusals: int


class TokenBackoff:
    """Keeps orders away from entry VMs without tokens for their team.

    Parameters
    ----------
    retry_ms : int
        Time to the next try; it doubles with each refusal, up to
        `DOUBLINGS_MAX` times. A try is one order.
    """

    def __init__(self, *, retry_ms):
        self._retry_ms = retry_ms
        self._states_by_team = {}

    def excluded_vm_ids(self, team, now_ms):
        """Returns the entry VMs that a team's orders must not go to."""
        states = self._states_by_team.get(team)
        if not states:
            return frozenset()
        return frozenset(
            vm_id for vm_id, state in states.items() if now_ms < state.until_ms
        )

    def record_refusal(self, team, vm_id, now_ms):
        """There was no token."""
        states = self._states_by_team.setdefault(team, {})
        state = states.setdefault(vm_id, BackoffState(0, 0))
        if now_ms < state.until_ms:
            return
        state.refusals += 1
        doublings = min(state.refusals - 1, MAX_DOUBLINGS)
        state.until_ms = now_ms + self._retry_ms * 2**doublings

    def record_order(self, team, vm_id, now_ms):
        """An order was sent; if it was a try, others wait for its end."""
        state = self._states_by_team.get(team, {}).get(vm_id)
        if state is not None:
            state.until_ms = now_ms + self._retry_ms

    def record_grant(self, team, vm_id):
        """There was a token, or one came back."""
        states = self._states_by_team.get(team)
        if states is not None:
            states.pop(vm_id, None)
            if not states:
                del self._states_by_team[team]
