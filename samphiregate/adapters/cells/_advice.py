"""Spreads questions to the policy service over the entry VMs.

The service answers one question at a time for each VM that asks, so each
question goes to the VM whose earlier ones are done soonest. Slow ones go to
half of the VMs at most, so that quick ones need not wait behind them.
"""

from samphiregate.adapters.cells import _peer_calls
from samphiregate.core import cells
from samphiregate import errors

ANSWER_MARGIN_MS = 700
FAILURE_PENALTY_MS = 1_000
SLOW_QUESTION_MS = 200


class AdviceDesk:
    """Asks the policy service by way of this and other VMs.

    Parameters
    ----------
    vm_id : str
        This VM.
    policy : PolicyService
        Asks from this VM.
    peers : PeerCalls
        Has other VMs ask.
    address_by_vm : callable
        Returns the peer address of each VM alive.
    now_ms : callable
    """

    def __init__(self, *, vm_id, policy, peers, address_by_vm, now_ms):
        self._vm_id = vm_id
        self._policy = policy
        self._peers = peers
        self._address_by_vm = address_by_vm
        self._now_ms = now_ms
        self._busy_until_by_vm = {}

    def ask(self, action):
        """Carries out an `AskAdvice`; returns an event for the cell."""
        now_ms = self._now_ms()
        vm_id = self._choose(action.expected_ms, now_ms)
        busy_until_ms = max(self._busy_until_by_vm.get(vm_id, 0), now_ms)
        expected_ms = busy_until_ms - now_ms + action.expected_ms
        self._busy_until_by_vm[vm_id] = now_ms + expected_ms
        timeout_ms = round(expected_ms + ANSWER_MARGIN_MS)
        try:
            tickets, valid_ms = self._ask_from(vm_id, action, timeout_ms)
        except errors.SamphiregateError:
            self._busy_until_by_vm[vm_id] = self._now_ms() + FAILURE_PENALTY_MS
            return cells.AdviceFailed(
                action.job_id, action.occurrence, action.step
            )
        return cells.Advised(
            action.job_id,
            action.occurrence,
            action.step,
            action.endpoint_ids,
            tickets,
            self._now_ms() + valid_ms,
        )

    def _choose(self, expected_ms, now_ms):
        vm_ids = sorted(set(self._address_by_vm()) | {self._vm_id})
        if expected_ms >= SLOW_QUESTION_MS:
            vm_ids = vm_ids[: (len(vm_ids) + 1) // 2]
        return min(
            vm_ids,
            key=lambda vm_id: (
                max(self._busy_until_by_vm.get(vm_id, 0), now_ms),
                vm_id != self._vm_id,
            ),
        )

    def _ask_from(self, vm_id, action, timeout_ms):
        if vm_id == self._vm_id:
            return self._policy.ask(
                action.job_id,
                action.occurrence,
                action.step,
                action.endpoint_ids,
                timeout_ms,
            )
        answer = self._peers.call(
            self._address_by_vm()[vm_id],
            cells.RelayAdvice(
                action.job_id,
                action.occurrence,
                action.step,
                action.endpoint_ids,
                timeout_ms,
            ),
            timeout_ms,
        )
        if not isinstance(answer, cells.AdviceIs):
            raise _peer_calls.UnexpectedAnswerError(answer)
        return dict(answer.tickets), answer.valid_ms
