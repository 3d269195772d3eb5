"""Steps about the steady clocks of endpoints, and the leases they measure."""

import functools

import behave

from features.support import cells_endpoint_faults
from features.support import cells_leases
from features.support import cells_work

FAULTS = (
    cells_endpoint_faults.cut,
    cells_endpoint_faults.cut,
    cells_endpoint_faults.restart,
    cells_endpoint_faults.lose_answers,
    cells_endpoint_faults.change_owner,
)
MIN_CLOCK_RATE = 0.98
MAX_REST_MS = 60_000
MAX_BURST_MS = 6_000  # for which jobs come after a rest
MAX_TASKS = 6
MAX_TASK_MS = 9_000
MAX_GAP_MS = 700
FAULT_SHARE = 0.4


@behave.given("endpoints whose clocks go at {rate:g} of the time")
def given_rate(context, rate):
    for endpoint in context.simulation.endpoint_by_id.values():
        endpoint.clock_rate = rate


@behave.given("leases are compared with what the owner counts on")
def given_compared(context):
    context.lease_watch = cells_leases.LeaseWatch(context.simulation)
    context.lease_watch.check()


@behave.when("{span_s:d} s pass")
def when_rest(context, span_s):
    context.simulation.run_for(span_s * 1_000)
    context.polls_before = context.simulation.poll_count


@behave.when(
    "the endpoint of the first start is cut off {after_ms:d} ms later for "
    "{span_ms:d} ms"
)
def when_cut(context, after_ms, span_ms):
    simulation = context.simulation
    simulation.run_until(lambda: simulation.starts)
    simulation.run_for(after_ms)
    _task_id, _run, endpoint_id = simulation.starts[0]
    endpoint = simulation.endpoint_by_id[endpoint_id]
    endpoint.is_partitioned = True
    simulation.at(
        span_ms, functools.partial(setattr, endpoint, "is_partitioned", False)
    )


@behave.when(
    "jobs come after {rests:d} rests while endpoints restart and are cut off, "
    "with seed {seed:d}"
)
def when_rests(context, rests, seed):
    simulation = context.simulation
    rnd = simulation.random
    rnd.seed(seed)
    for endpoint in simulation.endpoint_by_id.values():
        endpoint.clock_rate = rnd.uniform(MIN_CLOCK_RATE, 1.0)
    for _rest in range(rests):
        simulation.run_for(rnd.randint(0, MAX_REST_MS))
        end_ms = simulation.now_ms + rnd.randint(0, MAX_BURST_MS)
        while simulation.now_ms < end_ms:
            _submit(simulation)
            if rnd.random() < FAULT_SHARE:
                cells_endpoint_faults.inject(simulation, FAULTS)
            simulation.run_for(rnd.randint(10, MAX_GAP_MS))


def _submit(simulation):
    """Submits a job of random size, a gang or not."""
    rnd = simulation.random
    step = cells_work.make_step(
        rnd.randint(1, MAX_TASKS),
        estimate_ms=rnd.randint(200, MAX_TASK_MS),
        gang=rnd.random() < 0.2,
    )
    job_id = f"j{len(simulation.job_by_id)}"
    simulation.submit(cells_work.make_job(job_id, step))


@behave.when(
    "every endpoint restarts within {away_ms:d} ms, and its entry follows "
    "{entry_ms:d} ms later"
)
def when_all_restart(context, away_ms, entry_ms):
    for endpoint in context.simulation.endpoint_by_id.values():
        endpoint.register_ms = entry_ms
        endpoint.restart(away_ms)
    context.simulation.run_for(away_ms + 10)


@behave.then("no lease lasted longer than the owner counted on")
def then_counted(context):
    assert context.lease_watch.compared_count
    assert not context.lease_watch.too_long, context.lease_watch.too_long[:3]


@behave.then(
    "each task was started within {span_ms:d} ms, with {polls:d} polls"
)
def then_cost(context, span_ms, polls):
    simulation = context.simulation
    accepted_ms = min(
        job.accepted_unix_ms for job in simulation.job_by_id.values()
    )
    start_ms_by_task = simulation.start_ms_by_task
    assert len(start_ms_by_task) == len(simulation.job_by_id)
    last_ms = max(start_ms_by_task.values())
    assert last_ms - accepted_ms <= span_ms, last_ms - accepted_ms
    sent = simulation.poll_count - context.polls_before
    assert sent <= polls, sent
