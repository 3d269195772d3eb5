"""Steps about the platform client and the stand-in."""

import random

import behave
import gevent.event

from features.support import platform as support
from samphiregate.adapters import platform
from samphiregate.core import store
from samphiregate import timers
from standins import platform as standin

DELIVERY_TIMEOUT_S = 10


@behave.given("a platform stand-in whose key x has version 3")
def given_standin(context):
    context.standin = support.enter(context, support.make_standin())
    context.endpoint = context.standin.endpoint


@behave.when("the platform is {state}")
def when_state(context, state):
    application = context.standin.application
    if state == "down":
        application.faults.down = True
    elif state == "stale":
        application.faults.stale_reads = True
    elif state == "losing answers":
        application.faults.lose_answers = 1
    elif state == "over its rate":
        application.values.read_rate.per_second = 0
        application.values.write_rate.per_second = 0
    elif state == "gone":
        context.standin.server.stop(timeout=0)
    elif state == "silent":
        silent = support.enter(context, support.SilentServer())
        context.endpoint = silent.endpoint
    elif state == "about to change":
        gevent.spawn_later(0.05, change, application.values)


def change(values):
    """Writes the key once more."""
    values.compare_and_swap(support.KEY, 3, b"4")


@behave.when("a platform {call} is made")
def when_call(context, call):
    calls = support.enter(
        context,
        platform.PlatformCalls(
            endpoint=context.endpoint, timeout_ms=300, watch_ms=300
        ),
    )
    big = b"0" * 1_000_001
    makes = {
        "read": lambda: calls.read(support.KEY),
        "read of none": lambda: calls.read("none"),
        "swap": lambda: calls.compare_and_swap(support.KEY, 3, b"4"),
        "stale swap": lambda: calls.compare_and_swap(support.KEY, 2, b"4"),
        "big swap": lambda: calls.compare_and_swap(support.KEY, 3, big),
        "watch": lambda: calls.watch(support.KEY, 3),
    }
    context.result = makes[call]()


@behave.then("the platform call ends as {outcome}, at version {version:d}")
def then_ends(context, outcome, version):
    assert context.result.outcome.value == outcome, context.result
    assert context.result.version == version, context.result


@behave.given("a platform budget of {rate:d} calls a second, burst {burst:d}")
def given_budget(context, rate, burst):
    context.budget = platform.CallBudget(
        random_state=random.Random(1), calls_per_second=rate, burst=burst
    )


@behave.when("platform calls are asked for without end for {duration:d} ms")
def when_without_end(context, duration):
    context.due_ms = []
    for now_ms in range(0, duration, 50):
        wait_ms = context.budget.reserve(now_ms)
        context.due_ms.append(now_ms + wait_ms)
    context.duration_ms = duration


@behave.then("at most {most:d} platform calls are due by then")
def then_due(context, most):
    due = [ms for ms in context.due_ms if ms < context.duration_ms]
    assert 0 < len(due) <= most, len(due)


@behave.when(
    "{count:d} platform calls fail, each as soon as the backoff allows"
)
def when_fail(context, count):
    context.now_ms = 0
    context.backoffs = []
    for _number in range(count):
        context.budget.failed(context.now_ms)
        context.budget.failed(context.now_ms)
        left_ms = context.budget.backoff_left_ms(context.now_ms)
        context.backoffs.append(left_ms)
        context.now_ms += left_ms


@behave.then(
    "each platform backoff is between half and all of {least:d} ms doubled, "
    "up to {most:d} ms"
)
def then_backoffs(context, least, most):
    for number, left_ms in enumerate(context.backoffs):
        longest_ms = min(least * 2**number, most)
        assert longest_ms / 2 - 1 <= left_ms <= longest_ms, context.backoffs
    assert len(set(context.backoffs[-4:])) > 1, context.backoffs


@behave.then("a platform success ends the backoff")
def then_success(context):
    context.budget.failed(context.now_ms)
    context.budget.succeeded()
    assert context.budget.backoff_left_ms(context.now_ms) == 0


@behave.given("a platform fleet list with a lag of {lag:d} ms")
def given_fleet_list(context, lag):
    context.now_ms = 0
    context.fleet = standin.FleetList(
        lag_ms=lag, clock_ms=lambda: context.now_ms
    )


@behave.when(
    "a platform entry VM is listed at 0 ms, leaves at {leaves:d} ms and "
    "goes at {goes:d} ms"
)
def when_listed(context, leaves, goes):
    entry_vm = {"vm_id": "vm", "leaving": False}
    context.steps_by_ms = {
        0: lambda: context.fleet.put("entry_vms", entry_vm),
        leaves: lambda: context.fleet.put(
            "entry_vms", {**entry_vm, "leaving": True}
        ),
        goes: lambda: context.fleet.remove("entry_vms", "vm"),
    }


@behave.then("the platform shows")
def then_shows(context):
    remaining = dict(context.steps_by_ms)
    for row in context.table:
        at_ms = int(row["at_ms"])
        for step_ms in sorted(ms for ms in remaining if ms <= at_ms):
            context.now_ms = step_ms
            remaining.pop(step_ms)()
        context.now_ms = at_ms
        shown = context.fleet.document()["entry_vms"]
        states = ["leaving" if vm["leaving"] else "alive" for vm in shown]
        assert (states or ["none"]) == [row["shown"]], (at_ms, shown)


class Deliveries:
    """Keeps delivered events and lets a test wait for one."""

    def __init__(self):
        self.events = []
        self._arrived = gevent.event.Event()

    def __call__(self, event):
        self.events.append(event)
        self._arrived.set()

    def wait_for(self, matches):
        """Returns the first event that matches."""
        while True:
            for event in self.events:
                if matches(event):
                    return event
            self._arrived.clear()
            assert self._arrived.wait(DELIVERY_TIMEOUT_S), self.events


@behave.given("a platform client that watches x")
def given_client(context):
    service = support.enter(context, timers.TimerService())
    context.delivered = Deliveries()
    context.client = support.enter(
        context,
        platform.PlatformClient(
            endpoint=context.endpoint,
            deliver=context.delivered,
            timers=service,
            random_state=random.Random(1),
            data_centre="ours",
            fleet_interval_ms=20,
            calls_per_second=100.0,
        ),
    )
    context.client.perform(store.WatchKey(support.KEY))
    context.delivered.wait_for(lambda event: _is_change(event, 3))


@behave.when("the platform client swaps x")
def when_client_swaps(context):
    context.client.perform(store.CompareAndSwap(7, support.KEY, 3, b"4"))


@behave.when(
    "a platform worker of another data centre and one of ours are listed"
)
def when_workers(context):
    for data_centre in ("theirs", "ours"):
        context.standin.application.fleet.put(
            "workers",
            {
                "worker_id": f"worker-{data_centre}",
                "data_centre": data_centre,
                "rack": "rack",
                "endpoint": "127.0.0.1:1",
                "capacity": {"cpu_millis": 1, "memory_mib": 1},
            },
        )


@behave.then(
    "the platform client delivers the change, the answer and our worker"
)
def then_delivers(context):
    wait_for = context.delivered.wait_for
    wait_for(lambda event: _is_change(event, 4))
    answer = wait_for(lambda event: getattr(event, "call_id", 0) == 7)
    assert answer.outcome is store.StoreOutcome.OK
    listed = wait_for(lambda event: getattr(event, "workers_by_id", None))
    assert list(listed.workers_by_id) == ["worker-ours"]


def _is_change(event, version):
    return isinstance(event, store.KeyChanged) and event.version == version
