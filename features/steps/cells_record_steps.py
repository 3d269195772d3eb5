"""Steps for the size of job records, and for those that can't be stored."""

import attrs
import behave
import gevent.event

from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _keys
from samphiregate.core import cells
from samphiregate.core.cells import _compact_records

TIMEOUT_MS = 1_000


@behave.given("a store that takes values of up to {count:d} bytes")
def given_max_value(context, count):
    context.simulation.max_value_bytes = count


@behave.when("the store takes values of up to {count:d} bytes from now on")
def when_max_value(context, count):
    context.simulation.max_value_bytes = count


@behave.given('a store that refuses the records of job "{job_id}"')
def given_refusing_store(context, job_id):
    context.simulation.always_refused_ids = {job_id}


@behave.given("the store in fact takes {count:d} bytes")
def given_taken(context, count):
    context.simulation.taken_bytes = count


@behave.then("the store has refused a record")
def then_some_refused(context):
    assert context.simulation.refused_ids


@behave.then("the store has refused no record")
def then_none_refused(context):
    assert not context.simulation.refused_ids, context.simulation.refused_ids


@behave.then("no record was larger than {count:d} bytes")
def then_largest(context, count):
    largest = context.simulation.max_record_bytes
    assert 0 < largest <= count, largest


@behave.then('the record of job "{job_id}" has at most {count:d} bytes')
def then_record_size(context, job_id, count):
    size = len(context.simulation.stored_by_id[job_id])
    assert size <= count, size


@behave.then('callers see job "{job_id}" as {state}')
def then_shown(context, job_id, state):
    shown = context.simulation.cell.state_of(job_id)
    assert shown.value == state, shown


@behave.then('no task of job "{job_id}" has started')
def then_none_started(context, job_id):
    started = [
        task
        for task in context.simulation.start_ms_by_task
        if task.job_id == job_id
    ]
    assert not started, started


# Checkpoints and the compact form


@behave.given(
    "a record of {stages:d} steps with {tasks:d} checkpoints of {chars:d} "
    "characters each"
)
def given_checkpoints(context, stages, tasks, chars):
    saved = {index: "c" * chars for index in range(tasks)}
    context.record = cells.JobRecord(
        cells.JobState.RUNNING,
        tuple(
            cells.StageRecord(0, step, saved=saved) for step in range(stages)
        ),
    )


@behave.when("its checkpoints are limited to {count:d} bytes")
def when_limited(context, count):
    context.record = _compact_records.limit_saved(context.record, count)


@behave.then("the checkpoints of {count:d} steps are left")
def then_steps_left(context, count):
    sizes = [len(stage.saved) for stage in context.record.stages]
    assert sum(map(bool, sizes)) == count, sizes


def _numbers(text):
    return tuple(map(int, filter(None, text.split(","))))


@behave.given(
    "a record in which the tasks {done} of {count:d} are done and {placed} run"
)
@behave.given(
    "a record in which the tasks {done} of {count:d} are done and  run"
)
@behave.given(
    "a record in which the tasks  of {count:d} are done and {placed} run"
)
def given_plain(context, count, done="", placed=""):
    rows = tuple((index, 3, f"e{index % 2}") for index in _numbers(placed))
    stage = cells.StageRecord(0, 0, False, _numbers(done), placed=rows)
    ended = tuple(
        cells.StageRecord(occurrence, 0, all_done=True)
        for occurrence in (1, 2, 4)
    )
    context.record = cells.JobRecord(cells.JobState.RUNNING, (stage, *ended))
    job = cells_work.make_job("j", cells_work.make_step(count))
    context.job = attrs.evolve(job, schedule=cells.Schedule(0, 1, 5))


@behave.when("it is made compact and restored")
def when_restored(context):
    compact = cells.encode(_compact_records.compact(context.record))
    context.restored = _compact_records.expand(
        cells.decode(compact, cells.JobRecord), context.job
    )


@behave.then("it names the same tasks")
def then_same(context):
    before, after = context.record.stages, context.restored.stages
    assert before[0].done == after[0].done, after[0]
    assert sorted(before[0].placed) == sorted(after[0].placed), after[0]
    assert before[1:] == after[1:], after


# The writer


@behave.given('a store that rejects the record of job "{job_id}" as {reason}')
def given_rejecting_store(context, job_id, reason):
    context.store = cells_store.RejectingStore(
        _keys.record(cells_store.CELL, job_id),
        is_too_large=reason == "too large",
    )


