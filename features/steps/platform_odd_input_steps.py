"""Steps for odd entries, answers and bodies on the platform."""

import io
import json
from unittest import mock

import behave
import orjson

from features.support import cells as cells_support
from features.support import cells_store
from features.support import cells_work
from features.support import platform_vm
from samphiregate.adapters import cells as ports
from samphiregate.adapters.cells import _loader
from samphiregate.adapters import http
from samphiregate.core import cells
from samphiregate import errors
from samphiregate_platform import documents
from samphiregate_platform import endpoints

PATH = "/q/5c0e7a21d94b36f8"
KEY = "servers/i-1"
MANY_DIGITS = "9" * 5_000
NESTED = "[" * 200_000
ENTRY_BY_TEXT = {
    "a host label of 63 characters": {"addr": "h" * 63 + ".example:80"},
    "a host label of 64 characters": {"addr": "h" * 64 + ".example:80"},
    "a host of 300 characters": {"addr": "h." * 150 + "h:80"},
    "a port of 5000 digits": {"addr": "10.1.0.5:" + MANY_DIGITS},
    "a zone of 500000 characters": {"zone": "z" * 500_000},
}
KEY_BY_TEXT = {
    "a key with a line break": "servers/i-1\r\nX-Key: k",
    "a key without an id": "servers/",
}


@behave.when("a runner's entry has {change}")
def when_entry(context, change):
    row = json.dumps(platform_vm.REGISTRATION)
    if change in ENTRY_BY_TEXT:
        row = json.dumps(platform_vm.REGISTRATION | ENTRY_BY_TEXT[change])
    elif change.startswith('"'):
        # A later field of the same name counts.
        row = row[:-1] + f", {change}" + "}"
    elif change.startswith("200000 lists"):
        row = NESTED
    key = KEY_BY_TEXT.get(change, KEY)
    try:
        documents.endpoint(key, row.encode())
    except errors.BadInputError:
        context.outcome = "refused"
    else:
        context.outcome = "taken"


@behave.then("the entry is {outcome}")
def then_entry(context, outcome):
    assert context.outcome == outcome, context.outcome


# Callers


def _post(context, body, **headers):
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": PATH,
        "HTTP_HOST": "h:80",
        "HTTP_X_KEY": "secret",
        "wsgi.input": io.BytesIO(body),
        "CONTENT_LENGTH": str(len(body)),
        **headers,
    }

    def start_response(status, headers):
        context.status = status
        context.headers = dict(headers)

    context.body = b"".join(context.api(environ, start_response))


@behave.when("a caller submits a step with {field}")
def when_step(context, field):
    body = f'{{"spec":"x","steps":[{{"count":1,{field}}}]}}'
    _post(context, body.encode())


@behave.when("a caller submits a recurring job with {field}")
def when_recurring(context, field):
    body = f'{{"steps":[{{"count":1}}],"repeat_count":2,{field}}}'
    _post(context, body.encode())


@behave.when("a caller submits a job with the header {name} of {value}")
def when_header(context, name, value):
    if value == "5000 digits":
        value = MANY_DIGITS
    field = name.upper().replace("-", "_")
    if field != "CONTENT_LENGTH":
        field = f"HTTP_{field}"
    _post(context, b'{"steps":[{"count":1}]}', **{field: value})


class _CutBody:
    """A body whose connection ends while it is read."""

    def read(self, _size=None):
        """Raises what the server's input raises then."""
        raise OSError("unexpected end of file while reading request")


@behave.when("a caller's body is cut short")
def when_cut(context):
    _post(context, b"", **{"CONTENT_LENGTH": "100", "wsgi.input": _CutBody()})


@behave.when("a caller submits {steps:d} steps of {tasks:d} tasks")
def when_steps(context, steps, tasks):
    row = {"count": tasks}
    make_step = documents._step
    with mock.patch.object(
        documents, "_step", autospec=True, side_effect=make_step
    ) as made:
        _post(context, orjson.dumps({"steps": [row] * steps}))
    context.made = made.call_count


@behave.then("{count:d} steps were made")
def then_made(context, count):
    assert context.made == count, context.made


@behave.when("a caller sends a request with {field} of {size:d} characters")
def when_long(context, field, size):
    fields = {"PATH_INFO": "/none/", field: "/" + "a" * size}
    _post(context, b"{}", **fields)


@behave.when("{count:d} letters stand for the target of a step")
def when_long_text(context, count):
    row = {"count": 1, "target_ms": "a" * count}
    _post(context, orjson.dumps({"steps": [row]}))


@behave.then("the answer has at most {size:d} bytes")
def then_short_answer(context, size):
    assert len(context.body) <= size, len(context.body)


