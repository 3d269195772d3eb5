"""Steps about the callers' HTTP API, on loopback."""

import contextlib
import pathlib
import shutil
import ssl
import tempfile

import behave
import gevent
import orjson

from features.support import edge as support
from features.support import requests as fakes
from features.support import wire
from samphiregate.adapters import http
from standins import runner

CERTIFICATES = pathlib.Path(support.__file__).with_name("certificates")
DRAIN_TIMEOUT_MS = 30_000
POLL_S = 0.002
MOST_POLLS = 10_000
ANSWER_TIMEOUT_S = 30
READ_BYTES = 4_096
NESTED = "[" * 1_500 + "]" * 1_500


def start(context, runner_count=1, slots=2, **edge_params):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.stack = stack
    site = support.Site(runner_count, slots, **edge_params)
    context.site = stack.enter_context(site)


def wait_until(condition):
    for _ in range(MOST_POLLS):
        if condition():
            return
        gevent.sleep(POLL_S)
    raise AssertionError("it did not come to pass")


def take_raw(context, received):
    context.status, context.body = wire.parse(received)


def take_answer(context, answer):
    context.status, context.body = answer.status, answer.body


@behave.given("edge: an entry VM with {runners:d} runners of {slots:d} slots")
def given_site(context, runners, slots):
    start(
        context,
        runners,
        slots,
        body_timeout_ms=1_000,
        most_body_bytes=wire.MOST_BODY_BYTES,
    )


@behave.given("edge: an entry VM that takes {count:d} connections")
def given_few_connections(context, count):
    start(context, most_connections=count)


@behave.given(
    "edge: an entry VM that reads {size:d} bytes of requests at a time"
)
def given_few_bytes(context, size):
    start(context, most_reading_bytes=size)


@behave.given("edge: an entry VM with TLS")
def given_tls(context):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    context.folder = pathlib.Path(folder)
    put_certificate(context, "first")
    start(
        context,
        certificate_file=str(context.folder / "certificate.pem"),
        key_file=str(context.folder / "key.pem"),
    )


def put_certificate(context, name):
    for source, target in ((name, "certificate"), (f"{name}-key", "key")):
        data = (CERTIFICATES / f"{source}.pem").read_bytes()
        (context.folder / f"{target}.pem").write_bytes(data)


@behave.given("edge: every runner hangs")
def given_hanging(context):
    for served in context.site.runners:
        served.faults = runner.Faults(hang=True)


@behave.when(
    "edge: {count:d} distinct requests are sent over {clients:d} connections"
)
def when_many_sent(context, count, clients):
    context.answers_by_body = context.site.send_many(count, clients)
    context.count = count


@behave.when(
    "edge: {count:d} requests with work times from 0 to {most:d} ms"
    " are sent at once"
)
def when_mixed_sent(context, count, most):
    bodies = [
        orjson.dumps({"number": number, "work_ms": number * 7 % (most + 1)})
        for number in range(count)
    ]
    context.answers_by_body = context.site.send_each(bodies)
    context.count = count


@behave.then("edge: each caller got the whole answer to its own body")
def then_own_answers(context):
    assert len(context.answers_by_body) == context.count
    for body, answer in context.answers_by_body.items():
        assert answer.status == 200, answer
        request_id = answer.headers["samphiregate-request-id"]
        assert answer.body == request_id.encode() + b"\n" + body, answer
        assert answer.headers["samphiregate-ran"] == "yes"


@behave.then("edge: no runner executed more than {most:d} at a time")
def then_slots_kept(context, most):
    used = [served.most_used for served in context.site.runners]
    assert 0 < max(used) <= most, used


@behave.then("edge: each request was executed once")
def then_executed_once(context):
    times = sum(
        (served.times_by_id for served in context.site.runners),
        start=type(context.site.runners[0].times_by_id)(),
    )
    assert len(times) == context.count, len(times)
    assert set(times.values()) == {1}


@behave.when("edge: on the wire comes {name}")
def when_raw_sent(context, name):
    data = wire.INPUTS_BY_NAME[name]
    ended = name not in wire.UNENDED_INPUTS
    take_raw(context, context.site.send_raw(data, half_close=ended))


@behave.then("edge: the answer has status {status:d} and code {code}")
def then_status(context, status, code):
    assert context.status == status, (context.status, context.body)
    if code == "none":
        return
    document = orjson.loads(context.body)
    assert document["code"] == code, document
    assert document["ran"] == "no", document
    assert document["status"] == status, document


