"""Schedules the queries to the policy service.

Each VM has one query in flight at a time and a query takes long, so query
slots are the scarce resource. They are shared evenly among the services
whose tasks wait, the most urgent stages first, so that a service with many
waiting tasks does not hold up another. Queries for interrupted long-running
tasks go first. Queries whose answer could not start a task are not sent.
"""

import attrs

from samphiregate.core.cells import _messages
from samphiregate.core.cells import _usable_endpoints

TICKET_MARGIN_MS = 100  # time for the start to reach the endpoint
MAX_ENDPOINTS_PER_QUERY = 30
SLOW_QUERY_MS = 150  # expected time from which a query counts as slow
FAST_QUERY_SLOT_SHARE = 0.25  # of the VMs, not used for slow queries


@attrs.frozen
class _QueryInFlight:
    """A query that has not been answered yet."""

    service: str
    is_slow: bool
    is_restart: bool


@attrs.frozen(eq=False)
class _Request:
    """A stage that needs tickets, and the endpoints that may run it."""

    stage: object
    usable: object
    unplaced_count: int
    is_restart: bool
    makes_room: bool


class PolicyQueries:
    """Queries of one cell to the policy service.

    Parameters
    ----------
    add_action : callable
        Called with each `QueryPolicy` action.
    """

    def __init__(self, *, add_action):
        self._add_action = add_action
        self._in_flight_by_stage = {}
        self._requests_by_service = {}
        self._restart_requests = []
        self._sent_count = 0
        self._last_sent_by_service = {}

    @property
    def in_flight_count(self):
        """Number of queries that have not been answered yet."""
        return len(self._in_flight_by_stage)

    def finish_query(self, stage, next_query_ms):
        """Marks the query of a stage as answered or failed.

        Parameters
        ----------
        stage : Stage
        next_query_ms : int
            Earliest time of the stage's next query.
        """
        self._in_flight_by_stage.pop(stage, None)
        stage.query_in_flight = False
        stage.next_query_ms = next_query_ms

    def request(
        self,
        stage,
        usable,
        unplaced_count,
        now_ms,
        *,
        is_restart=False,
        makes_room=False,
    ):
        """Requests tickets for waiting tasks of a stage.

        Must be called in order of urgency, before `send_queries`.

        Parameters
        ----------
        stage : Stage
        usable : UsableEndpoints
        unplaced_count : int
            Number of tasks that were not placed.
        now_ms : int
        is_restart : bool
            Whether the tasks are interrupted long-running ones.
        makes_room : bool
            Whether runs may be stopped for the tasks.
        """
        if stage.query_in_flight or stage.next_query_ms > now_ms:
            return
        requests = self._restart_requests
        if not is_restart:
            requests = self._requests_by_service.setdefault(
                stage.queue.service, []
            )
        requests.append(
            _Request(stage, usable, unplaced_count, is_restart, makes_room)
        )

    def send_queries(self, query_slots, now_ms):
        """Sends as many of the requested queries as there are free slots.

        Further queries would queue at the service and be answered only after
        they had timed out.

        Parameters
        ----------
        query_slots : int
            Number of VMs that can query the policy service.
        now_ms : int
        """
        self._send_restart_queries(query_slots, now_ms)
        pending = {
            service: iter(requests)
            for service, requests in self._requests_by_service.items()
        }
        self._requests_by_service = {}
        while pending and len(self._in_flight_by_stage) < query_slots:
            service = min(pending, key=self._service_priority)
            request = next(pending[service], None)
            if request is None:
                del pending[service]
            elif self._is_slow(request) and not self._may_send_slow(
                query_slots
            ):
                # Not sent now; the next plan requests it again.
                continue
            else:
                self._send(request, now_ms)

    def _send_restart_queries(self, query_slots, now_ms):
        """Sends the queries for interrupted tasks.

        They do not wait for slots that are kept for fast queries, but leave
        as many slots to other queries.
        """
        requests, self._restart_requests = self._restart_requests, []
        max_count = query_slots - _reserved_count(query_slots)
        for request in requests:
            in_flight = self._in_flight_by_stage.values()
            restart_count = sum(one.is_restart for one in in_flight)
            if len(in_flight) >= query_slots or restart_count >= max_count:
                return
            self._send(request, now_ms)

    def _service_priority(self, service):
        """Returns the sort key of a service; the lowest one is served next."""
        in_flight = sum(
            one.service == service for one in self._in_flight_by_stage.values()
        )
        return in_flight, self._last_sent_by_service.get(service, 0)

    @staticmethod
    def _is_slow(request):
        return request.stage.queue.advice.decide_ms >= SLOW_QUERY_MS

    def _may_send_slow(self, query_slots):
        slow_count = sum(
            one.is_slow for one in self._in_flight_by_stage.values()
        )
        return slow_count < query_slots - _reserved_count(query_slots)

    def _send(self, request, now_ms):
        stage = request.stage
        if stage.query_in_flight:
            return
        queried = _endpoints_to_query(request, now_ms)
        if not queried:
            return
        advice = stage.queue.advice
        stage.query_in_flight = True
        self._sent_count += 1
        self._last_sent_by_service[stage.queue.service] = self._sent_count
        self._in_flight_by_stage[stage] = _QueryInFlight(
            stage.queue.service, self._is_slow(request), request.is_restart
        )
        self._add_action(
            _messages.QueryPolicy(
                stage.entry.job.job_id,
                stage.occurrence,
                stage.number,
                tuple(one.endpoint_id for one in queried),
                advice.decide_ms + advice.each_ms * len(queried),
                advice.valid_ms,
            )
        )