@behave.then("each line of the log has at most {size:d} bytes")
def then_short(context, size):
    lines = context.api._log.lines
    sizes = [len(orjson.dumps(fields)) for _what, fields in lines]
    assert sizes and max(sizes) <= size, sizes


@behave.then("the answer has the code {code}")
def then_code(context, code):
    document = orjson.loads(context.body) if context.body else {}
    assert document.get("code", "none") == code, document


class _FailingService:
    """A service of jobs with a fault."""

    def state(self, job_id, timeout_ms):
        """Raises an exception that is not one of the package."""
        raise AssertionError(f"a fault for {job_id} within {timeout_ms}")


@behave.given("an entry VM whose service of jobs fails")
def given_failing_vm(context):
    vm = platform_vm.make_vm()
    vm.job_service = _FailingService()
    context.api = platform_vm.make_api(vm)


@behave.then('the log has no line "{event}"')
def then_not_logged(context, event):
    events = [what for what, _fields in context.api._log.lines]
    assert event not in events, events


@behave.then('the log has a line "{event}"')
def then_logged(context, event):
    events = [what for what, _fields in context.api._log.lines]
    assert event in events, events


# Runners


@behave.given(
    'an owner whose runner "{endpoint_id}" may run the task of job "j"'
)
def given_owner(context, endpoint_id):
    simulation = cells_support.CellSimulation()
    simulation.add_endpoint(endpoint_id)
    simulation.take_over()
    simulation.submit(cells_work.make_job("j", cells_work.make_step()))
    context.simulation = simulation


@behave.when("the runner answers a poll with the {kind} row {row}")
def when_polled(context, kind, row):
    lists = {"running": "", "ended": ""} | {kind: row}
    body = ",".join(f'"{name}":[{rows}]' for name, rows in lists.items())
    answer = http.Answer(200, {}, f'{{"clock_ms":5,{body}}}'.encode())
    context.event = endpoints._poll_event("e0", 0, answer)


@behave.then("the answer is {outcome} as an answer to a poll")
def then_poll(context, outcome):
    event_class = {"taken": cells.EndpointPolled, "refused": cells.PollFailed}
    assert isinstance(context.event, event_class[outcome]), context.event


@behave.then("the records of the cell can be encoded")
def then_encoded(context):
    cell = context.simulation.cell
    cell.handle(context.event, context.simulation.now_ms)
    cell.cell_state.store_moved()
    cell.pop_records(10, 10**6)


# Entries that are replaced


@behave.given('an owner that reads the entry of runner "i-1" from the store')
def given_reading_owner(context):
    simulation = cells_support.CellSimulation()
    simulation.take_over()
    context.simulation = simulation
    context.loader = _loader.CellLoader(
        cell_name=cells_store.CELL,
        store=None,
        decoders=documents,
        deliver=simulation.deliver,
        now_ms=lambda: simulation.now_ms,
        log=cells_store.FakeLog(),
    )
    _write_entry(context, json.dumps(platform_vm.REGISTRATION).encode())
    # A run keeps the owner from forgetting the runner.
    simulation.cell.cell_state.add_job(
        cells.JobStored(cells_work.make_job("j", cells_work.make_step())), 0
    )
    _reserve(simulation)


def _reserve(simulation):
    cell_state = simulation.cell.cell_state
    (stage,) = cell_state.entry_by_id["j"].stages_by_key.values()
    endpoint = cell_state.endpoint_by_id["i-1"]
    cell_state.reserve(stage.tasks[0], 1, endpoint, 0)


def _write_entry(context, value):
    item = ports.StoreItem(KEY, value, 1, 1)
    context.loader._endpoint_changed(ports.StoreChange(KEY, 1, item))


@behave.when('another writer writes the entry of runner "i-1" unreadably')
def when_replaced(context):
    _write_entry(context, b"{no")


@behave.when('the entry of runner "i-1" is written as before')
def when_written(context):
    _write_entry(context, json.dumps(platform_vm.REGISTRATION).encode())


@behave.then(
    'the owner starts nothing on runner "i-1", but lets its runs go on'
)
def then_not_started(context):
    endpoint = context.simulation.cell.cell_state.endpoint_by_id["i-1"]
    assert not endpoint.registered and not endpoint.may_start, endpoint
    assert len(endpoint.bookings_by_run) == 1, endpoint.bookings_by_run


@behave.then('the owner knows runner "i-1" again')
def then_known(context):
    endpoint = context.simulation.cell.cell_state.endpoint_by_id["i-1"]
    assert endpoint.registered, endpoint
