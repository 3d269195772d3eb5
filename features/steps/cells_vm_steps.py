"""Steps about an entry VM that serves callers from a store."""

import random
import types

import behave
import gevent.event

from features.support import cells_peers
from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _configuration
from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _lease
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _vm
from samphiregate.core import cells
from samphiregate import errors


def _make_job_service(
    context, store, peers=None, others=(), owner_address=None, step_ms=15
):
    context.clock = cells_store.SteppingClock(step_ms)
    now_ms = context.clock.now_ms
    context.relay = cells_store.make_relay(store, now_ms, peers, others)
    context.notices = cells_store.RecordedNotices()
    context.job_service = cells_store.make_job_service(
        context.relay,
        now_ms,
        peers=peers,
        owner_address=lambda: owner_address,
        notices=context.notices,
    )


@behave.given("a store that answers writes with {answers}")
def given_scripted(context, answers):
    context.store = cells_store.ScriptedStore(answers.split(", "))
    _make_job_service(context, context.store)


@behave.given("a store that answers reads {how}")
def given_scripted_reads(context, how):
    outcomes = {"with errors": "refused", "after 5 s": "slow"}
    context.store = cells_store.ScriptedStore([outcomes[how]])
    _make_job_service(context, context.store)


@behave.when(
    'a caller asks for the state of job "{job_id}" with a time-out of '
    "{timeout_ms:d} ms"
)
def when_state_in_time(context, job_id, timeout_ms):
    context.result = cells_store.result_of(
        lambda: context.job_service.state(job_id, timeout_ms)
    )


class _SilentPeers:
    """Other VMs, none of which answers."""

    def __init__(self):
        self.calls = 0

    def call(self, address, message, timeout_ms):
        """See `PeerCalls.call`."""
        del address, message, timeout_ms
        self.calls += 1
        raise errors.UnavailableError("no answer", ran=errors.Ran.UNKNOWN)


@behave.given("an owner of the cell that does not answer")
def given_silent_owner(context):
    context.peers = _SilentPeers()
    _make_job_service(
        context,
        context.store,
        context.peers,
        owner_address="127.0.0.1:1",
        step_ms=0,
    )


@behave.when(
    '{count:d} callers ask for the state of job "{job_id}" within '
    "{span_ms:d} ms"
)
def when_states_asked(context, count, job_id, span_ms):
    context.states = []
    for _number in range(count):
        context.states.append(context.job_service.state(job_id, 3_000))
        context.clock.time_ms += span_ms // count


@behave.when("{span_ms:d} ms have passed")
def when_time_has_passed(context, span_ms):
    context.clock.time_ms += span_ms


@behave.then("each gets the state {state}")
def then_states(context, state):
    expected = [cells.JobState(state)] * len(context.states)
    assert context.states == expected, context.states


@behave.then("at most {max_calls:d} calls were made to the owner")
def then_few_owner_calls(context, max_calls):
    assert context.peers.calls <= max_calls, context.peers.calls


@behave.given("the owner's VM, whose store answers writes with {answers}")
def given_owner_vm(context, answers):
    _add_vm(context, answers)


@behave.given("one more VM, whose store answers writes with {answers}")
def given_other_vm(context, answers):
    _add_vm(context, answers)


def _add_vm(context, answers):
    store = cells_store.ScriptedStore(answers.split(", "))
    relay = cells_store.make_relay(store, cells_store.SteppingClock().now_ms)
    context.vm_addresses = [
        *getattr(context, "vm_addresses", ()),
        cells_peers.serve(context, relay.answer_write),
    ]
    peers = cells_peers.make_calls(context)
    _make_job_service(context, context.store, peers, context.vm_addresses)


@behave.given("a lease that the store did not renew")
def given_not_renewed(context):
    context.relay.record_renewal(False)


@behave.then("at most {max_calls:d} calls were made to the store")
def then_few_calls(context, max_calls):
    assert context.store.calls <= max_calls, context.store.calls


@behave.given("a store in memory")
def given_memory(context):
    context.store = cells_store.MemoryStore()