@behave.when("the owner stores the records of the jobs {job_ids}")
def when_stored(context, job_ids):
    _store(context, job_ids, [])


@behave.when(
    "the owner stores the list of silent endpoints and the records of "
    "{job_ids}"
)
def when_stored_with_list(context, job_ids):
    _store(context, job_ids, [b"list"])


def _store(context, job_ids, silent_records):
    batches = [
        [
            cells.StoredRow(job_id, 1, job_id.encode())
            for job_id in job_ids.split(",")
        ]
    ]
    context.reports = {"stored": [], "refused": [], "delayed": []}
    finished = gevent.event.Event()

    def report(kind, job_id):
        context.reports[kind].append(job_id)
        count = sum(map(len, context.reports.values()))
        if count == len(job_ids.split(",")):
            finished.set()

    def report_stored(rows):
        for job_id, _version in rows:
            report("stored", job_id)

    writer = cells_store.make_writer(
        context.store,
        pop_records=lambda *_limits: batches.pop() if batches else [],
        pop_silent_record=lambda: (
            silent_records.pop() if silent_records else None
        ),
        on_stored=report_stored,
        on_refused=lambda job_id: report("refused", job_id),
        on_delayed=lambda job_id: report("delayed", job_id),
    )
    with writer:
        assert finished.wait(cells_store.SETTLE_S), context.reports


@behave.then("the records of the jobs {job_ids} are stored and reported")
@behave.then("the records of the jobs  are stored and reported")
def then_stored(context, job_ids=""):
    expected = list(filter(None, job_ids.split(",")))
    prefix = _keys.records_prefix(cells_store.CELL)
    stored = [
        key.removeprefix(prefix)
        for key in context.store.item_by_key
        if key.startswith(prefix)
    ]
    assert sorted(stored) == expected, stored
    assert context.reports["stored"] == expected, context.reports


@behave.then("the list was stored first")
def then_list_first(context):
    item_by_key = context.store.item_by_key
    listed = item_by_key[_keys.silent_endpoints(cells_store.CELL)]
    prefix = _keys.records_prefix(cells_store.CELL)
    assert all(
        listed.revision < item.revision
        for key, item in item_by_key.items()
        if key.startswith(prefix)
    ), item_by_key


@behave.then('the writer gives job "{job_id}" back as {kind}')
def then_reported(context, job_id, kind):
    assert context.reports[kind] == [job_id], context.reports


# The check of what callers submit


@behave.given("a VM whose store takes values of up to {count:d} bytes")
def given_vm(context, count):
    context.store = cells_store.ScriptedStore(["done"])
    clock = cells_store.SteppingClock()
    context.job_service = cells_store.make_job_service(
        cells_store.make_relay(context.store, clock.now_ms),
        clock.now_ms,
        record_limits=cells.RecordLimits(count),
    )


@behave.when("a caller submits a job with {count:d} tasks")
def when_tasks(context, count):
    _submit(context, cells_work.make_step(count))


@behave.when("a caller submits a job with a gang of {count:d} tasks")
def when_gang(context, count):
    _submit(context, cells_work.make_step(count, gang=True))


@behave.when("a caller submits a job with {count:d} steps")
def when_steps(context, count):
    _submit(context, *[cells_work.make_step()] * count)


@behave.when(
    "a caller submits a job with {count:d} long-running tasks that recur "
    "{times:d} times"
)
def when_long_running(context, count, times):
    step = cells_work.make_step(count, long_running=True)
    _submit(context, step, times=times)


def _submit(context, *steps, times=1):
    job = cells_work.make_job("j", *steps)
    job = attrs.evolve(job, schedule=cells.Schedule(0, 1, times))
    context.result = cells_store.result_of(
        lambda: context.job_service.submit(job, TIMEOUT_MS)
    )


@behave.then("the store was called {count:d} times")
def then_calls(context, count):
    assert context.store.calls == count, context.store.calls


@behave.when("the records of the cell can't be encoded")
def when_not_encoded(context):
    lost = gevent.event.Event()

    def pop_records(_max_items, _max_bytes):
        raise TypeError("Integer exceeds 64-bit range")

    writer = cells_store.make_writer(
        context.store,
        pop_records=pop_records,
        on_lost=lambda _reason: lost.set(),
    )
    with writer:
        context.given_up = lost.wait(1)


@behave.then("the owner gives the cell up")
def then_given_up(context):
    assert context.given_up