def _reserved_count(query_slots):
    """Returns the slots kept for fast queries: some, if there are several."""
    return max(
        round(query_slots * FAST_QUERY_SLOT_SHARE), min(query_slots - 1, 1)
    )


def has_ticket(stage, endpoint_id, now_ms):
    """Whether a stage holds a ticket that is valid long enough to start."""
    ticket = stage.ticket_by_id.get(endpoint_id)
    return (
        ticket is not None
        and ticket.valid_until_ms > now_ms + TICKET_MARGIN_MS
    )


def may_order(stage, endpoint_id, now_ms):
    """Whether a start of a stage needs no ticket, or there is a valid one."""
    return not stage.queue.advice or has_ticket(stage, endpoint_id, now_ms)


def ids_with_ticket(stage, now_ms):
    """Returns the endpoints for which `has_ticket` holds."""
    needed_until_ms = now_ms + TICKET_MARGIN_MS
    return [
        endpoint_id
        for endpoint_id, ticket in stage.ticket_by_id.items()
        if ticket.valid_until_ms > needed_until_ms
    ]


def _endpoints_to_query(request, now_ms):
    """Returns the endpoints that the next query of a stage names.

    Empty if no endpoint is expected to have free capacity when the answer
    arrives, as the tickets would expire unused; unless runs may be stopped
    for the tasks, and it is the first query. The first query names many
    endpoints, to find out which of them the policy allows. Later queries
    renew the tickets of allowed endpoints with free capacity, or name
    endpoints that were not queried before.
    """
    stage = request.stage
    need = stage.step.booked
    answered_ms = now_ms + stage.queue.advice.decide_ms
    with_room = [
        one
        for one in request.usable.with_expected_room(need, answered_ms)
        if stage.max_more_on(one.endpoint_id) > 0
        and not has_ticket(stage, one.endpoint_id, now_ms)
    ]
    is_first = not stage.queried_ids
    if not with_room and not (request.makes_room and is_first):
        return []
    if not stage.queried_ids:
        large_enough = request.usable.large_enough(need)
        return _highest_ranked(stage, large_enough, need)
    renewed = [
        one for one in with_room if one.endpoint_id in stage.ticket_by_id
    ]
    new = [
        one for one in with_room if one.endpoint_id not in stage.queried_ids
    ]
    if new and (stage.step.gang or not renewed):
        return renewed + _highest_ranked(stage, new, need)
    if stage.step.gang and not _has_room_for_gang(request, answered_ms):
        return []
    return renewed


def _has_room_for_gang(request, at_ms):
    """Whether allowed endpoints are expected to have room for the gang."""
    stage = request.stage
    allowed = request.usable.named(stage.ticket_by_id)
    count = _usable_endpoints.count_expected(stage, allowed, at_ms)
    return count >= request.unplaced_count


def _highest_ranked(stage, endpoints, need):
    ranked = sorted(
        endpoints,
        key=lambda one: (
            bool(stage.step.rack) and one.rack != stage.step.rack,
            not need.fits_in(one.free),
            -one.free.dominant_share(one.registration.capacity),
        ),
    )
    return ranked[:MAX_ENDPOINTS_PER_QUERY]