@behave.given("a store in memory that carries out writes but does not answer")
def given_losing(context):
    context.store = cells_store.MemoryStore(loses_answers=True)


@behave.given('a store in memory that {holds} job "{job_id}"')
def given_memory_with(context, holds, job_id):
    context.store = cells_store.MemoryStore()
    if holds == "holds":
        job = cells_work.make_job(job_id, cells_work.make_step(2))
        write = _ports.StoreWrite(
            _keys.job(cells_store.CELL, job_id), cells.encode(job)
        )
        context.store.commit(expected={}, writes=[write])
    _make_job_service(context, context.store)


@behave.given('the store holds {stored} of job "{job_id}"')
def given_stored(context, stored, job_id):
    words = stored.split()
    if words[-1] == "record":
        record = cells.JobRecord(cells.JobState(words[1]))
        write = _ports.StoreWrite(
            _keys.record(cells_store.CELL, job_id), cells.encode(record)
        )
        context.store.commit(expected={}, writes=[write])
    elif words[-1] == "cancellation":
        write = _ports.StoreWrite(_keys.cancel(cells_store.CELL, job_id), b"1")
        context.store.commit(expected={}, writes=[write])


@behave.given(
    'the owner writes job "{job_id}" anew just before the next write'
)
def given_rewritten(context, job_id):
    commit = context.store.commit
    job_key = _keys.job(cells_store.CELL, job_id)
    job = context.store.get(job_key).value

    def rewrite_and_commit(**arguments):
        context.store.commit = commit
        commit(expected={}, writes=[_ports.StoreWrite(job_key, job)])
        return commit(**arguments)

    context.store.commit = rewrite_and_commit


@behave.when("a caller submits a job with a time-out of {timeout_ms:d} ms")
def when_submitted(context, timeout_ms):
    job = cells_work.make_job("j", cells_work.make_step(2))
    context.result = cells_store.result_of(
        lambda: context.job_service.submit(job, timeout_ms)
    )


@behave.when("{count:d} callers submit jobs one after the other")
def when_submitted_in_series(context, count):
    context.all_results = []
    for number in range(count):
        job = cells_work.make_job(f"j{number}", cells_work.make_step(2))
        result = cells_store.result_of(
            lambda job=job: context.job_service.submit(job, 1_000)
        )
        context.all_results.append(result)


@behave.then(
    "all get the result {result}, after at most {max_calls:d} calls to the "
    "store"
)
def then_all_results(context, result, max_calls):
    assert set(context.all_results) == {result}, context.all_results
    assert context.store.calls <= max_calls, context.store.calls


@behave.when("the store renews the lease")
def when_renewed(context):
    context.relay.record_renewal(True)


@behave.when("the store answers writes with {answers} again")
def when_store_answers(context, answers):
    context.store.set_outcomes(answers.split(", "))


@behave.when('a caller cancels job "{job_id}" {times:d} times')
def when_cancelled(context, job_id, times):
    for _time in range(times):
        context.result = cells_store.result_of(
            lambda: context.job_service.cancel(job_id, 1_000)
        )


@behave.when('a caller asks for the state of job "{job_id}"')
def when_asked(context, job_id):
    context.state = context.job_service.state(job_id, 1_000)


@behave.then("the caller gets the result {result}")
def then_result(context, result):
    assert context.result == result, context.result


@behave.then("the state is {state}")
def then_state(context, state):
    assert context.state.value == state, context.state


def _decode(value):
    if not value.isdigit():
        raise errors.BadInputError("unreadable")
    return _ports.SiteConfiguration(int(value), (), (), {})


def _apply_configuration(context, value):
    item = None
    if value != "removed":
        item = _ports.StoreItem("key", value, 1, 1)
    context.holder.apply_change(_ports.StoreChange("key", 1, item))


@behave.given("the configuration {version} is in force")
def given_configuration(context, version):
    context.holder = _configuration.ConfigurationHolder(
        decode=_decode,
        on_change=lambda: None,
        log=cells_store.FakeLog(),
    )
    _apply_configuration(context, version)


