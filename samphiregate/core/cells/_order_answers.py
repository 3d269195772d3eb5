"""Applies the answers of endpoints to orders to start and to stop runs."""

from samphiregate.core.cells import _cell_state
from samphiregate.core.cells import _leases
from samphiregate.core.cells import _losses
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _starts
from samphiregate.core.cells import _tasks

MAX_START_ATTEMPTS = 3
NO_ROOM_BACKOFF_MS = 300
NOT_STARTED_BACKOFF_MS = 500

# Refusals of a repeated start order that do not show whether an earlier copy
# of the order started the run.
INCONCLUSIVE_OUTCOMES = frozenset(
    (
        _messages.StartOutcome.NO_ROOM,
        _messages.StartOutcome.SUPERSEDED,
        _messages.StartOutcome.TOO_LATE,
        _messages.StartOutcome.NO_TICKET,
        _messages.StartOutcome.NOT_STARTED,
    )
)


class OrderAnswers:
    """Applies answers to orders to the state of a cell.

    Parameters
    ----------
    cell_state : CellState
    poller : EndpointPoller
    lease_ms : int
        Lease in milliseconds that a repeated order grants.
    """

    def __init__(self, *, cell_state, poller, lease_ms):
        self._cell_state = cell_state
        self._poller = poller
        self._lease_ms = lease_ms

    def apply_start(self, event, now_ms):
        """Applies a `StartAnswered` event."""
        endpoint = self._cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        key = (event.task_id, event.run)
        booking = endpoint.bookings_by_run.get(key)
        if booking is None:
            return
        outcome = event.outcome
        booking.order_answered_ms = now_ms
        if event.clock_ms is not None:
            self._apply_clock(endpoint, booking, event.clock_ms, now_ms)
        if outcome is _messages.StartOutcome.STARTED:
            booking.confirmed_ms = now_ms
            if booking.state is _tasks.RunState.STARTING:
                self._cell_state.confirm_start(booking, now_ms)
            return
        self._cell_state.log_decision(
            "start failed",
            event.task_id.job_id,
            task=event.task_id.position,
            run=event.run,
            endpoint=event.endpoint_id,
            outcome=outcome.value,
        )
        if outcome is _messages.StartOutcome.UNKNOWN:
            if booking.state is _tasks.RunState.STARTING:
                self._on_start_unanswered(booking, now_ms)
            return
        if booking.start_attempts > 1 and outcome in INCONCLUSIVE_OUTCOMES:
            self._on_repeated_start_refused(endpoint, booking, outcome, now_ms)
        else:
            self._on_start_refused(endpoint, booking, outcome, now_ms)

    def _apply_clock(self, endpoint, booking, clock_ms, now_ms):
        """Compares the clock in an answer with the one that is known.

        A clock that has begun anew shows a restart. Its next answer to a poll
        tells the incarnation; until then it gets no orders.
        """
        if booking.sent_ms < endpoint.incarnation_known_ms:
            return
        if not _leases.has_begun_anew(endpoint, clock_ms, booking.sent_ms):
            endpoint.doubtful_until_ms = 0
            return
        self._cell_state.log_decision(
            "endpoint clock began anew",
            endpoint=endpoint.endpoint_id,
            clock_ms=clock_ms,
            left_ms=max(endpoint.lease_ends_ms - now_ms, 0),
        )
        endpoint.expect_lease(endpoint.doubtful_until_ms)
        endpoint.has_answered = False
        self._poller.poll(endpoint, now_ms, wait_ms=0)

    def _on_repeated_start_refused(self, endpoint, booking, outcome, now_ms):
        """Handles the refusal of a repeated order to start a run.

        An earlier copy of the order may have started the run. A superseded
        run has either ended there or will never start, which the next poll
        shows. In all other cases the run is stopped first.
        """
        if outcome is not _messages.StartOutcome.SUPERSEDED:
            self._cell_state.stop(booking, now_ms)
            return
        # Counts as confirmed, so that a later poll releases the run if the
        # endpoint does not list it.
        booking.state = _tasks.RunState.RUNNING
        booking.confirmed_ms = now_ms
        self._poller.poll(endpoint, now_ms, wait_ms=0)

    def _on_start_unanswered(self, booking, now_ms):
        """Repeats an unanswered order to start; stops the run at the limit.

        An endpoint starts a run once, however often it is ordered.
        """
        self._poller.record_unanswered(now_ms)
        if booking.start_attempts < MAX_START_ATTEMPTS and _starts.may_send(
            self._cell_state, booking, now_ms
        ):
            _starts.send(self._cell_state, booking, now_ms, self._lease_ms)
        else:
            self._cell_state.stop(booking, now_ms)

    def _on_start_refused(self, endpoint, booking, outcome, now_ms):
        outcomes = _messages.StartOutcome
        is_replaced = (
            outcome is outcomes.WRONG_ENDPOINT
            and booking.address == endpoint.registration.address
            and booking.sent_ms >= endpoint.incarnation_known_ms
        )
        if is_replaced and booking.start_attempts > 1:
            # An earlier copy of the order may have reached the endpoint
            # before its process ended.
            self._release_replaced(endpoint, now_ms)
            return
        self._cell_state.release(booking, has_begun=False)
        if booking.step.gang:
            self._cell_state.stop_gang(booking.task.stage, booking.run, now_ms)
        if outcome is outcomes.NO_ROOM:
            endpoint.backoff_until_ms = now_ms + NO_ROOM_BACKOFF_MS
        elif outcome is outcomes.FENCED:
            self._cell_state.add_action(
                _messages.StepDown(endpoint.endpoint_id)
            )
        elif outcome is outcomes.SUPERSEDED:
            # The endpoint has seen run numbers that the record of this owner
            # does not contain.
            booking.task.last_run += _cell_state.RUN_NUMBER_SKIP
        elif outcome is outcomes.TOO_LATE:
            # The estimate of the endpoint's clock may be wrong; the answer to
            # the next poll corrects it.
            endpoint.has_answered = False
        elif outcome is outcomes.NO_TICKET:
            stage = booking.task.stage
            ticket = stage.ticket_by_id.get(endpoint.endpoint_id)
            if ticket is not None:
                ticket.valid_until_ms = 0
        elif outcome is outcomes.NOT_STARTED:
            endpoint.backoff_until_ms = now_ms + NOT_STARTED_BACKOFF_MS
        elif is_replaced:
            self._release_replaced(endpoint, now_ms)

    def _release_replaced(self, endpoint, now_ms):
        _losses.release_crashed_runs(
            self._cell_state, endpoint, _losses.LossReason.REPLACED, now_ms
        )
        endpoint.reset_incarnation(now_ms)

    def apply_stop(self, event, now_ms):
        """Applies a `StopAnswered` event."""
        endpoint = self._cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        booking = endpoint.bookings_by_run.get((event.task_id, event.run))
        if booking is None or not event.confirmed:
            return
        if booking.stop_confirmed_ms is None:
            booking.stop_confirmed_ms = now_ms
            self._poller.make_due(endpoint, now_ms)
            self._poller.poll(endpoint, now_ms, wait_ms=0)
