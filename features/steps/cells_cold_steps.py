"""Steps about endpoints that say that they are still slow."""

import pathlib
import sys

import behave
import orjson

from features.support import cells as cells_support
from features.support import cells_work
from samphiregate import errors

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.append(str(ROOT / "platform"))

from samphiregate_platform import documents  # noqa: E402

TASK_MS = 3_000
REGISTRATION = {
    "service": "svc",
    "addr": "127.0.0.1:5",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768},
}


def _add_endpoints(context, count, cores, rack):
    return [
        context.simulation.add_endpoint(
            f"{rack}-{number}", cpu=cores * 1_000, labels=("a", rack)
        )
        for number in range(count)
    ]


@behave.given(
    '{count:d} endpoints of {cores:d} cores in rack "{rack}", of which the '
    "first is slow for {span_ms:d} ms"
)
def given_slow(context, count, cores, rack, span_ms):
    context.simulation = cells_support.CellSimulation()
    endpoints = _add_endpoints(context, count, cores, rack)
    context.slow_endpoint = endpoints[0]
    context.slow_endpoint.cold_until_ms = span_ms


@behave.given('{count:d} endpoints of {cores:d} cores in rack "{rack}"')
def given_others(context, count, cores, rack):
    _add_endpoints(context, count, cores, rack)


@behave.when(
    '{count:d} {priority} tasks with data in rack "{rack}" are submitted'
)
def when_submitted(context, count, priority, rack):
    step = cells_work.make_step(count, estimate_ms=TASK_MS, rack=rack)
    number = 0 if priority == "urgent" else 1
    job = cells_work.make_job("j", step, priority=number)
    context.simulation.submit(job)


@behave.then("{count:d} tasks run on the slow endpoint")
def then_on_slow(context, count):
    runs = context.slow_endpoint.run_by_key
    assert len(runs) == count, runs


@behave.when("a registration with {cold} is decoded")
def when_decoded(context, cold):
    row = dict(REGISTRATION)
    if not cold.startswith("no "):
        row["cold_left_ms"] = int(cold.split()[1])
    try:
        event = documents.endpoint("servers/i-1", orjson.dumps(row))
    except errors.BadInputError:
        context.left = "refused"
    else:
        context.left = str(event.cold_left_ms)


@behave.then("it is slow for {left} ms")
def then_slow_for(context, left):
    assert context.left == left, context.left
