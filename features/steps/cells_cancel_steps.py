"""Steps for cancellations, and for the order in which the store writes."""

import collections

import behave
import gevent

from features.support import cells as cells_support
from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _loader
from samphiregate.adapters.cells import _ownership
from samphiregate.adapters.cells import _periodic
from samphiregate.core import cells

TIMEOUT_MS = 1_000
JOB_ID = "j"
CHECK_MS = 10_000  # interval at which the owner removes what has expired
START_MS = 1_000  # within which a job would have started


def _make_vm(context, step_ms):
    store = context.store
    clock = cells_store.SteppingClock(step_ms)
    relay = cells_store.make_relay(store, clock.now_ms)
    service = cells_store.make_job_service(relay, clock.now_ms)
    context.relays.append(relay)
    context.services.append(service)


def _make_vms(context, count, step_ms):
    context.store = cells_store.LateStore()
    context.relays = []
    context.services = []
    for _number in range(count):
        _make_vm(context, step_ms)


def _make_job(job_id):
    return cells_work.make_job(job_id, cells_work.make_step(2))


def _submit_as_before(store, job_id):
    """Submits a job as earlier builds did, whatever was cancelled."""
    job_key = _keys.job(cells_store.CELL, job_id)
    value = cells.encode(_make_job(job_id))
    write = cells_store.ports.StoreWrite(job_key, value)
    store.commit(expected={job_key: 0}, writes=[write])


@behave.given("two VMs that share a store")
def given_vms(context):
    _make_vms(context, 2, 15)


@behave.given("a VM whose clock stands still")
def given_still_vm(context):
    _make_vms(context, 1, 0)


@behave.when('callers do "{calls}" for one job, at the VMs in turn')
def when_called(context, calls):
    context.results = []
    for number, call in enumerate(calls.split(", ")):
        if call == "apply":
            context.store.apply_late()
            continue
        context.store.is_late = call.endswith(" late")
        service = context.services[number % 2]
        context.results.append(
            cells_store.result_of(lambda: _do(context.store, service, call))
        )
        context.store.is_late = False
        # The next renewal of a VM's lease shows that the store answers.
        for relay in context.relays:
            relay.record_renewal(succeeded=True)


def _do(store, service, call):
    if call == "old submit":
        _submit_as_before(store, JOB_ID)
    elif call.startswith("submit"):
        service.submit(_make_job(JOB_ID), TIMEOUT_MS)
    else:
        service.cancel(JOB_ID, TIMEOUT_MS)


@behave.then('they get the results "{results}"')
def then_results(context, results):
    assert context.results == results.split(", "), context.results


@behave.then("the owner, told of what the store wrote, {outcome} the job")
def then_owner(context, outcome):
    simulation = cells_support.CellSimulation()
    simulation.add_endpoint("e0")
    simulation.take_over()
    loader = _loader.CellLoader(
        cell_name=cells_store.CELL,
        store=context.store,
        decoders=None,
        deliver=lambda event: _deliver(simulation, event),
        now_ms=lambda: simulation.now_ms,
        log=cells_store.FakeLog(),
    )
    for change in context.store.changes:
        loader._work_changed(change)
    simulation.run_for(START_MS)
    state = simulation.cell.state_of(JOB_ID)
    if outcome == "lacks":
        assert state is None, state
    elif outcome == "cancels":
        assert state is cells.JobState.CANCELLED, state
    assert bool(simulation.starts) == (outcome == "starts"), simulation.starts


def _deliver(simulation, event):
    if isinstance(event, cells.JobStored):
        simulation.job_by_id[event.job.job_id] = event.job
    simulation.deliver(event)


@behave.then("a caller then gets the state {state}")
def then_state(context, state):
    service = context.services[0]
    states = []
    result = cells_store.result_of(
        lambda: states.append(service.state(JOB_ID, TIMEOUT_MS).value)
    )
    assert (states or [result]) == [state], (states, result)


@behave.when("callers cancel {count:d} jobs that do not exist, all at one VM")
def when_many_cancelled(context, count):
    context.count_by_result = collections.Counter(
        cells_store.result_of(
            lambda job_id=f"j{number}": context.services[0].cancel(
                job_id, TIMEOUT_MS
            )
        )
        for number in range(count)
    )


@behave.then("{count:d} of them get the result {result}")
def then_count(context, count, result):
    assert context.count_by_result[result] == count, context.count_by_result


@behave.then("the store holds {count:d} cancellations")
def then_held(context, count):
    prefix = _keys.cancel(cells_store.CELL, "")
    held = [key for key in context.store.item_by_key if key.startswith(prefix)]
    assert len(held) == count, held


@behave.given(
    "an owner that was told of {count:d} cancellations of jobs that do not "
    "exist"
)
def given_owner(context, count):
    context.cell = cells.Cell(
        epoch=1, lease_ms=5_000, inherited_lease_ms=7_400
    )
    for number in range(count):
        job_id = f"j{number}"
        key = _keys.cancel(cells_store.CELL, job_id)
        write = cells_store.ports.StoreWrite(key, b"1")
        context.store.commit(expected={}, writes=[write])
        context.cell.handle(cells.JobCancelled(job_id), 0)


@behave.given("{count:d} of these jobs were submitted since")
def given_submitted(context, count):
    for number in range(count):
        _submit_as_before(context.store, f"j{number}")


@behave.when("{wait_s:d} s pass for the owner")
def when_time_passes(context, wait_s):
    store = context.store
    now_ms = 0
    purger = _periodic.Purger(
        tenure=_ownership.Tenure(cells_store.CELL, 1, {}, 1),
        store=store,
        now_ms=lambda: now_ms,
        unix_ms=lambda: now_ms,
        log=cells_store.FakeLog(),
    )
    with purger:
        for now_ms in range(0, wait_s * 1_000 + 1, CHECK_MS):
            purger.run(context.cell)
            gevent.sleep(0)
            removed = [one for one in store.changes if one.item is None]
            for change in removed:
                job_id = change.key.rpartition("/")[2]
                context.cell.handle(cells.CancellationRemoved(job_id), now_ms)


@behave.then("the owner keeps {count:d} cancellations")
def then_kept(context, count):
    kept = len(context.cell.cell_state.early_cancellations)
    assert kept == count, kept