@behave.then("edge: no request was executed")
def then_none_executed(context):
    executed = [served.times_by_id for served in context.site.runners]
    assert not any(executed), executed


@behave.then("edge: the entry VM still answers")
def then_still_answers(context):
    answer = context.site.call("POST", wire.PATH.decode(), b"body")
    assert answer.status == 200, answer


@behave.when("edge: a job is submitted as {document}")
def when_job_submitted(context, document):
    bodies = {"nothing": "", "1500 nested lists": NESTED}
    body = bodies.get(document, document).encode()
    take_answer(context, context.site.call("POST", "/v1/jobs", body))


@behave.then("edge: its detail names {name}")
def then_detail_names(context, name):
    if name != "nothing":
        detail = orjson.loads(context.body)["detail"]
        assert name in detail, detail


@behave.when("edge: a caller sends a request and keeps its connection")
def when_connection_kept(context):
    client = http.Client(context.site.server.endpoint, connections=1)
    context.client = context.stack.enter_context(client)
    send_again(context)
    assert context.status == 200


@behave.when("edge: its key is withdrawn")
def when_key_withdrawn(context):
    context.site.replica.withdrawn.add("huts")


@behave.when("edge: the caller sends again over the same connection")
def send_again(context):
    headers = {"Authorization": "Bearer huts"}
    path = wire.PATH.decode()
    answer = context.client.request("POST", path, headers=headers)
    take_answer(context, answer)


@behave.when("edge: a caller waits for a job while its key is withdrawn")
def when_job_waits(context):
    site = context.site
    path = f"/v1/jobs/{support.WAITING_JOB}?wait_ms=5000"
    waiting = gevent.spawn(site.call, "GET", path)
    wait_until(lambda: site.jobs.waiting_ids)
    site.replica.withdrawn.add("huts")
    site.end_waits()
    take_answer(context, waiting.get())


@behave.when("edge: {count:d} callers stay idle on open connections")
def when_idle(context, count):
    context.sockets = [context.site.connect() for _ in range(count)]
    wait_until(lambda: context.site.idle_connections() == count)


@behave.then("edge: only the longest idle connection was closed")
def then_longest_closed(context):
    wait_until(lambda: is_closed(context.sockets[0]))
    closed = [is_closed(sock) for sock in context.sockets]
    assert closed == [True, False, False, False, False], closed
    for sock in context.sockets:
        sock.close()


def is_closed(sock):
    """Returns whether the other end has closed a connection."""
    sock.setblocking(False)
    try:
        return not sock.recv(1)
    except BlockingIOError:
        return False


@behave.when(
    "edge: {count:d} callers each send {size:d} bytes of a body but the last"
)
def when_held(context, count, size):
    context.most_read = 0
    context.answers = {}
    context.sockets = [context.site.connect() for _ in range(count)]
    head = wire.request(b"Content-Length: %d\r\n" % size, length=False)
    for number, sock in enumerate(context.sockets, 1):
        sock.sendall(head + b"x" * (size - 1))
        wait_until(lambda: context.site.bytes_being_read() >= number * size)
    context.most_read = context.site.bytes_being_read()


@behave.then(
    "edge: the callers that sent first {count:d} are answered "
    "with status {statuses}"
)
def then_held_answered(context, count, statuses):
    for sock in context.sockets[:count]:
        if sock not in context.answers:
            context.answers[sock] = _read_status(sock)
    found = [context.answers[sock] for sock in context.sockets[:count]]
    assert found == list(map(int, statuses.split(", "))), found


def _read_status(sock):
    received = b""
    with gevent.Timeout(ANSWER_TIMEOUT_S, AssertionError("no answer")):
        while b"\r\n\r\n" not in received:
            block = sock.recv(READ_BYTES)
            assert block, received
            received += block
    return wire.parse(received)[0]


@behave.then("edge: at most {size:d} bytes were read at a time")
def then_bounded(context, size):
    assert 0 < context.most_read <= size, context.most_read
    assert context.site.bytes_being_read() <= size


@behave.when("edge: the other callers send the last byte")
def when_completed(context):
    for sock in context.sockets[1:]:
        sock.sendall(b"x")


@behave.then("edge: no byte is counted as being read")
def then_none_read(context):
    wait_until(lambda: context.site.bytes_being_read() == 0)


@behave.when("edge: a caller sends a body of {size:d} bytes")
def when_body_sent(context, size):
    path = wire.PATH.decode()
    take_answer(context, context.site.call("POST", path, b"x" * size))


