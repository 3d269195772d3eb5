"""Steps about shares of room, and the order of work when room is short."""

import attrs
import behave

from features.support import cells as cells_simulation
from features.support import cells_contention
from features.support import cells_store
from features.support import cells_work
from samphiregate.core import cells
from samphiregate.core.cells import _endpoints
from samphiregate.core.cells import _order

SETTLE_MS = 500
OCCURRENCE_QUEUE = {"priority": 0, "stretch": 2.0, "target_ms": 0.0}


@attrs.frozen
class _OlderJob:
    """A job as the build before stores it."""

    job_id: str
    queue: cells.Queue
    account: str
    payload: str
    steps: tuple[cells.Step, ...]
    schedule: cells.Schedule | None = None


JOB_CLASS_BY_BUILD = {"this build": cells.Job, "the older": _OlderJob}


@behave.then(
    "the job that the owner is told of carries the time of its accept"
)
def then_stamped(context):
    (job,) = context.notices.stored_jobs
    assert job.accepted_unix_ms == cells_store.ACCEPTED_UNIX_MS, job


@behave.given("a stored job that was accepted at {unix_ms:d}")
def given_accepted(context, unix_ms):
    job = cells_work.make_job("j", cells_work.make_step(2))
    context.job = attrs.evolve(job, accepted_unix_ms=unix_ms)


@behave.when("it is stored by {writer} and read by {reader}")
def when_stored_and_read(context, writer, reader):
    written_class = JOB_CLASS_BY_BUILD[writer]
    fields = [one.name for one in attrs.fields(written_class)]
    written = written_class(
        **{one: getattr(context.job, one) for one in fields}
    )
    data = cells.encode(written)
    context.read = cells.decode(data, JOB_CLASS_BY_BUILD[reader])


@behave.then("the time of accept is {expected}")
def then_accepted(context, expected):
    read_ms = getattr(context.read, "accepted_unix_ms", "none")
    assert str(read_ms) == expected, read_ms
    assert context.read.steps == context.job.steps


@behave.given("a shared cell of {count:d} endpoints of {cores:d} cores")
def given_endpoints(context, count, cores):
    simulation = cells_simulation.CellSimulation(seed=1)
    for number in range(count):
        simulation.add_endpoint(f"e{number}", cpu=cores * 1_000)
    simulation.take_over()
    simulation.run_for(SETTLE_MS)
    context.simulation = simulation


@behave.given("its owner is killed")
def given_owner_killed(context):
    context.simulation.kill_owner()


@behave.given("one account, of weight {weight:g}")
def given_account(context, weight):
    context.account = cells.Account("acme", weight)
    context.simulation.accounts = (context.account,)


@behave.step(
    'a job "{job_id}" of {work_ms:d} ms is submitted, due within {due_ms:d} ms'
)
def step_submitted(context, job_id, work_ms, due_ms):
    job = cells_work.make_job(
        job_id,
        cells_work.make_step(estimate_ms=work_ms),
        stretch=1.0,
        target_ms=due_ms - work_ms,
    )
    context.simulation.submit(job)


@behave.when("there is no owner for {span_ms:d} ms")
@behave.when("its callers wait {span_ms:d} ms")
def when_passed(context, span_ms):
    context.simulation.run_for(span_ms)


