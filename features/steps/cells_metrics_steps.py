"""Steps about the log lines and metrics of an entry VM."""

import os
import re

import behave
import gevent

from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _metered
from samphiregate.adapters.cells import _vm_state
from samphiregate.core import cells
from samphiregate import logs
from samphiregate import metrics


@behave.given("a log into a pipe that nobody reads")
def given_log(context):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    context.unix_s = 1000.0
    context.log = logs.DecisionLog(
        vm_id="vm", descriptor=writer, unix_s=lambda: context.unix_s
    )


@behave.when("{count:d} lines of {kinds:d} kinds are written")
def when_lines(context, count, kinds):
    context.written = 0
    context.log.__enter__()
    for number in range(count):
        context.unix_s += 0.001
        context.log.write(f"kind {number % kinds}", text="x" * 200)
        context.written += 1
        if number % 1000 == 0:
            gevent.sleep(0)
    context.log._greenlet.kill()


@behave.then("the writer was not blocked")
def then_not_blocked(context):
    assert context.written == 20_000


@behave.then("the log counts the lines that it dropped")
def then_dropped_lines(context):
    assert sum(context.log.dropped_by_kind.values()) > 0


class _DescribedVm:
    """A VM with a fixed state."""

    def describe(self):
        """See `EntryVm.describe`."""
        gaps = {
            "without_run": 2,
            "oldest_ms": 14_800,
            "unconfirmed": 1,
            "restarted": 3,
            "restart_ms": 9_500,
        }
        lost = {"its process has ended": 4}
        preemptions = {"runs": {"batch": 3}, "lost_core_ms": {"batch": 4_500}}
        return _vm_state.VmState(
            lease_left_ms=1_500,
            owns_cell=True,
            jobs=3,
            waiting_by_reason={"room": 7},
            unreachable_by_service={"svc": 2},
            configuration_version=9,
            configuration_age_ms=100,
            run_gaps=gaps,
            runs_lost_by_reason=lost,
            preemptions=preemptions,
            account_shares={"svc": {"acme": {"surplus": 0.2}}},
        )


@behave.when(
    "the state of a VM that {owns} a cell is described {left_ms:d} ms before "
    "its lease ends"
)
def when_described(context, owns, left_ms):
    cell = cells.Cell(epoch=1, lease_ms=1_000, inherited_lease_ms=1_000)
    job = cells_work.make_job("j", cells_work.make_step())
    cell.handle(cells.JobStored(job), 0)
    context.vm_state = _vm_state.describe(
        cell=cell if owns == "serves" else None,
        lease_until_ms=1_000 + left_ms,
        configuration=None,
        configuration_sync_ms=0,
        now_ms=1_000,
    )


@behave.then(
    "its state has {jobs:d} jobs, {left_ms:d} ms left, and owns a cell: {told}"
)
def then_described(context, jobs, left_ms, told):
    state = context.vm_state
    assert (state.jobs, state.lease_left_ms) == (jobs, left_ms), state
    assert str(state.owns_cell) == told, state
    assert state.configuration_age_ms == 1_000, state


@behave.given("metrics of a VM whose store answers writes with {answers}")
def given_metrics(context, answers):
    context.metrics = metrics.VmMetrics()
    context.metrics.watch_vm(_DescribedVm())
    context.metered = _metered.MeteredStore(
        store=cells_store.ScriptedStore(answers.split(", ")),
        record_call=context.metrics.note_store_call,
    )


@behave.when(
    "two writes are tried and a caller's {method} is answered with {status}"
)
def when_measured(context, method, status):
    for _time in range(2):
        cells_store.result_of(
            lambda: context.metered.commit(expected={}, writes=[])
        )
    with context.metrics.time_request(method) as outcome:
        outcome.status = status


@behave.when("a caller is answered with {status} after SIGTERM")
def when_stopping(context, status):
    context.metrics.note_stopping_request(status)


@behave.when("callers send GET and {count:d} methods of their own")
def when_methods(context, count):
    for method in ("GET", *(f"M{number}" for number in range(count))):
        with context.metrics.time_request(method) as outcome:
            outcome.status = "405"


@behave.then("the metrics name {count:d} methods")
def then_methods(context, count):
    found = set(
        re.findall('method="([^"]*)"', context.metrics.text().decode())
    )
    assert len(found) == count, sorted(found)[:9]


@behave.then("the metrics show")
def then_metrics(context):
    text = context.metrics.text().decode()
    for row in context.table:
        assert row["line"] in text.splitlines(), (row["line"], text)
