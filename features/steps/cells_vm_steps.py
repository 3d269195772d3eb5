"""Steps about an entry VM on a platform with a store."""

import math
import os
import random

import behave
import gevent
import gevent.event
import gevent.server

from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _configuration
from samphiregate.adapters.cells import _job_service
from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _lease
from samphiregate.adapters.cells import _metered
from samphiregate.adapters.cells import _ownership
from samphiregate.adapters.cells import _peer_calls
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _precedence
from samphiregate.adapters.cells import _relay
from samphiregate.adapters.cells import _vm
from samphiregate.adapters.cells import _writer
from samphiregate.adapters import http
from samphiregate.core import cells
from samphiregate import errors
from samphiregate import logs
from samphiregate import metrics

CELL = "all"
SETTLE_S = 10  # upper bound of a wait for a greenlet, not an expected time


def _make_relay(store, clock, peers=None, others=()):
    return _relay.StoreRelay(
        store=store,
        peers=peers,
        other_addresses=lambda: others,
        now_ms=clock.now_ms,
        log=cells_store.FakeLog(),
    )


def _make_job_service(context, store, peers=None, others=()):
    context.clock = cells_store.SteppingClock(step_ms=15)
    relay = _make_relay(store, context.clock, peers, others)
    context.relay = relay
    context.job_service = _job_service.JobService(
        cell=CELL,
        relay=relay,
        peers=peers,
        local_cell=lambda: None,
        owner_address=lambda: None,
        now_ms=context.clock.now_ms,
        log=cells_store.FakeLog(),
    )


@behave.given("a store that answers writes with {answers}")
def given_scripted(context, answers):
    context.store = cells_store.ScriptedStore(answers.split(", "))
    _make_job_service(context, context.store)


@behave.given("the owner's VM, whose store answers writes with {answers}")
def given_owner_vm(context, answers):
    _add_vm(context, answers)


@behave.given("one more VM, whose store answers writes with {answers}")
def given_other_vm(context, answers):
    _add_vm(context, answers)


def _add_vm(context, answers):
    store = cells_store.ScriptedStore(answers.split(", "))
    relay = _make_relay(store, cells_store.SteppingClock())
    vm_peers = _peer_calls.PeerCalls(answer=relay.answer_write)
    server = http.NoDelayServer("127.0.0.1:0", vm_peers.application)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.vm_addresses = [
        *getattr(context, "vm_addresses", ()),
        f"127.0.0.1:{server.server_port}",
    ]
    peers = _peer_calls.PeerCalls(answer=None)
    context.add_cleanup(peers.__exit__)
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
        write = _ports.StoreWrite(_keys.job(CELL, job_id), cells.encode(job))
        context.store.commit(expected={}, writes=[write])
    _make_job_service(context, context.store)


@behave.given('the store holds {stored} of job "{job_id}"')
def given_stored(context, stored, job_id):
    words = stored.split()
    if words[-1] == "record":
        record = cells.JobRecord(cells.JobState(words[1]))
        write = _ports.StoreWrite(
            _keys.record(CELL, job_id), cells.encode(record)
        )
        context.store.commit(expected={}, writes=[write])
    elif words[-1] == "cancellation":
        write = _ports.StoreWrite(_keys.cancel(CELL, job_id), b"1")
        context.store.commit(expected={}, writes=[write])


def _result_of(call):
    try:
        call()
    except errors.SamphiregateError as error:
        if error.code is errors.ErrorCode.UNAVAILABLE:
            return f"unavailable, ran {error.ran.value}"
        return error.code.value
    return "accepted"


@behave.when("a caller submits a job with a time-out of {timeout_ms:d} ms")
def when_submitted(context, timeout_ms):
    job = cells_work.make_job("j", cells_work.make_step(2))
    context.result = _result_of(
        lambda: context.job_service.submit(job, timeout_ms)
    )


