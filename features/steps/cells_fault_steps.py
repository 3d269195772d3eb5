"""Steps that inject faults into a simulated cell."""

import math

import attrs
import behave

from features.support import cells_work
from samphiregate.core import cells
from samphiregate.core.cells import _inheritance

FAULT_INTERVAL_MS = 1_500


@behave.given("tasks take as little as half of their estimate")
def given_overestimated(context):
    context.simulation.max_overestimate_share = 0.5


@behave.when("the owner is lost for {span_ms:d} ms")
def when_owner_lost(context, span_ms):
    context.simulation.kill_owner()
    context.simulation.run_for(span_ms)


@behave.when(
    "{count:d} owners in turn take over the cell, each for {span_ms:d} ms"
)
def when_taken_over_in_series(context, count, span_ms):
    for _number in range(count):
        context.simulation.take_over()
        context.simulation.run_for(span_ms)


@behave.when("a VM has seen {seen}")
def when_epochs_seen(context, seen):
    context.epoch_history = cells.EpochHistory()
    for observation in seen.split(", "):
        what, seen_ms = observation.split(" at ")
        if what == "none":
            context.epoch_history.record_no_owner(int(seen_ms))
        else:
            epoch = int(what.removeprefix("owner "))
            context.epoch_history.record_owner(epoch, int(seen_ms))


@behave.given(
    'leases inherited from epoch {epoch:d}, of which "{endpoint_id}" has runs'
)
def given_inherited_leases(context, epoch, endpoint_id):
    context.leases = _inheritance.InheritedLeases(
        epoch=epoch + 1,
        lease_ms=1,
        extension_ms=1,
        history=cells.EpochHistory(),
        record=cells.SilentRecord(),
    )
    context.leases.inherit(endpoint_id, 0)


@behave.when('endpoint "{endpoint_id}" leaves a poll unanswered')
def when_poll_unanswered(context, endpoint_id):
    context.leases.record_silence(endpoint_id)


@behave.when('endpoint "{endpoint_id}" answers')
def when_poll_answered(context, endpoint_id):
    context.leases.record_answer(endpoint_id)


@behave.when("a record of silent endpoints is taken to be written")
def when_silent_record_popped(context):
    assert context.leases.pop_record() is not None


@behave.when("a record of silent endpoints is reported as stored")
def when_silent_record_reported(context):
    context.leases.record_stored()


@behave.then('the lease of endpoint "{endpoint_id}" {may} be extended')
def then_may_extend(context, endpoint_id, may):
    assert context.leases.may_extend(endpoint_id) == (may == "may"), may


@behave.when('endpoint "{endpoint_id}" is silent for later owners')
def when_silent_for_later(context, endpoint_id):
    simulation = context.simulation
    endpoint = simulation.endpoint_by_id[endpoint_id]
    endpoint.silent_from_epoch = simulation.epoch + 1


@behave.when('endpoint "{endpoint_id}" is no longer silent')
def when_not_silent(context, endpoint_id):
    _end_silence(context.simulation, endpoint_id)


def _end_silence(simulation, endpoint_id):
    endpoint = simulation.endpoint_by_id[endpoint_id]
    endpoint.silent_from_epoch = math.inf
    simulation.deliver(endpoint.registration)


@behave.when(
    "owners {how} {count:d} times while endpoints fall silent, with seed "
    "{seed:d}"
)
def when_owners_change(context, how, count, seed):
    simulation = context.simulation
    simulation.random.seed(seed)
    endpoints = list(simulation.endpoint_by_id.values())
    for _number in range(count):
        simulation.run_for(simulation.random.randint(20, 4_000))
        endpoint = simulation.random.choice(endpoints)
        endpoint.silent_from_epoch = simulation.random.choice(
            (simulation.epoch, simulation.epoch + 1, math.inf)
        )
        simulation.store_up = simulation.random.random() < 0.8
        if simulation.random.random() < 0.5:
            simulation.kill_owner()
            simulation.run_for(simulation.random.randint(20, 2_000))
        has_just_started = simulation.random.random() < 0.2
        simulation.take_over(
            cells.EpochHistory() if has_just_started else None,
            revoked=how == "are revoked",
        )
    simulation.store_up = True
    for endpoint in endpoints:
        _end_silence(simulation, endpoint.endpoint_id)


