"""Steps about the restart of interrupted long-running tasks."""

import behave

from features.support import cells_restart
from features.support import cells_restart_faults
from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _policy_queries
from samphiregate.core import cells
from samphiregate import errors

LOW_PRIORITY = 2
SETTLE_MS = 1_000
MAX_URGENT_WAITING = 4  # jobs
TASKS_OF_WAITING_JOB = 10
URGENT_TASKS = 4  # per interval; half as many again as fit


@behave.given("long-running tasks are watched")
def given_watched(context):
    context.watch = cells_restart.RestartWatch(context.simulation)
    context.watch.start()


@behave.when("a long-running job of {count:d} tasks that {kind} is submitted")
def when_long_running(context, count, kind):
    simulation = context.simulation
    step = cells_work.make_step(count, long_running=True)
    advice = cells_restart.policy_timings(simulation, kind)
    simulation.submit(
        cells_work.make_job(
            "service", step, priority=LOW_PRIORITY, advice=advice
        )
    )


@behave.when("urgent tasks that {kind} fill all endpoints from now on")
def when_urgent(context, kind):
    simulation = context.simulation
    advice = cells_restart.policy_timings(simulation, kind)
    cells_restart.UrgentStream(simulation, advice, URGENT_TASKS).submit()


@behave.then(
    "each long-running task was without a run for at most {max_ms:d} ms"
)
def then_gap(context, max_ms):
    assert context.watch.max_gap_ms <= max_ms, context.watch.max_gap_ms


@behave.when("{count:d} long-running jobs are submitted")
def when_long_running_jobs(context, count):
    step = cells_work.make_step(1, long_running=True)
    for number in range(count):
        context.simulation.submit(
            cells_work.make_job(f"service-{number}", step)
        )
    context.simulation.run_for(SETTLE_MS)


@behave.when(
    "one long-running task after the other fails every {gap_ms:d} ms for "
    "{span_s:d} s"
)
def when_fail_in_turn(context, gap_ms, span_s):
    simulation = context.simulation
    for _time in range(span_s * 1_000 // gap_ms):
        runs = cells_restart.long_running_runs(simulation)
        if runs:
            endpoint, run = min(runs, key=lambda row: row[1].started_ms)
            endpoint.fail(run)
        simulation.run_for(gap_ms)


@behave.when(
    "faults come in {bursts:d} bursts while urgent tasks fill all endpoints, "
    "with seed {seed:d}"
)
def when_bursts(context, bursts, seed):
    simulation = context.simulation
    simulation.random.seed(seed)
    advice = cells_restart_faults.submit_long_running_jobs(simulation)
    simulation.run_for(SETTLE_MS)
    for stream_advice in (None, advice):
        cells_restart.UrgentStream(
            simulation, stream_advice, TASKS_OF_WAITING_JOB, MAX_URGENT_WAITING
        ).submit()
    faulty_cell = cells_restart_faults.FaultyCell(
        simulation, context.watch, seed
    )
    faulty_cell.run(bursts)


@behave.then("no long-running task was overdue")
def then_none_overdue(context):
    assert not context.watch.overdue, context.watch.overdue[:5]


@behave.when('all endpoints without runs but "{endpoint_id}" fall silent')
def when_idle_silent(context, endpoint_id):
    for endpoint in context.simulation.endpoint_by_id.values():
        if not endpoint.run_by_key and endpoint.endpoint_id != endpoint_id:
            endpoint.is_partitioned = True


@behave.when(
    "a long-running task of {large:d} cores and then {count:d} of {small:d} "
    "core are submitted"
)
def when_two_sizes(context, large, count, small):
    for job_id, tasks, cores in (("large", 1, large), ("small", count, small)):
        step = cells_work.make_step(
            tasks, cpu=cores * 1_000, long_running=True
        )
        context.simulation.submit(cells_work.make_job(job_id, step))
        context.simulation.run_for(SETTLE_MS)


@behave.when("the endpoint of a long-running task leaves")
def when_leaves(context):
    endpoint = _endpoint_of_first_run(context.simulation)
    endpoint.restart()
    _unlist(context.simulation, endpoint)


@behave.when("the endpoint of the first long-running task is gone")
def when_gone(context):
    endpoint = _endpoint_of_first_run(context.simulation)
    endpoint.leave()
    _unlist(context.simulation, endpoint)


def _endpoint_of_first_run(simulation):
    runs = cells_restart.long_running_runs(simulation)
    endpoint, _run = min(runs, key=lambda row: row[1].started_ms)
    return endpoint


def _unlist(simulation, endpoint):
    simulation.deliver(cells.EndpointDeregistered(endpoint.endpoint_id))


class _PeersWithPolicy:
    """Peers that relay queries to the policy service, some in vain."""

    def __init__(self, cut_off):
        self._cut_off = cut_off

    def call(self, address, message, timeout_ms):
        """See `PeerCalls.call`."""
        del message, timeout_ms
        if address == self._cut_off:
            raise errors.UnavailableError("timeout", ran=errors.Ran.UNKNOWN)
        return cells.AdviceIs((("e0", "ticket"),), 2_000)


@behave.given(
    'VMs "a", "b" and "c", of which "{cut_off}" does not reach the policy '
    "service"
)
def given_router(context, cut_off):
    context.clock = cells_store.SteppingClock(step_ms=0)
    context.router = _policy_queries.PolicyQueryRouter(
        vm_id="c",
        policy=None,
        peers=_PeersWithPolicy(cut_off),
        address_by_vm=lambda: {"a": "a", "b": "b"},
        now_ms=context.clock.now_ms,
        log=cells_store.FakeLog(),
    )


@behave.when('"c" sends {count:d} policy queries, one every {gap_ms:d} ms')
def when_queries(context, count, gap_ms):
    action = cells.QueryPolicy("j", 0, 0, ("e0",), 30, 2_000)
    context.answers = []
    for _query in range(count):
        context.answers.append(context.router.query(action))
        context.clock.time_ms += gap_ms


@behave.then("at most {max_count:d} policy queries failed")
def then_few_failed(context, max_count):
    failed = [
        one
        for one in context.answers
        if isinstance(one, cells.PolicyQueryFailed)
    ]
    assert len(failed) <= max_count, len(failed)