@behave.when("{count:d} callers submit jobs one after the other")
def when_submitted_in_series(context, count):
    context.all_results = []
    for number in range(count):
        job = cells_work.make_job(f"j{number}", cells_work.make_step(2))
        result = _result_of(
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
        context.result = _result_of(
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


def _make_ownership(context, serve, yield_ms=lambda: 0):
    store = context.store
    context.lease = cells_store.FakeLease()
    context.ownership_now_ms = 0
    context.ownership_log = cells_store.FakeLog()
    return _ownership.Ownership(
        cell=CELL,
        vm_id="vm",
        address="a:1",
        store=store,
        lease=context.lease,
        owner_item=lambda: store.get(_keys.owner(CELL)),
        may_own=lambda: not getattr(context, "has_acquired", False),
        serve=serve,
        yield_ms=yield_ms,
        random_state=random.Random(1),
        now_ms=lambda: context.ownership_now_ms,
        log=context.ownership_log,
    )


@behave.given("a VM that acquires the cell only once")
def given_owner_once(context):
    context.serving = gevent.event.Event()

    def serve(tenure, session_end):
        del tenure
        context.has_acquired = True
        context.serving.set()
        session_end.wait()

    context.ownership = _make_ownership(context, serve)


@behave.given("a VM of {own:g} cores, and others of {others} cores")
def given_capacities(context, own, others):
    values = [] if others == "no" else others.split(", ")
    records = [
        cells.encode(
            _lease.VmRecord("vm", "a:1")
            if value == "unknown"
            else _lease.VmRecord("vm", "a:1", float(value))
        )
        for value in values
    ]
    context.yield_ms = _precedence.yield_ms(
        capacity=own,
        other_capacities=[
            cells.decode(record, _lease.VmRecord).capacity
            for record in records
        ],
    )


@behave.then("it yields for {yield_ms:g} ms")
def then_yields(context, yield_ms):
    assert math.isclose(context.yield_ms, yield_ms), context.yield_ms


@behave.when("another VM acquires the cell while this one yields")
def when_other_acquires(context):
    record = _ownership.OwnerRecord("other", "b:1", 7)
    write = _ports.StoreWrite(_keys.owner(CELL), cells.encode(record))

    def yield_ms():
        context.store.commit(expected={}, writes=[write])
        return 0

    ownership = _make_ownership(context, serve=None, yield_ms=yield_ms)
    context.tenure = ownership._acquire()


@behave.then("this VM leaves it to the other")
def then_left_to_other(context):
    assert context.tenure is None, context.tenure
    item = context.store.get(_keys.owner(CELL))
    assert _ownership.decode_owner(item.value).vm_id == "other", item


@behave.when(
    "another VM gives up the cell and this one acquires it {later_ms:d} ms "
    "later"
)
def when_acquires_later(context, later_ms):
    serving = gevent.event.Event()

    def serve(_tenure, session_end):
        serving.set()
        session_end.wait()

    ownership = _make_ownership(context, serve)
    ownership.owner_changed()
    context.ownership_now_ms += later_ms
    with ownership:
        assert serving.wait(SETTLE_S)


@behave.then("the log tells {span_ms:d} ms without an owner")
def then_without_owner(context, span_ms):
    fields = next(
        fields
        for event, fields in context.ownership_log.lines
        if event == "cell taken"
    )
    assert fields["waited_ms"] == span_ms, fields


@behave.when("the record {record} of a VM is read")
def when_record_read(context, record):
    context.vm_record = cells.decode(record.encode(), _lease.VmRecord)


@behave.then("its capacity is {cores:g} cores")
def then_record_capacity(context, cores):
    assert context.vm_record.capacity == cores, context.vm_record


@behave.when("its session ends while the lease is valid")
def when_session_ends(context):
    with context.ownership:
        assert context.serving.wait(SETTLE_S)
        assert context.store.get(_keys.owner(CELL)) is not None
        context.ownership.session_end.set()
        with gevent.Timeout(SETTLE_S):
            while context.store.get(_keys.owner(CELL)) is not None:
                gevent.sleep(0.01)


@behave.then("the cell has no owner")
def then_no_owner(context):
    assert context.store.get(_keys.owner(CELL)) is None


@behave.given("a VM that acquires the cell")
def given_acquirer(context):
    context.epochs = []
    serving = gevent.event.Event()

    def serve(tenure, session_end):
        context.epochs.append(tenure.epoch)
        serving.set()
        session_end.wait()

    with _make_ownership(context, serve):
        assert serving.wait(SETTLE_S)


@behave.when("a VM acquires the cell and is stopped before the store's answer")
def when_stopped_early(context):
    context.epochs = []
    stopping = []

    def serve(tenure, session_end):
        context.epochs.append(tenure.epoch)
        session_end.wait()

    def commit(**arguments):
        revision = store_commit(**arguments)
        if not stopping:
            stopping.append(gevent.spawn(ownership.__exit__))
            gevent.sleep(0)
        return revision

    store_commit = context.store.commit
    context.store.commit = commit
    ownership = _make_ownership(context, serve)
    ownership.__enter__()
    with gevent.Timeout(SETTLE_S):
        while not stopping or not stopping[0].ready():
            gevent.sleep(0.01)


@behave.then("it served no epoch")
def then_no_epoch(context):
    assert not context.epochs, context.epochs


@behave.then("the VM serves the cell with epoch {epoch:d}")
def then_serves(context, epoch):
    assert context.epochs == [epoch], context.epochs


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


@behave.given("a log into a pipe that nobody reads")
def given_log(context):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    context.unix_s = 1000.0
    context.log = logs.DecisionLog(
        vm_id="vm", descriptor=writer, unix_s=lambda: context.unix_s
    )


@behave.when("{count:d} lines of {kinds:d} kinds are written")
def when_lines(context, count, kinds):
    context.written = 0
    context.log.__enter__()
    for number in range(count):
        context.unix_s += 0.001
        context.log.write(f"kind {number % kinds}", text="x" * 200)
        context.written += 1
        if number % 1000 == 0:
            gevent.sleep(0)
    context.log._greenlet.kill()


@behave.then("the writer was not blocked")
def then_not_blocked(context):
    assert context.written == 20_000


@behave.then("the log counts the lines that it dropped")
def then_dropped_lines(context):
    assert sum(context.log.dropped_by_kind.values()) > 0


@behave.given("an HTTP server and a client of 1 connection to it")
def given_http(context):
    context.release = gevent.event.Event()

    context.requests = 0

    def application(environ, start_response):
        context.requests += 1
        if environ["PATH_INFO"] == "/hangs":
            context.release.wait()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http.NoDelayServer("127.0.0.1:0", application)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    address = f"127.0.0.1:{server.server_port}"
    context.server_address = address
    context.client = http.Client(
        address,
        connections=1,
        timeout_ms=500,
    )
    context.add_cleanup(context.client.close)


@behave.when("a request fails while another waits for the connection")
def when_one_fails(context):
    def send(path):
        try:
            return context.client.request("POST", path).status
        except errors.UnavailableError as error:
            return error.ran

    hanging = gevent.spawn(send, "/hangs")
    gevent.sleep(0)
    context.waiting = gevent.spawn(send, "/answers")
    assert hanging.get(timeout=SETTLE_S) is errors.Ran.UNKNOWN
    context.release.set()


@behave.then("the other request is answered")
def then_answered(context):
    assert context.waiting.get(timeout=SETTLE_S) == 200


@behave.given("a server that ends each connection after the request")
def given_ending_server(context):
    context.requests = 0

    def end(sock, _address):
        if sock.recv(4096):
            context.requests += 1
        sock.close()

    listener = gevent.server.StreamServer(("127.0.0.1", 0), end)
    listener.start()
    context.add_cleanup(listener.stop, timeout=0)
    context.server_address = f"127.0.0.1:{listener.server_port}"


@behave.when(
    "a client of {connections:d} connections sends a {method} request"
)
def when_sent_to_ending(context, connections, method):
    with http.Client(
        context.server_address, connections=connections
    ) as client:
        try:
            context.failure = client.request(method, "/")
        except errors.UnavailableError as error:
            context.failure = error


@behave.then("it failed, and the server received {count:d} requests")
def then_resent(context, count):
    assert context.failure.ran is errors.Ran.UNKNOWN, context.failure
    assert context.requests == count, context.requests


class _DescribedVm:
    """A VM with a fixed state."""

    def describe(self):
        """See `EntryVm.describe`."""
        gaps = {
            "without_run": 2,
            "oldest_ms": 14_800,
            "unconfirmed": 1,
            "restarted": 3,
            "restart_ms": 9_500,
        }
        return _vm.VmState(
            1_500, True, 3, {"room": 7}, {"svc": 2}, 9, 100, gaps
        )


@behave.given("metrics of a VM whose store answers writes with {answers}")
def given_metrics(context, answers):
    context.metrics = metrics.VmMetrics()
    context.metrics.watch_vm(_DescribedVm())
    context.metered = _metered.MeteredStore(
        store=cells_store.ScriptedStore(answers.split(", ")),
        record_call=context.metrics.note_store_call,
    )


@behave.when(
    "two writes are tried and a caller's {method} is answered with {status}"
)
def when_measured(context, method, status):
    for _time in range(2):
        _result_of(lambda: context.metered.commit(expected={}, writes=[]))
    with context.metrics.time_request(method) as outcome:
        outcome.status = status


@behave.when("a caller is answered with {status} after SIGTERM")
def when_stopping(context, status):
    context.metrics.note_stopping_request(status)


@behave.then("the metrics show")
def then_metrics(context):
    text = context.metrics.text().decode()
    for row in context.table:
        assert row["line"] in text.splitlines(), (row["line"], text)


@behave.given("an HTTP server and at most {most:d} clients")
def given_few_clients(context, most):
    def application(_environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = http.NoDelayServer("127.0.0.1:0", application)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    context.server_address = f"127.0.0.1:{server.server_port}"
    context.clients = http.Clients(
        connections=2, connect_timeout_ms=SETTLE_S * 1_000, most_clients=most
    )
    context.add_cleanup(context.clients.__exit__)


@behave.when(
    "clients are used for {count:d} time-outs in turn, while the first is kept"
)
def when_clients_used(context, count):
    held = []
    for number in range(count):
        timeout_ms = SETTLE_S * 1_000 + number
        client = context.clients.get(context.server_address, timeout_ms)
        assert client.request("POST", "/").status == 200
        held.append(client)
    context.client = held[0]


@behave.then("the first client has no idle connection, and still answers")
def then_dropped(context):
    assert context.client._client._connection_pool._socket_queue.empty()
    assert context.client.request("POST", "/").status == 200


@behave.then("at most {most:d} clients are held")
def then_few_clients(context, most):
    assert len(context.clients._client_by_key) <= most


@behave.given("a store that carries out {delayed:d} writes late, {when}")
def given_late_store(context, delayed, when):
    context.store = cells_store.DelayedStore(delayed)
    context.late_before_second = when.startswith("before")


def _make_writer(store, **callables):
    arguments = {
        "pop_records": lambda _max_count: [],
        "pop_silent_record": lambda: None,
        "on_stored": lambda _rows: None,
        "on_silent_record_stored": lambda: None,
        "on_lost": lambda _reason: None,
    }
    return _writer.RecordWriter(
        store=store,
        tenure=_ownership.Tenure(CELL, 1, {}, 1),
        log=cells_store.FakeLog(),
        **(arguments | callables),
    )


@behave.when('the owner stores that endpoint "{endpoint_id}" is silent')
def when_silent_record_stored(context, endpoint_id):
    record = cells.encode(cells.SilentRecord({endpoint_id: 1}))
    records = [record]
    finished = gevent.event.Event()
    context.reports = 0

    def report():
        context.reports += 1
        finished.set()

    writer = _make_writer(
        context.store,
        pop_silent_record=lambda: records.pop() if records else None,
        on_silent_record_stored=report,
    )
    with writer:
        assert finished.wait(SETTLE_S)
    context.store.apply_delayed()


@behave.then('the store lists endpoint "{endpoint_id}" as silent')
def then_listed(context, endpoint_id):
    item = context.store.get(_keys.silent_endpoints(CELL))
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

    def pop_records(_max_items):
        if len(rows) == 1 and context.late_before_second:
            context.store.apply_delayed()
        if rows:
            return rows.pop(0)
        finished.set()
        return []

    writer = _make_writer(
        context.store,
        pop_records=pop_records,
        on_lost=lambda _reason: finished.set(),
    )
    with writer:
        assert finished.wait(SETTLE_S)
    context.store.apply_delayed()


@behave.then('the store holds the record "{text}" of the job')
def then_record(context, text):
    item = context.store.get(_keys.record(CELL, "j"))
    assert item.value == text.encode(), item


@behave.when("a request is sent while another one holds the connection")
def when_none_free(context):
    with http.Client(
        context.server_address,
        connections=1,
        timeout_ms=SETTLE_S * 1_000,
        wait_timeout_ms=100,
    ) as client:
        holding = gevent.spawn(client.request, "POST", "/hangs")
        while not context.requests:
            gevent.sleep(0.001)
        context.result = None
        try:
            client.request("POST", "/answers")
        except errors.UnavailableError as error:
            context.result = error.ran
        context.received = context.requests
        context.release.set()
        assert holding.get(timeout=SETTLE_S).status == 200


@behave.then("it fails as not sent, and the server received {count:d} request")
def then_not_sent(context, count):
    assert context.result is errors.Ran.NO, context.result
    assert context.received == count, context.received