@behave.when("it submits a job each {gap_ms:d} ms for {span_ms:d} ms")
def when_stream_submitted(context, gap_ms, span_ms):
    for number in range(span_ms // gap_ms):
        step = cells_work.make_step(estimate_ms=100)
        job = cells_work.make_job(f"j{number}", step, account="acme")
        context.simulation.submit(job)
        context.simulation.run_for(gap_ms)


@behave.when("the next owner takes over")
def when_taken_over(context):
    context.simulation.take_over()


@behave.then("its jobs end in the order {job_ids}")
def then_ended(context, job_ids):
    done_ms_by_job = context.simulation.done_ms_by_job
    ended = sorted(done_ms_by_job, key=done_ms_by_job.get)
    assert ended == job_ids.split(", "), done_ms_by_job
    assert not context.simulation.violations


@behave.then("{count:d} of its jobs count as within its share")
def then_within(context, count):
    flags = [
        line.fields["within_share"]
        for line in context.simulation.log_lines
        if line.event == "job queued"
    ]
    assert sum(flags) == count, flags


@behave.when("a job is read whose stamp is {off_ms:d} ms {way}")
def when_stamp_off(context, off_ms, way):
    simulation = context.simulation
    simulation.run_for(5_000)
    sign = -1 if way == "ago" else 1
    job = attrs.evolve(
        cells_work.make_job("j", cells_work.make_step()),
        accepted_unix_ms=simulation.now_ms + sign * off_ms + 4_000_000,
    )
    cell_state = simulation.cell.cell_state
    cell_state.unix_ms = simulation.now_ms + 4_000_000
    simulation.job_by_id["j"] = job
    simulation.deliver(cells.JobStored(job))


@behave.then("its age is taken as {age_ms:d} ms")
def then_age(context, age_ms):
    (line,) = (
        one
        for one in context.simulation.log_lines
        if one.event == "job queued"
    )
    assert line.fields["age_ms"] == age_ms, line


def _resources(text):
    cores, memory_gb, gpus = map(int, text.split(","))
    return cells.Resources(cores * 1_000, memory_gb * 1_000, gpus)


def _add_stage(context, account, demand, now_ms=None, **queue):
    number = len(context.cell_state.entry_by_id)
    step = cells.Step(1, demand, 1_000)
    job = cells_work.make_job(f"j{number}", step, account=account, **queue)
    context.cell_state.add_job(
        cells.JobStored(job), number if now_ms is None else now_ms
    )
    return context.cell_state.entry_by_id[job.job_id].stages_by_key[0, 0]


@behave.given(
    "a service of {cores:d} cores, {memory_gb:d} GB and {gpus:d} accelerators"
)
def given_service(context, cores, memory_gb, gpus):
    cell = cells.Cell(epoch=1, lease_ms=5_000, inherited_lease_ms=7_400)
    context.cell_state = cell.cell_state
    capacity = _resources(f"{cores},{memory_gb},{gpus}")
    registration = cells.EndpointRegistered(
        "e", cells_work.SERVICE, "", "", capacity
    )
    context.endpoint = _endpoints.Endpoint(registration, has_answered=True)
    context.cell_state.endpoint_by_id["e"] = context.endpoint
    context.cell_state.fair_shares.count_room([context.endpoint], 0)


@behave.given(
    'accounts "a" of weight {weight_a:g} and "b" of weight {weight_b:g}'
)
def given_accounts(context, weight_a, weight_b):
    accounts = (cells.Account("a", weight_a), cells.Account("b", weight_b))
    context.cell_state.fair_shares.set_accounts(accounts, 0)


@behave.when('runs of "a" take {of_a}, and of "b" {of_b}')
def when_taken(context, of_a, of_b):
    for account, text in (("a", of_a), ("b", of_b)):
        demand = _resources(text)
        if demand != cells.Resources():
            stage = _add_stage(context, account, demand)
            context.cell_state.reserve(stage.tasks[0], 1, context.endpoint, 0)


@behave.then(
    '"a" takes {share:g} of it, and {surplus:g} more than its share of the use'
)
def then_taken(context, share, surplus):
    fair_shares = context.cell_state.fair_shares
    taken = fair_shares.share(cells_work.SERVICE, "a")
    assert abs(taken - share) < 1e-6, taken
    more = fair_shares.surplus(cells_work.SERVICE, "a")
    assert abs(more - surplus) < 1e-6, more
    row = fair_shares.describe()[cells_work.SERVICE]["a"]
    assert row["share"] == share, row
    for booking in list(context.endpoint.bookings_by_run.values()):
        context.cell_state.release(booking)
    assert fair_shares.share(cells_work.SERVICE, "a") == 0


@behave.when(
    'a stage of "a" that is due first and one of "b" wait for {cores:d} cores '
    "each"
)
def when_waiting(context, cores):
    demand = _resources(f"{cores},1,0")
    stages = [_add_stage(context, account, demand) for account in "ab"]
    context.sorted = _order.sort_stages(
        stages, 0, context.cell_state.fair_shares
    )


@behave.then("{account} is placed first")
def then_first(context, account):
    assert context.sorted[0].entry.job.account == account


@behave.given("the load {name}")
def given_load(context, name):
    context.load_name = name


@behave.when("it is played with seed {seed:d}")
def when_played(context, seed):
    context.outcome_by_order = {
        order: cells_contention.play(context.load_name, order, seed)
        for order in cells_contention.ORDERS
    }
    context.outcome = context.outcome_by_order["present"]


def _check_gain(context, gain, order, credit):
    before = credit(context.outcome_by_order[order])
    now = credit(context.outcome)
    assert now >= before + gain, context.outcome_by_order


@behave.then("callers get {gain:g} more than in the earlier order")
def then_more_than_earlier(context, gain):
    _check_gain(context, gain, "earlier", lambda one: one.credit)


@behave.then("{gain:g} more than first come first served")
@behave.then("callers get {gain:g} more than first come first served")
def then_more_than_first_come(context, gain):
    _check_gain(context, gain, "first come", lambda one: one.credit)


@behave.then("no more than the room allows")
def then_within_bound(context):
    assert context.outcome.credit <= context.outcome.bound, context.outcome


@behave.then("accounts {names} get {gain:g} more than in the earlier order")
def then_accounts_get(context, names, gain):
    for name in names.split(", "):
        _check_gain(
            context,
            gain,
            "earlier",
            lambda one, name=name: one.credit_by_account[name],
        )


@behave.then("accounts {names} get all")
def then_accounts_get_all(context, names):
    for name in names.split(", "):
        credit = context.outcome.credit_by_account[name]
        assert credit == 1.0, context.outcome


@behave.then("callers get at least {share:g} of what the room allows")
def then_of_bound(context, share):
    least = share * context.outcome.bound
    assert context.outcome.credit >= least, context.outcome_by_order


@behave.when(
    "a stage of priority {old:d} waits for {times:g} times its objective, and "
    "a new one of priority {new:d}"
)
def when_waits(context, old, times, new):
    demand = _resources("1,1,0")
    context.old = _add_stage(context, "a", demand, 0, priority=old)
    entry = context.old.entry
    now_ms = round((entry.due_ms - entry.accepted_ms) * times)
    context.new = _add_stage(context, "a", demand, now_ms, priority=new)
    context.sorted = _order.sort_stages(
        [context.new, context.old], now_ms, context.cell_state.fair_shares
    )


@behave.when(
    "an urgent occurrence opens {times:g} times its objective after the "
    "accept, and a batch of priority 2 waits"
)
def when_occurrence_opens(context, times):
    cell_state = context.cell_state
    demand = _resources("1,1,0")
    step = cells.Step(1, demand, 1_000)
    objective_ms = 1_000 * OCCURRENCE_QUEUE["stretch"]
    due_ms = round(objective_ms * times)
    job = cells_work.make_job(
        "recurring", step, account="a", **OCCURRENCE_QUEUE
    )
    job = attrs.evolve(job, schedule=cells.Schedule(due_ms, 1_000, 1))
    cell_state.add_job(cells.JobStored(job), 0)
    entry = cell_state.entry_by_id["recurring"]
    entry.add_occurrence(0)
    cell_state.unix_ms = due_ms
    cell_state.open_ready_stages(entry, due_ms)
    context.occurrence = entry.stages_by_key[0, 0]
    batch = _add_stage(context, "a", demand, due_ms, priority=2)
    context.sorted = _order.sort_stages(
        [batch, context.occurrence], due_ms, cell_state.fair_shares
    )


@behave.then("it is the {which} one that goes first")
def then_one_first(context, which):
    assert context.sorted[0] is getattr(context, which)
