"""Decides when endpoints are polled for their running and ended runs.

A poll is a long poll: the endpoint answers at the next end or after the wait
time. Answers can get lost. The wait time is then shorter, and a second poll
is sent when an end is overdue.
"""

from samphiregate.core.cells import _isolation
from samphiregate.core.cells import _leases
from samphiregate.core.cells import _messages

POLL_WAIT_MS = 1_500
LOSSY_POLL_WAIT_MS = 300  # while answers of endpoints get lost
LOSSY_PERIOD_MS = 5_000  # from the last order that was not answered
OVERDUE_POLL_WAIT_MS = 300
STORE_LAG_POLL_DELAY_MS = 100  # longest delay for ends that are not stored
MAX_POLLS_IN_FLIGHT = 2
CHECK_INTERVAL_MS = 500  # between two checks of an endpoint


class EndpointPoller:
    """Plans the polls of a cell; each extends the lease of an endpoint.

    Parameters
    ----------
    cell_state : CellState
    lease_ms : int
        Lease in milliseconds that a poll grants to the runs of an endpoint.
    """

    def __init__(self, *, cell_state, lease_ms):
        self._cell_state = cell_state
        self._lease_ms = lease_ms
        self._lossy_until_ms = 0

    def record_unanswered(self, now_ms):
        """Records that an order was not answered; shortens the next polls."""
        self._lossy_until_ms = now_ms + LOSSY_PERIOD_MS

    def delay_until_stored(self, endpoint, now_ms):
        """Delays the next poll until the ends of the last answer are stored.

        A poll that does not acknowledge these ends would be answered at once
        with the same ends.
        """
        if endpoint.unstored_ends:
            endpoint.next_poll_ms = now_ms + STORE_LAG_POLL_DELAY_MS

    def make_due(self, endpoint, now_ms):
        """Makes the next poll of an endpoint due now; `plan` sends it."""
        endpoint.next_poll_ms = min(endpoint.next_poll_ms, now_ms)

    def plan(self, now_ms):
        """Polls the endpoints that are due and may have runs or ends.

        An unreachable endpoint is polled as long as it is registered, as it
        gets no tasks before it has answered.
        """
        isolated_ids = self._cell_state.isolated_runs.endpoint_ids()
        for endpoint in self._cell_state.endpoint_by_id.values():
            if endpoint.next_poll_ms > now_ms:
                continue
            if endpoint.polls_in_flight:
                if now_ms >= endpoint.overdue_from_ms and (
                    endpoint.has_overdue_end(now_ms)
                ):
                    self.poll(endpoint, now_ms, OVERDUE_POLL_WAIT_MS)
                continue
            needs_poll = not endpoint.is_only_remembered and (
                not endpoint.has_answered
                or endpoint.bookings_by_run
                or endpoint.unstored_ends
                or endpoint.handled_upto > endpoint.stored_upto
                or (endpoint.failed_polls and endpoint.registered)
            )
            if needs_poll:
                wait_ms = self._wait_ms(endpoint, now_ms)
                if endpoint.endpoint_id in isolated_ids:
                    wait_ms = min(wait_ms, _isolation.ISOLATED_POLL_WAIT_MS)
                self.poll(endpoint, now_ms, wait_ms)

    def check(self, endpoint, now_ms):
        """Polls an endpoint at once, to learn whether it still answers."""
        if now_ms >= endpoint.next_check_ms:
            endpoint.next_check_ms = now_ms + CHECK_INTERVAL_MS
            self.poll(endpoint, now_ms, wait_ms=0)

    def poll(self, endpoint, now_ms, wait_ms):
        """Polls an endpoint unless enough polls are in flight.

        Parameters
        ----------
        endpoint : Endpoint
        now_ms : int
        wait_ms : int
            How long the endpoint may wait for an end before it answers.
        """
        if endpoint.polls_in_flight >= MAX_POLLS_IN_FLIGHT:
            return
        deadline_ms = None
        leases = self._cell_state.inherited_leases
        if _leases.may_extend(endpoint, now_ms) and leases.may_extend(
            endpoint.endpoint_id
        ):
            deadline_ms = endpoint.extend_lease(
                now_ms, self._lease_ms, self._cell_state.max_hold_ms
            )
        if not _leases.has_current_reading(endpoint, now_ms):
            endpoint.was_unwatched = True
        endpoint.polls_in_flight += 1
        if endpoint.first_polled_ms is None:
            endpoint.first_polled_ms = now_ms
        endpoint.next_poll_ms = now_ms + (
            STORE_LAG_POLL_DELAY_MS if endpoint.unstored_ends else 0
        )
        self._cell_state.add_action(
            _messages.PollEndpoint(
                endpoint.endpoint_id,
                endpoint.registration.address,
                endpoint.acknowledged_upto(now_ms),
                wait_ms,
                deadline_ms,
            )
        )

    def _wait_ms(self, endpoint, now_ms):
        if not endpoint.has_answered or endpoint.failed_polls:
            return 0
        if endpoint.unstored_ends:
            return 0
        if not _leases.has_current_reading(endpoint, now_ms):
            return 0
        if now_ms < self._lossy_until_ms:
            return LOSSY_POLL_WAIT_MS
        return POLL_WAIT_MS
