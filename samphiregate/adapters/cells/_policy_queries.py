"""Distributes queries to the policy service over the entry VMs.

The service answers each VM one query at a time, so each VM has at most one in
flight.
"""

import collections

from samphiregate.adapters.cells import _peer_calls
from samphiregate.core import cells
from samphiregate import errors

ANSWER_MARGIN_MS = 700
VM_BACKOFF_MS = 1_000  # for a VM whose query failed
TIMEOUT_FACTOR = 1.5  # on the expected time of the answer


class PolicyQueryRouter:
    """Queries the policy service from this and other VMs.

    Parameters
    ----------
    vm_id : str
        This VM.
    policy : PolicyService
        Queries from this VM.
    peers : PeerCalls
        Relays queries to other VMs.
    address_by_vm : callable
        Returns the peer address by id of each VM with a lease.
    now_ms : callable
    log : DecisionLog
    """

    def __init__(self, *, vm_id, policy, peers, address_by_vm, now_ms, log):
        self._vm_id = vm_id
        self._policy = policy
        self._peers = peers
        self._address_by_vm = address_by_vm
        self._now_ms = now_ms
        self._log = log
        self._querying_vms = set()
        self._backoff_until_by_vm = {}
        self._failures_by_vm = collections.Counter()  # since the last answer

    @property
    def query_slots(self):
        """Number of VMs that have a query in flight or can send one."""
        return len(self._querying_vms) + len(self._free_vms())

    def query(self, action):
        """Carries out a `QueryPolicy`.

        Returns
        -------
        PolicyAnswered or PolicyQueryFailed
        """
        failed = cells.PolicyQueryFailed(
            action.job_id, action.occurrence, action.step
        )
        free = self._free_vms()
        if not free:
            return failed
        vm_id = free[0]
        timeout_ms = round(
            action.expected_ms * TIMEOUT_FACTOR + ANSWER_MARGIN_MS
        )
        self._querying_vms.add(vm_id)
        sent_ms = self._now_ms()
        try:
            tickets, valid_ms = self._query_from(vm_id, action, timeout_ms)
        except errors.SamphiregateError as error:
            self._backoff_until_by_vm[vm_id] = self._now_ms() + VM_BACKOFF_MS
            self._failures_by_vm[vm_id] += 1
            self._log.write(
                "policy service not reached",
                request=action.job_id,
                by=vm_id,
                timeout_ms=timeout_ms,
                reason=error.detail,
            )
            return failed
        finally:
            self._querying_vms.discard(vm_id)
        self._failures_by_vm.pop(vm_id, None)
        return cells.PolicyAnswered(
            action.job_id,
            action.occurrence,
            action.step,
            action.endpoint_ids,
            tickets,
            self._issued_ms(action, sent_ms) + valid_ms,
        )

    def _issued_ms(self, action, sent_ms):
        """Returns a time at which the tickets were not issued yet.

        The answer may have waited to be read for longer than the tickets are
        valid, if this VM has much to do.
        """
        return min(sent_ms + round(action.expected_ms), self._now_ms())

    def _free_vms(self):
        """Returns the VMs without a query or backoff.

        Those whose queries failed least come first, and this one last of
        those alike.
        """
        now_ms = self._now_ms()
        vm_ids = set(self._address_by_vm()) | {self._vm_id}
        free = [
            vm_id
            for vm_id in vm_ids - self._querying_vms
            if self._backoff_until_by_vm.get(vm_id, 0) <= now_ms
        ]
        return sorted(
            free,
            key=lambda vm_id: (
                self._failures_by_vm[vm_id],
                vm_id == self._vm_id,
                vm_id,
            ),
        )

    def _query_from(self, vm_id, action, timeout_ms):
        if vm_id == self._vm_id:
            return self._policy.request_tickets(
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