@behave.when("the lease of the owner's VM is not renewed for {span_ms:d} ms")
def when_not_renewed(context, span_ms):
    context.simulation.owner_may_start = False
    context.simulation.run_for(span_ms)


@behave.when("another VM takes over the cell")
def when_taken_over(context):
    context.simulation.take_over()


@behave.when('the stored record of job "{job_id}" is lost')
def when_record_lost(context, job_id):
    del context.simulation.stored_by_id[job_id]


@behave.when('the stored record of job "{job_id}" names also {what}')
def when_record_changed(context, job_id, what):
    simulation = context.simulation
    record = cells.decode(simulation.stored_by_id[job_id], cells.JobRecord)
    first = record.stages[0]
    rows = {
        "a step that it lacks": attrs.evolve(first, step=7),
        "a task that a step lacks": attrs.evolve(
            first, placed=(*first.placed, (99, 1, "e0"))
        ),
    }
    changed = attrs.evolve(record, stages=(*record.stages, rows[what]))
    if rows[what].step == first.step:
        changed = attrs.evolve(record, stages=(rows[what],))
    simulation.stored_by_id[job_id] = cells.encode(changed)


@behave.when('endpoint "{endpoint_id}" becomes unreachable')
def when_unreachable(context, endpoint_id):
    context.unreachable_ms = context.simulation.now_ms
    context.starts_before = len(context.simulation.starts)
    context.simulation.endpoint_by_id[endpoint_id].is_partitioned = True


@behave.when(
    'endpoint "{endpoint_id}" refuses the first poll before any other answers'
)
def when_refused(context, endpoint_id):
    simulation = context.simulation
    simulation.deliver(cells.PollFailed(endpoint_id))


@behave.when('endpoint "{endpoint_id}" is reachable again')
def when_reachable_again(context, endpoint_id):
    context.simulation.endpoint_by_id[endpoint_id].is_partitioned = False


@behave.when('endpoint "{endpoint_id}" drains and leaves after {left_ms:d} ms')
def when_drains(context, endpoint_id, left_ms):
    simulation = context.simulation
    endpoint = simulation.endpoint_by_id[endpoint_id]
    endpoint.draining = True
    endpoint.remaining_ms = left_ms
    simulation.deliver(endpoint.registration)

    def leave():
        endpoint.restart()
        endpoint.is_partitioned = True
        simulation.deliver(cells.EndpointDeregistered(endpoint_id))

    simulation.at(left_ms, leave)


@behave.when('endpoint "{endpoint_id}" restarts')
def when_restarts(context, endpoint_id):
    context.simulation.endpoint_by_id[endpoint_id].restart()


@behave.when('endpoint "{endpoint_id}" fails every task that it starts')
def when_fails(context, endpoint_id):
    context.simulation.endpoint_by_id[endpoint_id].fails_all_tasks = True


@behave.when('endpoint "{endpoint_id}" fails every task at once')
def when_fails_at_once(context, endpoint_id):
    endpoint = context.simulation.endpoint_by_id[endpoint_id]
    endpoint.fails_all_tasks = True
    endpoint.failing_ms = 10


@behave.when("all endpoints leave {tenths:d} of 10 calls unanswered")
def when_unanswered(context, tenths):
    for endpoint in context.simulation.endpoint_by_id.values():
        endpoint.unanswered_share = tenths / 10


@behave.given("tasks take {times:d} times their estimate")
def given_underestimated(context, times):
    context.simulation.underestimate_factor = times