@behave.when("configuration {value} is received")
def when_configuration(context, value):
    _apply_configuration(context, value)


@behave.then("configuration {version:d} is in force")
def then_configuration(context, version):
    assert context.holder.current.version == version


@behave.given("a store that carries out {delayed:d} writes late, {when}")
def given_late_store(context, delayed, when):
    context.store = cells_store.DelayedStore(delayed)
    context.late_before_second = when.startswith("before")


@behave.when('the owner stores that endpoint "{endpoint_id}" is silent')
def when_silent_record_stored(context, endpoint_id):
    record = cells.encode(cells.SilentRecord({endpoint_id: 1}))
    records = [record]
    finished = gevent.event.Event()
    context.reports = 0

    def report():
        context.reports += 1
        finished.set()

    writer = cells_store.make_writer(
        context.store,
        pop_silent_record=lambda: records.pop() if records else None,
        on_silent_record_stored=report,
    )
    with writer:
        assert finished.wait(cells_store.SETTLE_S)
    context.store.apply_delayed()


@behave.then('the store lists endpoint "{endpoint_id}" as silent')
def then_listed(context, endpoint_id):
    item = context.store.get(_keys.silent_endpoints(cells_store.CELL))
    record = cells.decode(item.value, cells.SilentRecord)
    assert record.epoch_by_id == {endpoint_id: 1}, record


@behave.then("{count:d} write of the list was reported")
def then_reported(context, count):
    assert context.reports == count, context.reports


@behave.when(
    'the owner stores the records "{first}", then "{second}" of a job'
)
def when_records_stored(context, first, second):
    rows = [
        [cells.StoredRow("j", 1, first.encode())],
        [cells.StoredRow("j", 2, second.encode())],
    ]
    finished = gevent.event.Event()

    def pop_records(_max_items, _max_bytes):
        if len(rows) == 1 and context.late_before_second:
            context.store.apply_delayed()
        if rows:
            return rows.pop(0)
        finished.set()
        return []

    writer = cells_store.make_writer(
        context.store,
        pop_records=pop_records,
        on_lost=lambda _reason: finished.set(),
    )
    with writer:
        assert finished.wait(cells_store.SETTLE_S)
    context.store.apply_delayed()


@behave.then('the store holds the record "{text}" of the job')
def then_record(context, text):
    item = context.store.get(_keys.record(cells_store.CELL, "j"))
    assert item.value == text.encode(), item


def _change_vm(context, vm_id, *, removed=False):
    context.revision += 1
    key = _keys.vm(vm_id)
    item = None
    if not removed:
        record = _lease.VmRecord(vm_id, f"{vm_id}:1")
        item = _ports.StoreItem(
            key, cells.encode(record), context.revision, context.revision
        )
    change = _ports.StoreChange(key, context.revision, item)
    context.entry_vm._vm_records._watched._apply(change)


@behave.given("an entry VM that has read the records of the VMs a and b")
def given_entry_vm(context):
    decoders = types.SimpleNamespace(
        configuration_key="configuration",
        operations_prefix="",
        configuration=None,
        drained_data_centre=None,
    )
    ports = types.SimpleNamespace(store=None, decoders=decoders)
    context.revision = 0
    context.entry_vm = _vm.EntryVm(
        vm_id="self",
        peer_address="self:1",
        capacity=1.0,
        ports=ports,
        random_state=random.Random(1),
        log=cells_store.FakeLog(),
    )
    _change_vm(context, "a")
    _change_vm(context, "b")


@behave.when("the record of c is added and that of a is removed")
def when_vms_changed(context):
    _change_vm(context, "c")
    _change_vm(context, "a", removed=True)


@behave.then("it knows the addresses of {vm_ids}")
def then_addresses_known(context, vm_ids):
    expected = {vm_id: f"{vm_id}:1" for vm_id in vm_ids.split(", ")}
    assert context.entry_vm._vm_records.address_by_vm == expected


@behave.then("the records are not decoded again until one changes")
def then_not_decoded_again(context):
    records = context.entry_vm._vm_records.records
    assert context.entry_vm._vm_records.records[0] is records[0]
