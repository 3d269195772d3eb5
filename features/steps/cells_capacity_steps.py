"""Steps about endpoints whose capacity changes."""

import behave

from features.support import cells_work

JOB_GAP_MS = 300
TASKS_OF_JOB = 3
OWNER_AWAY_MS = 300
MAX_BEAT_MS = 1_500
MIN_CORES = 1
MAX_CORES = 8


def _change(simulation, endpoint, cores, delay_ms):
    """Changes a capacity now; the entry in the store follows."""
    endpoint.change_capacity(cores * 1_000)
    simulation.at(delay_ms, lambda: simulation.announce(endpoint.registration))


@behave.given("runs go on for {stop_ms:d} ms when they are stopped")
def given_slow_stops(context, stop_ms):
    for endpoint in context.simulation.endpoint_by_id.values():
        endpoint.stop_ms = stop_ms


@behave.when('endpoint "{endpoint_id}" {verb} to {cores:d} cores')
def when_changes(context, endpoint_id, verb, cores):
    del verb
    simulation = context.simulation
    endpoint = simulation.endpoint_by_id[endpoint_id]
    _change(simulation, endpoint, cores, delay_ms=0)


@behave.when(
    'endpoint "{endpoint_id}" restarts with {cores:d} cores and registers '
    "{delay_ms:d} ms later"
)
def when_restarts_smaller(context, endpoint_id, cores, delay_ms):
    simulation = context.simulation
    endpoint = simulation.endpoint_by_id[endpoint_id]
    endpoint.change_capacity(cores * 1_000)
    endpoint.register_ms = delay_ms
    endpoint.restart()


@behave.when(
    "capacities change every {gap_ms:d} ms while tasks of {task_ms:d} ms come "
    "for {span_s:d} s and the owner {owner}, with seed {seed:d}"
)
def when_capacities_change(context, gap_ms, task_ms, span_s, owner, seed):
    simulation = context.simulation
    simulation.random.seed(seed)
    end_ms = simulation.now_ms + span_s * 1_000
    step = cells_work.make_step(TASKS_OF_JOB, estimate_ms=task_ms)
    cells_work.submit_stream(simulation, step, JOB_GAP_MS, span_s * 1_000)
    if owner != "stays":
        every_ms = int(owner.removeprefix("is lost every ").split()[0])
        _lose_owners(simulation, every_ms, end_ms)
    endpoints = list(simulation.endpoint_by_id.values())
    while simulation.now_ms < end_ms:
        cores = simulation.random.randint(MIN_CORES, MAX_CORES)
        delay_ms = simulation.random.randint(0, MAX_BEAT_MS)
        endpoint = simulation.random.choice(endpoints)
        _change(simulation, endpoint, cores, delay_ms)
        simulation.run_for(gap_ms)
    for endpoint in endpoints:
        _change(simulation, endpoint, MAX_CORES, delay_ms=0)


def _lose_owners(simulation, every_ms, end_ms):
    def lose():
        if simulation.now_ms >= end_ms:
            return
        simulation.kill_owner()
        simulation.at(OWNER_AWAY_MS, simulation.take_over)
        simulation.at(every_ms, lose)

    simulation.at(every_ms, lose)