@behave.when("edge: {count:d} callers send requests and go away")
def when_callers_vanish(context, count):
    site = context.site
    sockets = [site.connect() for _ in range(count)]
    for sock in sockets:
        sock.sendall(wire.request(body=b"body"))
    wait_until(lambda: site.owner.in_flight == count)
    for sock in sockets:
        sock.close()
    wait_until(lambda: site.edge_machine.in_flight == 0)


@behave.then("edge: nothing is queued")
def then_nothing_queued(context):
    pool = context.site.owner.pools_by_service_[fakes.SERVICE]
    assert not pool.queued, pool.queued


@behave.then("edge: one request was executed")
def then_one_executed(context):
    executed = [served.times_by_id for served in context.site.runners]
    assert sum(times.total() for times in executed) == 1, executed


@behave.when("edge: {count:d} requests are under way and the entry VM drains")
def when_drained(context, count):
    site = context.site
    for served in site.runners:
        served.faults = runner.Faults(pause=True)
    bodies = [b"body %d" % number for number in range(count)]
    sending = gevent.spawn(site.send_each, bodies)
    wait_until(lambda: site.server.in_flight == count)
    site.server.start_draining()
    context.ready = site.call("GET", "/ready")
    finishing = gevent.spawn(site.server.finish, DRAIN_TIMEOUT_MS)
    gevent.idle()
    for served in site.runners:
        served.faults = runner.Faults()
    context.finished = finishing.get()
    context.answers_by_body = sending.get()
    context.count = count


@behave.then("edge: the entry VM was not ready while draining")
def then_not_ready(context):
    assert context.ready.status == 503, context.ready


@behave.then("edge: no connection is left")
def then_no_connection(context):
    assert context.finished
    assert context.site.server.in_flight == 0


@behave.then("edge: callers see the {name} certificate")
def then_certificate(context, name):
    expected = ssl.PEM_cert_to_DER_cert(
        (CERTIFICATES / f"{name}.pem").read_text()
    )
    tls = ssl.create_default_context()
    tls.check_hostname = False
    tls.verify_mode = ssl.CERT_NONE
    with tls.wrap_socket(context.site.connect()) as sock:
        assert sock.getpeercert(binary_form=True) == expected
        sock.sendall(b"GET /live HTTP/1.1\r\nConnection: close\r\n\r\n")
        received = b""
        while block := sock.recv(4_096):
            received += block
    assert wire.parse(received)[0] == 200, received


@behave.when("edge: the files are replaced by the second certificate")
def when_replaced(context):
    put_certificate(context, "second")
    assert context.site.server.refresh_certificate()


@behave.when("edge: the files are replaced by rubbish")
def when_rubbish(context):
    (context.folder / "certificate.pem").write_bytes(b"rubbish")
    context.refreshed = context.site.server.refresh_certificate()


@behave.when("edge: the files are replaced by a key that does not match")
def when_mismatched(context):
    put_certificate(context, "first")
    key = (CERTIFICATES / "second-key.pem").read_bytes()
    (context.folder / "key.pem").write_bytes(key)
    context.refreshed = context.site.server.refresh_certificate()


@behave.then("edge: the fault of the files is told")
def then_fault_told(context):
    assert context.refreshed is False


@behave.then("edge: a caller without TLS is refused and harms nobody")
def then_plain_refused(context):
    with contextlib.suppress(ConnectionError):
        received = context.site.send_raw(b"GET /live HTTP/1.1\r\n\r\n")
        assert not received.startswith(b"HTTP"), received
    then_certificate(context, "second")


@behave.when("edge: teams huts and maps each send a request")
def when_two_teams(context):
    for team in ("huts", "maps"):
        path = wire.PATH.decode()
        assert context.site.call("POST", path, key=team).status == 200


def histogram_teams(answer):
    document = orjson.loads(answer.body)
    return {summary["team"] for summary in document["histograms"]}


@behave.then("edge: histograms with the key of huts show huts only")
def then_own_histograms(context):
    answer = context.site.call("GET", "/v1/histograms", key="huts")
    assert histogram_teams(answer) == {"huts"}


@behave.then("edge: histograms from an operator's network show huts and maps")
def then_all_histograms(context):
    answer = context.site.call("GET", "/v1/histograms", key="")
    assert histogram_teams(answer) == {"huts", "maps"}


@behave.then("edge: from elsewhere no status and no histograms are shown")
def then_hidden(context):
    start(context, operator_networks=("192.0.2.0/24",))
    for path, status in (("/v1/status", 403), ("/v1/histograms", 401)):
        answer = context.site.call("GET", path, key="")
        assert answer.status == status, answer
    assert context.site.call("GET", "/live", key="").status == 200
