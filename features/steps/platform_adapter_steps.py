"""Steps for the adapter to the users' platform."""

import functools
import io
import tempfile

import behave
import orjson

from features.support import platform_vm
from samphiregate.adapters import http
from samphiregate import errors
from samphiregate_platform import documents
from samphiregate_platform import endpoints
from samphiregate_platform import settings

SETTINGS = {
    "node_name": "front-a-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "listen.front": "127.0.0.1:1",
    "listen.ready": "127.0.0.1:2",
    "port_range": "7180,7195",
    "platform.addr": "127.0.0.1:3",
    "advice": "127.0.0.1:4",
    "bounds.grace_s": "6",
}
REGISTRATION_CHANGES = {
    "as the platform writes it": lambda row: row,
    'with state "draining"': lambda row: row | {"state": "draining"},
    'with state "asleep"': lambda row: row | {"state": "asleep"},
    "without capacity": lambda row: {
        name: value for name, value in row.items() if name != "capacity"
    },
    "with a number for its service": lambda row: row | {"service": 3},
    "with text for its capacity": lambda row: row | {"capacity": "big"},
    "that is a list": lambda row: [row],
}
JOB = b'{"spec":"x","steps":[{"count":1,"cpu":100}]}'


@behave.given(
    "the platform's settings file without {missing} and with {extra}"
)
def given_settings(context, missing, extra):
    fields = {
        name: value for name, value in SETTINGS.items() if name != missing
    }
    lines = [f"{name}={value}" for name, value in fields.items()]
    if extra != "nothing":
        lines += extra.split(" and ")
    context.settings_text = "\n".join(lines)


@behave.when("the settings are read")
def when_settings(context):
    try:
        context.settings = settings.parse(context.settings_text)
    except errors.SettingError as error:
        context.settings = error


@behave.when('the settings are loaded with a longest wait of ""')
def when_loaded_plainly(context):
    _load(context, {})


@behave.when('the settings are loaded with a longest wait of "{text}"')
def when_loaded(context, text):
    _load(context, {settings.MAX_PLACE_WAIT_VARIABLE: text})


def _load(context, variables):
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(context.settings_text)
        file.flush()
        environ = {settings.PATH_VARIABLE: file.name, **variables}
        try:
            context.settings = settings.load(environ)
        except errors.SettingError as error:
            context.settings = error


@behave.then("tasks take {far_x:g} times far away")
def then_far_x(context, far_x):
    assert context.settings.far_x == far_x, context.settings


@behave.then("leases last {max_hold_ms:d} ms at most")
def then_max_hold(context, max_hold_ms):
    assert context.settings.max_hold_ms == max_hold_ms, context.settings


@behave.then("values take {count:d} bytes at most")
def then_max_value(context, count):
    assert context.settings.max_value_bytes == count, context.settings


@behave.then("tasks wait {max_wait_ms:d} ms at most")
def then_max_wait(context, max_wait_ms):
    assert context.settings.max_place_wait_ms == max_wait_ms


@behave.then('the VM is "{vm_id}"')
def then_vm(context, vm_id):
    assert context.settings.vm_id == vm_id


@behave.then("the VM has {cores:g} cores")
def then_capacity(context, cores):
    assert context.settings.capacity == cores, context.settings


@behave.then('setting "{name}" is named')
def then_setting_named(context, name):
    assert context.settings.setting == name, context.settings


def _try_to_decode(context, call):
    try:
        call()
    except (errors.BadInputError, ValueError):
        context.outcome = "refused"
    else:
        context.outcome = "taken"


@behave.when("an endpoint's registration {entry} is decoded")
def when_registration(context, entry):
    data = b"{no"
    if entry in REGISTRATION_CHANGES:
        data = orjson.dumps(
            REGISTRATION_CHANGES[entry](dict(platform_vm.REGISTRATION))
        )
    _try_to_decode(context, lambda: documents.endpoint("servers/i-1", data))


@behave.when("a caller's body {body} is decoded")
def when_body(context, body):
    _try_to_decode(
        context, lambda: documents.job("id", None, "team", body.encode())
    )


@behave.when('the task name "{name}" is parsed')
def when_task_name(context, name):
    def parse_and_format():
        assert endpoints.task_name(endpoints.parse_task_name(name)) == name

    _try_to_decode(context, parse_and_format)


@behave.then("the input is {outcome}")
def then_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@behave.when("a runner answers a start with {status:d} and {body}")
def when_start_answered(context, status, body):
    answer = http.Answer(status, {}, body.encode())
    context.start_outcome = endpoints._start_outcome(answer)
    context.start_clock_ms = endpoints._clock_ms(answer)


@behave.then("the clock in the answer is {clock}")
def then_start_clock(context, clock):
    assert str(context.start_clock_ms) == clock, context.start_clock_ms


@behave.then("the outcome is {outcome}")
def then_start_outcome(context, outcome):
    assert context.start_outcome.value == outcome, context.start_outcome


@behave.given(
    'an entry VM with queue "/q/" that requires a key '
    'and queue "/open/" that does not'
)
def given_vm(context):
    context.api = platform_vm.make_api(platform_vm.make_vm())


@behave.given("an entry VM without a configuration")
def given_unconfigured_vm(context):
    context.api = platform_vm.make_api(platform_vm.Vm())


@behave.given("an entry VM that accepts no more requests")
def given_rejecting_vm(context):
    given_vm(context)
    context.api._vm.accepts_requests = False


@behave.when('a caller sends {method} "{path}" with key "{key}"')
def when_request_with_key(context, method, path, key):
    _send(context, method, path, key)


# `{key}` in a step's pattern does not match an empty text.
@behave.when('a caller sends {method} "{path}" with key ""')
def when_request_without_key(context, method, path):
    _send(context, method, path, "")


def _send(context, method, path, key):
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": "h:80",
        "HTTP_X_KEY": key,
        "wsgi.input": io.BytesIO(JOB),
        "CONTENT_LENGTH": str(len(JOB)),
    }

    def start_response(status, headers):
        context.status = status
        context.headers = dict(headers)

    context.body = b"".join(context.api(environ, start_response))


@behave.when("a caller sends a body of {size:d} bytes in chunks")
def when_chunked(context, size):
    context.source = io.BytesIO(JOB.ljust(size))
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/q/5c0e7a21d94b36f8",
        "HTTP_HOST": "h:80",
        "HTTP_X_KEY": "secret",
        "HTTP_TRANSFER_ENCODING": "chunked",
        "wsgi.input": context.source,
    }
    context.api(environ, functools.partial(_note_status, context))


def _note_status(context, status, _headers):
    context.status = status


@behave.then("at most {count:d} bytes of it were read")
def then_bytes_read(context, count):
    assert context.source.tell() <= count, context.source.tell()


@behave.then("the answer is {status:d}")
def then_answer(context, status):
    assert context.status.startswith(str(status)), context.status


@behave.then("it has a Retry-After header")
def then_retry_after(context):
    assert int(context.headers["Retry-After"]) > 0