@behave.when('endpoint "{endpoint_id}" takes {times:d} times as long')
def when_slow(context, endpoint_id, times):
    context.simulation.endpoint_by_id[endpoint_id].slowness = times


@behave.when(
    'endpoint "{endpoint_id}" executes starts {late_ms:d} ms late and does '
    "not answer"
)
def when_start_delayed(context, endpoint_id, late_ms):
    context.simulation.endpoint_by_id[endpoint_id].start_delay_ms = late_ms


@behave.when('endpoint "{endpoint_id}" answers again')
def when_start_not_delayed(context, endpoint_id):
    context.simulation.endpoint_by_id[endpoint_id].start_delay_ms = 0


@behave.when("the store is unavailable for {span_ms:d} ms")
def when_store_unavailable(context, span_ms):
    context.simulation.store_up = False
    context.simulation.run_for(span_ms)
    context.simulation.store_up = True


@behave.when(
    'endpoint "{endpoint_id}" lists run {run:d} of job "{job_id}" and becomes '
    "unreachable"
)
def when_listed(context, endpoint_id, run, job_id):
    simulation = context.simulation
    endpoint = simulation.endpoint_by_id[endpoint_id]
    endpoint.is_partitioned = True
    task_id = cells.TaskId(job_id, 0, 0, 0)
    event = cells.EndpointPolled(
        endpoint_id,
        simulation.now_ms,
        simulation.now_ms,
        endpoint.incarnation,
        (cells.RunningRow(task_id, run, percent=0),),
        (),
    )
    simulation.deliver(event)


@behave.when("the store becomes unavailable")
def when_store_down(context):
    context.simulation.store_up = False


@behave.when("the store is available again")
def when_store_up(context):
    context.simulation.store_up = True


@behave.when(
    "random faults and jobs occur for {span_s:d} s with seed {seed:d}"
)
def when_faults(context, span_s, seed):
    simulation = context.simulation
    simulation.random.seed(seed)
    end_ms = simulation.now_ms + span_s * 1_000
    number = 0
    while simulation.now_ms < end_ms:
        step = cells_work.make_step(
            simulation.random.randint(1, 6),
            estimate_ms=simulation.random.randint(200, 1_500),
        )
        second = cells_work.make_step(2, after=(0,))
        simulation.submit(cells_work.make_job(f"j{number}", step, second))
        number += 1
        if simulation.random.random() < 0.25:
            _inject(simulation)
        simulation.run_for(simulation.random.randint(50, 500))
    for endpoint in simulation.endpoint_by_id.values():
        endpoint.start_delay_ms = 0
        endpoint.is_partitioned = False
    simulation.store_up = True
    simulation.take_over()


def _inject(simulation):
    """Injects one random fault; lasting faults end by themselves."""
    names = sorted(simulation.endpoint_by_id)
    endpoint = simulation.endpoint_by_id[simulation.random.choice(names)]
    span_ms = simulation.random.randint(300, 6_000)
    kind = simulation.random.choice(
        ("partition", "delay", "restart", "takeover", "store", "owner down")
    )
    if kind == "partition":
        endpoint.is_partitioned = True
        simulation.at(
            span_ms, lambda: setattr(endpoint, "is_partitioned", False)
        )
    elif kind == "delay":
        endpoint.start_delay_ms = simulation.random.randint(200, 3_000)
        simulation.at(span_ms, lambda: setattr(endpoint, "start_delay_ms", 0))
    elif kind == "restart":
        endpoint.restart()
    elif kind == "takeover":
        simulation.take_over()
    elif kind == "store":
        simulation.store_up = False
        simulation.at(span_ms, lambda: setattr(simulation, "store_up", True))
    else:
        simulation.kill_owner()
        simulation.run_for(min(span_ms, 3_000))
        simulation.take_over()


@behave.given("a store that takes {write_ms:d} ms a write")
def given_slow_store(context, write_ms):
    context.simulation.store_write_ms = write_ms
