"""Steps for jobs with many occurrences or stages."""

import collections

import behave

from features.support import cells_work
from samphiregate.core import cells
from samphiregate.core.cells import _job_entries
from samphiregate.core.cells import _number_ranges
from samphiregate.core.cells import _plan_shares
from samphiregate.core.cells import _preemption_costs

NUMBERS_CHECKED = 13


@behave.then('at most {most:d} tasks of job "{job_id}" are kept')
def then_kept(context, most, job_id):
    entry = context.simulation.cell.cell_state.entry_by_id[job_id]
    kept = sum(len(stage.tasks) for stage in entry.stages_by_key.values())
    assert kept <= most, kept


@behave.then(
    'each occurrence of job "{job_id}" started once, when it was due or later'
)
def then_started_once(context, job_id):
    simulation = context.simulation
    job = simulation.job_by_id[job_id]
    starts = collections.Counter(
        (task.occurrence, task.index)
        for task in simulation.start_ms_by_task
        if task.job_id == job_id
    )
    assert len(starts) == job.task_count, len(starts)
    early = [
        task
        for task, start_ms in simulation.start_ms_by_task.items()
        if task.job_id == job_id
        and start_ms < job.schedule.due_unix_ms(task.occurrence)
    ]
    assert not early, early


def _make_entry(job_id, count):
    job = cells_work.make_job(job_id, *[cells_work.make_step()] * count)
    entry = _job_entries.JobEntry(job, 0, 0, 0, 0)
    entry.add_occurrence(0)
    return entry


@behave.given(
    "a job with {own:d} stages that could start, and {others:d} jobs with one"
)
def given_stages(context, own, others):
    context.own = list(_make_entry("wide", own).stages_by_key.values())
    context.others = [
        stage
        for number in range(others)
        for stage in _make_entry(f"j{number}", 1).stages_by_key.values()
    ]


@behave.when("{plans:d} plans choose stages")
def when_chosen(context, plans):
    shares = _plan_shares.PlanShares()
    context.plans = [
        shares.choose(context.own + context.others) for _plan in range(plans)
    ]


@behave.then(
    "each plan looks at {count:d} stages, and at all of the {others:d} jobs"
)
def then_looked(context, count, others):
    for plan in context.plans:
        assert len(plan) == count, len(plan)
        assert len(set(context.others) & set(plan)) == others, plan


@behave.then("together they have looked at {count:d} stages of the first job")
def then_seen(context, count):
    seen = set(context.own) & {
        stage for plan in context.plans for stage in plan
    }
    assert len(seen) == count, len(seen)


@behave.when("the numbers {numbers} are added to an empty set")
def when_added(context, numbers):
    context.ranges = _number_ranges.NumberRanges()
    for number in map(int, numbers.split(",")):
        context.ranges.add(number)


@behave.then("its ranges are {text}")
def then_ranges(context, text):
    rows = context.ranges.rows()
    assert rows == tuple(
        tuple(map(int, row.split("+"))) for row in text.split(",")
    ), rows


@behave.then("it holds the numbers {numbers} and no other up to 12")
def then_holds(context, numbers):
    expected = sorted(set(map(int, numbers.split(","))))
    held = [one for one in range(NUMBERS_CHECKED) if one in context.ranges]
    assert held == expected, held
    assert list(context.ranges) == expected, list(context.ranges)
    assert len(context.ranges) == len(expected), len(context.ranges)


class _CountingRunTimes:
    """Run times as estimated; counts how often they are asked for."""

    def __init__(self):
        self.calls = 0

    def expected_ms(self, queue, step):
        """See `RunTimes.expected_ms`."""
        del queue
        self.calls += 1
        return step.estimate_ms


AFTER_BY_SHAPE = {
    "row": lambda number: (),
    "chain": lambda number: (number - 1,) if number else (),
    "fan": lambda number: (0,) if number else (),
}


@behave.given(
    "a job of {count:d} steps of {run_ms:d} ms in the shape of a {shape}"
)
def given_shape(context, count, run_ms, shape):
    steps = [
        cells_work.make_step(
            estimate_ms=run_ms, after=AFTER_BY_SHAPE[shape](number)
        )
        for number in range(count)
    ]
    entry = _job_entries.JobEntry(cells_work.make_job("j", *steps), 0, 0, 0, 0)
    entry.add_occurrence(0)
    context.stages = list(entry.stages_by_key.values())


@behave.when("the longest chain from each of its steps is asked for")
def when_chains(context):
    context.run_times = _CountingRunTimes()
    costs = _preemption_costs.PreemptionCosts(
        run_times=context.run_times,
        capacity=cells.Resources(1_000),
        now_ms=0,
        stop_ms=0,
        delay_ms=0,
    )
    context.chains = [costs.path_ms(stage) for stage in context.stages]


@behave.then("the run time of a step was asked for {count:d} times")
def then_asked(context, count):
    assert context.run_times.calls == count, context.run_times.calls


@behave.then("the longest chain from the first step takes {chain_ms:d} ms")
def then_chain(context, chain_ms):
    assert context.chains[0] == chain_ms, context.chains[0]
