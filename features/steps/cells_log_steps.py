"""Steps that check what the log of a simulated cell tells."""

import behave

from features.support import cells_work
from samphiregate import logs

FILLING_CORES = 4_000


def _endpoint_of(simulation, job_id):
    """Returns the endpoint that got the last start of a job's task."""
    endpoint_id = next(
        endpoint_id
        for task_id, _run, endpoint_id in reversed(simulation.starts)
        if task_id.job_id == job_id
    )
    return simulation.endpoint_by_id[endpoint_id]


def _lose_endpoint_and_owner(simulation, endpoint):
    endpoint.is_partitioned = True
    simulation.kill_owner()
    simulation.run_for(2_000)
    simulation.take_over()


def _lose_endpoint(_simulation, endpoint):
    endpoint.is_partitioned = True


def _lose_endpoint_without_room(simulation, endpoint):
    step = cells_work.make_step(1, cpu=FILLING_CORES, estimate_ms=20_000)
    simulation.submit(cells_work.make_job("filling", step, priority=0))
    simulation.run_for(300)
    endpoint.is_partitioned = True


def _restart_without_store(simulation, endpoint):
    simulation.store_up = False
    simulation.at(3_000, lambda: setattr(simulation, "store_up", True))
    endpoint.restart()


def _lose_endpoint_of_other_owner(simulation, endpoint):
    _lose_endpoint_and_owner(simulation, endpoint)
    simulation.run_for(3_000)
    simulation.kill_owner()
    simulation.run_for(2_000)
    simulation.take_over()


FAULTS = {
    "its endpoint and the owner are lost": _lose_endpoint_and_owner,
    "its endpoint and two owners are lost": _lose_endpoint_of_other_owner,
    "its endpoint is lost": _lose_endpoint,
    "its endpoint is lost, and the other is full": _lose_endpoint_without_room,
    "its endpoint restarts while the store is away": _restart_without_store,
}


@behave.when('a fault befalls job "{job_id}": {fault}')
def when_fault(context, job_id, fault):
    simulation = context.simulation
    FAULTS[fault](simulation, _endpoint_of(simulation, job_id))


@behave.then(
    'the log of {span_ms:d} ms tells that job "{job_id}" waits for "{reasons}"'
)
def then_waits_for(context, span_ms, job_id, reasons):
    simulation = context.simulation
    simulation.run_for(span_ms)
    story = logs.tell(simulation.log_lines, job_id)
    told = [wait.reason for wait in story.waits]
    assert told == reasons.split(", then "), (told, story.lines)


@behave.then('the log tells each run of job "{job_id}" and who ordered it')
def then_runs_told(context, job_id):
    simulation = context.simulation
    told = {
        (run, endpoint_id)
        for line in simulation.log_lines
        if line.event == "tasks placed" and line.fields["request"] == job_id
        for _index, run, endpoint_id in line.fields["runs"]
    }
    started = {
        (run, endpoint_id)
        for task_id, run, endpoint_id in simulation.starts
        if task_id.job_id == job_id
    }
    assert started
    assert started <= told, (started, told)


@behave.then("the log names {count:d} restored runs")
def then_restored(context, count):
    restored = [
        run
        for line in context.simulation.log_lines
        if line.event == "runs restored"
        for run in line.fields["restored"]
    ]
    assert len(restored) == count, restored


@behave.then("{count:d} lines tell of waits")
def then_wait_lines(context, count):
    lines = [
        line
        for line in context.simulation.log_lines
        if line.event == "task waits"
    ]
    assert len(lines) == count, lines
