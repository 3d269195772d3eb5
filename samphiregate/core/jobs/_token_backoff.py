"""Back-off from entry VMs that recently had no token for a team."""

import attrs

MAX_DOUBLINGS = 4


@attrs.define
class BackoffState:
    """State of the back-off of one team from one entry VM.

    Parameters
    ----------
    until_ms : int
        When the next order may be sent there.
    refusals : int
        Refusals counted since the last grant.
    """

    until_ms: int
    refusals: int


class TokenBackoff:
    """Excludes entry VMs without tokens for a team from its orders.

    Parameters
    ----------
    retry_ms : int
        Time to the next order; it doubles with each refusal, up to
        `MAX_DOUBLINGS` times.
    """

    def __init__(self, *, retry_ms):
        self._retry_ms = retry_ms
        self._states_by_team = {}

    def excluded_vm_ids(self, team, now_ms):
        """Returns the entry VMs that a team's orders must not be sent to."""
        states = self._states_by_team.get(team)
        if not states:
            return frozenset()
        return frozenset(
            vm_id for vm_id, state in states.items() if now_ms < state.until_ms
        )

    def record_refusal(self, team, vm_id, now_ms):
        """Records that an entry VM had no token for a team.

        Refusals that arrive during a back-off are not counted: their orders
        may have been sent before it began.
        """
        states = self._states_by_team.setdefault(team, {})
        state = states.setdefault(vm_id, BackoffState(0, 0))
        if now_ms < state.until_ms:
            return
        state.refusals += 1
        doublings = min(state.refusals - 1, MAX_DOUBLINGS)
        state.until_ms = now_ms + self._retry_ms * 2**doublings

    def record_order(self, team, vm_id, now_ms):
        """Records an order.

        If refusals were counted there since the last grant, further orders
        wait for `retry_ms`, or until the next grant.
        """
        state = self._states_by_team.get(team, {}).get(vm_id)
        if state is not None:
            state.until_ms = now_ms + self._retry_ms

    def record_grant(self, team, vm_id):
        """Records that an entry VM granted a token or got one back."""
        states = self._states_by_team.get(team)
        if states is not None:
            states.pop(vm_id, None)
            if not states:
                del self._states_by_team[team]
