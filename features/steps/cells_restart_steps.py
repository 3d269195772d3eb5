"""Steps about the restart of interrupted long-running tasks."""

import behave

from features.support import cells_restart
from features.support import cells_work

LOW_PRIORITY = 2
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
