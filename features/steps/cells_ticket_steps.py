"""Steps about tickets of the policy service that expire."""

import behave

from features.support import cells_store
from samphiregate.adapters.cells import _actions
from samphiregate.adapters.cells import _policy_queries
from samphiregate.core import cells

VALID_MS = 2_000
NOW_MS = 10_000


@behave.when("a write to the store takes {write_ms:d} ms")
def when_slow_store(context, write_ms):
    context.simulation.store_write_ms = write_ms


class _LatePeers:
    """Peers whose answers are read after a time."""

    def __init__(self, clock, read_ms):
        self._clock = clock
        self._read_ms = read_ms

    def call(self, address, message, timeout_ms):
        """See `PeerCalls.call`."""
        del address, message, timeout_ms
        self._clock.time_ms += self._read_ms
        return cells.AdviceIs((("e0", "ticket"),), VALID_MS)


@behave.given(
    "a VM that reads an answer of the policy service after {read_ms:d} ms"
)
def given_late_reader(context, read_ms):
    clock = cells_store.SteppingClock(step_ms=0)
    context.router = _policy_queries.PolicyQueryRouter(
        vm_id="b",
        policy=None,
        peers=_LatePeers(clock, read_ms),
        address_by_vm=lambda: {"a": "a"},
        now_ms=clock.now_ms,
        log=cells_store.FakeLog(),
    )


@behave.when(
    "it sends a policy query that is expected to take {query_ms:d} ms"
)
def when_queried(context, query_ms):
    action = cells.QueryPolicy("j", 0, 0, ("e0",), query_ms, VALID_MS)
    context.answer = context.router.query(action)


@behave.then(
    "a ticket that is valid for 2000 ms is used until {until_ms:d} ms"
)
def then_until(context, until_ms):
    assert context.answer.valid_until_ms == until_ms, context.answer


class _CountingEndpoints:
    """Endpoints that count the starts."""

    def __init__(self):
        self.start_count = 0

    def start(self, action, epoch):
        """See `Endpoints.start`."""
        del action, epoch
        self.start_count += 1
        return cells.StartResult(cells.StartOutcome.STARTED)


@behave.given("a VM that performs the orders of a cell")
def given_performer(context):
    context.endpoints = _CountingEndpoints()
    context.events = []
    context.performer = _actions.ActionPerformer(
        epoch=1,
        endpoints=context.endpoints,
        policy_router=None,
        tenure_lease=cells_store.FakeLease(),
        deliver=context.events.append,
        step_down=None,
        now_ms=lambda: NOW_MS,
        log=cells_store.FakeLog(),
    )


@behave.when("it is to start a task whose ticket expired {late_ms:d} ms ago")
def when_started_late(context, late_ms):
    action = cells.StartTask(
        "e0",
        "e0:1",
        cells.TaskId("j", 0, 0, 0),
        1,
        "text",
        NOW_MS,
        ticket="ticket",
        ticket_until_ms=NOW_MS - late_ms,
    )
    context.performer.perform_all([action])
    context.performer.join()


@behave.then("no call reaches the endpoint")
def then_not_called(context):
    assert context.endpoints.start_count == 0


@behave.then("the start counts as refused for want of a ticket")
def then_no_ticket(context):
    outcomes = [event.outcome for event in context.events]
    assert outcomes == [cells.StartOutcome.NO_TICKET], outcomes
