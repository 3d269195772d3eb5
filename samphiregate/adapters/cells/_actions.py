"""Carries out the actions of a cell: logs, and orders to endpoints."""

import functools

from gevent import pool

from samphiregate.core import cells


class ActionPerformer:
    """Performs actions, each call in its own greenlet; a context manager.

    Calls in progress are killed on exit.

    Parameters
    ----------
    epoch : int
    endpoints : Endpoints
    policy_router : PolicyQueryRouter
    tenure_lease : TenureLease
    deliver : callable
        Takes the event that a call results in.
    step_down : callable
        Called with a reason when the session must end.
    now_ms : callable
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        epoch,
        endpoints,
        policy_router,
        tenure_lease,
        deliver,
        step_down,
        now_ms,
        log,
    ):
        self._epoch = epoch
        self._endpoints = endpoints
        self._policy_router = policy_router
        self._tenure_lease = tenure_lease
        self._deliver = deliver
        self._step_down = step_down
        self._now_ms = now_ms
        self._log = log
        self._calls = pool.Group()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._calls.kill(block=False)

    def perform_all(self, actions):
        """Performs the actions in order, without waiting for calls."""
        for action in actions:
            self._perform(action)

    def join(self):
        """Waits for the calls in progress."""
        self._calls.join()

    @functools.singledispatchmethod
    def _perform(self, action):
        raise TypeError(f"expected an action of core.cells, not {action!r}")

    @_perform.register
    def _(self, action: cells.LogDecision):
        fields = dict(action.fields)
        if action.job_id:
            fields["request"] = action.job_id
        self._log.write(action.event, **fields)

    @_perform.register
    def _(self, action: cells.StepDown):
        self._step_down(
            f"endpoint {action.endpoint_id} reported a higher epoch"
        )

    @_perform.register
    def _(self, action: cells.StartTask):
        self._calls.spawn(self._start, action)

    @_perform.register
    def _(self, action: cells.StopTask):
        self._calls.spawn(self._stop, action)

    @_perform.register
    def _(self, action: cells.PollEndpoint):
        self._calls.spawn(self._poll, action)

    @_perform.register
    def _(self, action: cells.QueryPolicy):
        self._calls.spawn(self._query_policy, action)

    def _deliver_result(self, call, failure):
        """Delivers the event that `call` returns, `failure` if it raises."""
        try:
            event = call()
        except Exception as error:
            self._log.write("order failed", reason=repr(error))
            event = failure
        self._deliver(event)

    def _start(self, action):
        answered = functools.partial(
            cells.StartAnswered,
            action.task_id,
            action.run,
            action.endpoint_id,
        )
        if not self._tenure_lease.is_valid:
            self._deliver(answered(cells.StartOutcome.NOT_STARTED))
            return
        until_ms = action.ticket_until_ms
        if until_ms is not None and self._now_ms() >= until_ms:
            self._deliver(answered(cells.StartOutcome.NO_TICKET))
            return

        def order():
            result = self._endpoints.start(action, self._epoch)
            return answered(result.outcome, result.clock_ms)

        self._deliver_result(order, answered(cells.StartOutcome.UNKNOWN))

    def _stop(self, action):
        answered = functools.partial(
            cells.StopAnswered, action.task_id, action.run, action.endpoint_id
        )
        if not self._tenure_lease.is_valid_or_in_grace:
            self._deliver(answered(False))
            return
        self._deliver_result(
            lambda: answered(self._endpoints.stop(action, self._epoch)),
            answered(False),
        )

    def _poll(self, action):
        failed = cells.PollFailed(action.endpoint_id)
        if not self._tenure_lease.is_valid_or_in_grace:
            self._deliver(failed)
            return
        sent_ms = self._now_ms()
        self._deliver_result(
            lambda: self._endpoints.poll(action, self._epoch, sent_ms), failed
        )

    def _query_policy(self, action):
        failed = cells.PolicyQueryFailed(
            action.job_id, action.occurrence, action.step
        )
        self._deliver_result(lambda: self._policy_router.query(action), failed)
