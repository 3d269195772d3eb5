"""Steps about endpoints that restart, and what tells the owner of it."""

import collections

import behave

from features.support import cells_endpoint_faults
from features.support import cells_work
from samphiregate.core import cells

KINDS = {
    "a job": {},
    "a gang": {"gang": True},
    "a long-running job": {"long_running": True},
    "an urgent job": {},
}
URGENT = 0
MAX_GAP_MS = 900  # between two jobs
FAULT_SHARE = 0.25
RESTARTS = (
    cells_endpoint_faults.restart,
    cells_endpoint_faults.restart,
    cells_endpoint_faults.restart,
    cells_endpoint_faults.lose_answers,
    cells_endpoint_faults.change_owner,
)


@behave.when(
    'endpoint "{endpoint_id}" restarts within {away_ms:d} ms, and its entry '
    "follows {entry_ms:d} ms later"
)
def when_restarts(context, endpoint_id, away_ms, entry_ms):
    endpoint = context.simulation.endpoint_by_id[endpoint_id]
    context.earlier_entry = endpoint.registration
    context.earlier_polled_ms = context.simulation.now_ms
    endpoint.register_ms = entry_ms
    endpoint.restart(away_ms)


@behave.when(
    'endpoint "{endpoint_id}" restarts within {away_ms:d} ms at another '
    "address, and its entry follows {entry_ms:d} ms later"
)
def when_restarts_elsewhere(context, endpoint_id, away_ms, entry_ms):
    when_restarts(context, endpoint_id, away_ms, entry_ms)
    context.simulation.endpoint_by_id[endpoint_id].address = "elsewhere"


@behave.when("{kind} comes, of {count:d} tasks that take {task_ms:d} ms each")
def when_kind(context, kind, count, task_ms):
    step = cells_work.make_step(count, estimate_ms=task_ms, **KINDS[kind])
    simulation = context.simulation
    job_id = f"k{len(simulation.job_by_id)}"
    priority = {"priority": URGENT} if kind == "an urgent job" else {}
    simulation.submit(cells_work.make_job(job_id, step, **priority))


@behave.when(
    "the owner is lost and another one takes over after {gap_ms:d} ms"
)
def when_owner_changes(context, gap_ms):
    context.simulation.kill_owner()
    context.simulation.run_for(gap_ms)
    context.simulation.take_over()


@behave.when('answers of endpoint "{endpoint_id}" are lost {until}')
def when_answers_lost(context, endpoint_id, until):
    endpoint = context.simulation.endpoint_by_id[endpoint_id]
    endpoint.unanswered_share = 1.0 if until == "from now on" else 0.0


@behave.when('{old} of the earlier incarnation of "{endpoint_id}" arrives')
def when_old_arrives(context, old, endpoint_id):
    simulation = context.simulation
    entry = context.earlier_entry
    sent_ms = context.earlier_polled_ms
    if old == "the entry":
        event = entry
    elif old == "an answer to a poll":
        event = cells.EndpointPolled(
            endpoint_id, sent_ms, sent_ms, entry.started_unix_ms, (), ()
        )
    else:
        event = cells.PollFailed(
            endpoint_id, process_gone=True, sent_ms=sent_ms
        )
    simulation.deliver(event)


@behave.when(
    "jobs come for {span_s:d} s while endpoints restart and owners change, "
    "with seed {seed:d}"
)
def when_restarts_at_random(context, span_s, seed):
    simulation = context.simulation
    rnd = simulation.random
    rnd.seed(seed)
    end_ms = simulation.now_ms + span_s * 1_000
    while simulation.now_ms < end_ms:
        kind = rnd.choice(("a job", "a gang", "an urgent job"))
        when_kind(context, kind, rnd.randint(1, 10), rnd.randint(200, 4_000))
        if rnd.random() < FAULT_SHARE:
            cells_endpoint_faults.inject(simulation, RESTARTS)
        simulation.run_for(rnd.randint(20, MAX_GAP_MS))
    for endpoint in simulation.endpoint_by_id.values():
        endpoint.unanswered_share = 0.0


@behave.then("each task was started once and none of its runs was stopped")
def then_once(context):
    simulation = context.simulation
    starts = collections.Counter(row[0] for row in simulation.starts)
    assert starts and set(starts.values()) == {1}, starts
    assert not simulation.stops, simulation.stops


@behave.then("the owner knows of no run that no endpoint has")
def then_known(context):
    simulation = context.simulation
    known = set()
    for endpoint in simulation.cell.cell_state.endpoint_by_id.values():
        known.update(
            (endpoint.endpoint_id, *key) for key in endpoint.bookings_by_run
        )
    existing = {
        (endpoint.endpoint_id, *key)
        for endpoint in simulation.endpoint_by_id.values()
        for key in endpoint.run_by_key
    }
    assert known == existing, known ^ existing
