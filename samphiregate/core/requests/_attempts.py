"""Attempts at pending requests: sending, bounded retries and their end."""

import heapq

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.requests import _admission
from samphiregate.core.requests import _budget
from samphiregate.core.requests import _messages
from samphiregate import errors

RETRY_AFTER_MS = 1_000

_Code = errors.ErrorCode
# Refusals after which another owner is tried without using the budget.
_OWNER_CHANGE_CODES = (_Code.LEAVING, _Code.NO_RUNNER)
# Refusals that end the request.
_FINAL_CODES = (_Code.DEADLINE_EXCEEDED, _Code.KEY_REFUSED, _Code.CANCELLED)


@attrs.frozen
class RetryLimits:
    """Limits of the attempts at one request.

    Parameters
    ----------
    most_attempts : int
        Maximum number of attempts at one request.
    retry_ratio : float
        Retries that each success adds to the budget of its team.
    retry_burst : int
        Maximum number of retries in the budget of a team.
    owner_wait_ms : int
        Longest time that a request waits for an owner.
    answer_grace_ms : int
        Time after a deadline in which the owner may still answer.
    """

    most_attempts: int
    retry_ratio: float
    retry_burst: int
    owner_wait_ms: int
    answer_grace_ms: int


class AttemptManager:
    """Manages pending requests from the first attempt to the answer.

    Parameters
    ----------
    pending_table : PendingTable
        The unanswered requests.
    load_table : LoadTable
        Chooses an owner.
    limits : RetryLimits
        Limits of retries and waits.
    """

    def __init__(self, *, pending_table, load_table, limits):
        self.pending_table = pending_table
        self.limits = limits
        self.budgets_by_team = {}
        self.late_answers = 0
        self.retries = 0
        self._load_table = load_table
        self._deadlines = []

    def start(self, pending, now_ms):
        """Adds a new request and sends its first attempt."""
        self.pending_table.add(pending)
        request = pending.request
        entry = (request.deadline_ms, request.request_id)
        heapq.heappush(self._deadlines, entry)
        return self._attempt(pending, now_ms)

    def on_finished(self, message, sender, now_ms):
        """Handles the end of an attempt that was sent to a runner."""
        pending = self._end_attempt(message, sender, now_ms)
        if pending is None:
            return []
        if message.outcome is not model.AttemptOutcome.ANSWERED:
            pending.tried = pending.tried | {sender}
            return self._after_unknown(pending, message.detail, now_ms)
        self._budget(pending.team).earn()
        return self._finish(
            pending,
            now_ms,
            status=message.status,
            content_type=message.content_type,
            body=message.body,
            run_ms=message.run_ms,
        )

    def on_refused(self, message, sender, now_ms):
        """Handles an attempt that the owner did not execute."""
        pending = self._end_attempt(message, sender, now_ms)
        if pending is None:
            return []
        pending.refusal = message
        return self._after_refusal(pending, sender, now_ms)

    def cancel(self, pending):
        """Withdraws and removes a request whose caller disconnected."""
        actions = self._withdraw_attempt(pending, _Code.CANCELLED)
        self.pending_table.remove(pending)
        return actions

    def retry_waiting(self, now_ms):
        """Retries the requests that wait for an owner."""
        actions = []
        services_without_owner = set()
        for pending in self.pending_table.waiting():
            waited_ms = now_ms - pending.waiting_since_ms
            overdue = waited_ms >= self.limits.owner_wait_ms
            # An overdue request is attempted once more, which refuses it if
            # there is still no owner.
            if pending.service not in services_without_owner or overdue:
                actions += self._attempt(pending, now_ms)
            if not pending.owner:
                services_without_owner.add(pending.service)
        return actions

    def on_owner_lost(self, vm_id, now_ms):
        """Handles the loss of an entry VM or of the link to it."""
        self._load_table.remove_vm(vm_id, now_ms)
        actions = []
        for pending in self.pending_table.with_owner(vm_id):
            self.pending_table.set_owner(pending, "")
            pending.tried = pending.tried | {vm_id}
            actions += self._after_unknown(
                pending,
                "the entry VM that held the request is lost or unreachable;"
                " the request may have been executed",
                now_ms,
            )
        return actions

    def on_key_withdrawn(self, pending, now_ms):
        """Refuses a request whose key was withdrawn, unless it runs."""
        if pending.key_withdrawn:
            return []
        pending.key_withdrawn = True
        if pending.owner:
            return self._withdraw_attempt(pending, _Code.KEY_REFUSED)
        return self._refuse(pending, now_ms)

    def expire(self, now_ms):
        """Ends requests whose deadline has passed.

        While an owner holds the attempt, the request stays for
        `answer_grace_ms` longer.
        """
        actions = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            due_ms, request_id = heapq.heappop(self._deadlines)
            pending = self.pending_table.get(request_id)
            if pending is None:
                continue
            # A due time after the deadline marks the end of the grace; the
            # extra 1 ms makes it so with a grace of 0 ms too.
            if pending.owner and due_ms <= pending.request.deadline_ms:
                later_ms = due_ms + self.limits.answer_grace_ms + 1
                heapq.heappush(self._deadlines, (later_ms, request_id))
            else:
                actions += self._answer_expired(pending, now_ms)
        return actions

    def _attempt(self, pending, now_ms):
        """Sends the next attempt, or waits for an owner."""
        owner = self._load_table.pick(pending.service, pending.tried, now_ms)
        if owner is None:
            return self._wait_for_owner(pending, now_ms)
        pending.attempt += 1
        self.retries += pending.attempt > 1
        self.pending_table.set_owner(pending, owner)
        self._load_table.record_sent(owner, pending.service, now_ms)
        request = pending.request
        message = _messages.DispatchRequest(
            request_id=request.request_id,
            attempt=pending.attempt,
            team=pending.team,
            queue=request.queue,
            service=pending.service,
            idempotent=request.idempotent,
            remaining_ms=request.deadline_ms - now_ms,
            content_type=request.content_type,
            body=request.body,
        )
        return [base.SendToPeer(owner, message)]

    def _wait_for_owner(self, pending, now_ms):
        """Waits for an owner, and refuses after `owner_wait_ms`."""
        if pending.refusal and pending.refusal.code not in _OWNER_CHANGE_CODES:
            return self._refuse(pending, now_ms)
        pending.tried = frozenset()
        self.pending_table.set_waiting(pending, now_ms)
        if now_ms - pending.waiting_since_ms < self.limits.owner_wait_ms:
            return []
        refusal = _messages.Refusal(
            _Code.NO_RUNNER,
            detail="no entry VM with a usable runner of this service was"
            " found in time",
            retry_after_ms=RETRY_AFTER_MS,
        )
        return self._finish(pending, now_ms, refusal=refusal)

    def _end_attempt(self, message, sender, now_ms):
        """Ends the attempt in flight and returns its request, or None.

        Messages about any other attempt are counted as late and ignored.
        """
        pending = self.pending_table.get(message.request_id)
        if (
            pending is None
            or pending.owner != sender
            or pending.attempt != message.attempt
        ):
            self.late_answers += 1
            return None
        if message.load is None:
            self._load_table.record_sent(sender, pending.service, now_ms, -1)
        else:
            self._load_table.update_service(sender, message.load, now_ms)
        self.pending_table.set_owner(pending, "")
        return pending

    def _after_refusal(self, pending, owner, now_ms):
        """Retries a request that was not executed, within the limits.

        Retries because of a change of owner don't use the team's budget.
        """
        code = pending.refusal.code
        pending.tried = pending.tried | {owner}
        if pending.key_withdrawn or code in _FINAL_CODES:
            return self._refuse(pending, now_ms)
        if pending.attempt >= self.limits.most_attempts:
            return self._refuse(pending, now_ms)
        if code not in _OWNER_CHANGE_CODES:
            self._load_table.mark_full(owner, pending.service, now_ms)
            if not self._budget(pending.team).spend():
                return self._refuse(pending, now_ms)
        return self._attempt(pending, now_ms)

    def _after_unknown(self, pending, detail, now_ms):
        """Retries only idempotent requests, as the attempt may have run."""
        pending.may_have_run = True
        may_retry = (
            pending.request.idempotent
            and not pending.key_withdrawn
            and pending.request.deadline_ms > now_ms
            and pending.attempt < self.limits.most_attempts
            and self._budget(pending.team).spend()
        )
        if may_retry:
            pending.refusal = None
            return self._attempt(pending, now_ms)
        refusal = _messages.Refusal(
            _Code.OUTCOME_UNKNOWN,
            ran=errors.Ran.UNKNOWN,
            detail=detail or "the request may have been executed",
        )
        return self._finish(pending, now_ms, refusal=refusal)

    def _withdraw_attempt(self, pending, code):
        if not pending.owner:
            return []
        message = _messages.WithdrawRequest(
            pending.request.request_id, pending.attempt, code
        )
        return [base.SendToPeer(pending.owner, message)]

    def _answer_expired(self, pending, now_ms):
        ran = errors.Ran.UNKNOWN if pending.owner else errors.Ran.NO
        refusal = _messages.Refusal(
            _Code.DEADLINE_EXCEEDED,
            ran=ran,
            detail="no answer before the deadline",
        )
        actions = self._withdraw_attempt(pending, _Code.CANCELLED)
        return actions + self._finish(pending, now_ms, refusal=refusal)

    def _refuse(self, pending, now_ms):
        """Answers with the last refusal, or that the key was withdrawn."""
        if pending.key_withdrawn:
            refusal = _admission.refuse_key()
        else:
            last_refusal = pending.refusal
            refusal = _messages.Refusal(
                last_refusal.code,
                detail=last_refusal.detail,
                retry_after_ms=last_refusal.retry_after_ms,
            )
        return self._finish(pending, now_ms, refusal=refusal)

    def _finish(self, pending, now_ms, run_ms=0, **answer):
        self.pending_table.remove(pending)
        refusal = answer.get("refusal")
        if refusal is not None and pending.may_have_run:
            answer["refusal"] = attrs.evolve(refusal, ran=errors.Ran.UNKNOWN)
        return [
            _messages.AnswerCaller(
                request_id=pending.request.request_id,
                team=pending.team,
                wait_ms=max(now_ms - pending.arrived_ms - run_ms, 0),
                run_ms=run_ms,
                **answer,
            )
        ]

    def _budget(self, team):
        budget = self.budgets_by_team.get(team)
        if budget is None:
            budget = _budget.RetryBudget(
                self.limits.retry_ratio, self.limits.retry_burst
            )
            self.budgets_by_team[team] = budget
        return budget
