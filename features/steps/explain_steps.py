"""Steps about stories of requests."""

import pathlib
import tempfile

import behave

from features.support import log_lines
from features.support import platform as platform_support
from samphiregate import logs

LEAST_CALLS = 40  # fewer were found only by a broken search
PREFIXED_LINE = (
    '  12.5 a {"vm":"a","time":1.0,"request":"r1","method":"POST",'
    '"reason":"away","ran":"no","event":"request refused"}\n'
)


@behave.given("the log lines of a played day")
def given_lines(context):
    parsed = [logs.parse_line(text) for text in context.text.splitlines()]
    context.lines = [line for line in parsed if line is not None]


@behave.given("a file of log lines with a prefix")
def given_file(context):
    directory = platform_support.enter(context, tempfile.TemporaryDirectory())
    context.directory = pathlib.Path(directory)
    (context.directory / "LINES").write_text(PREFIXED_LINE)
    context.variables = {}


@behave.when("request {request_id} is explained")
def when_explained(context, request_id):
    context.story = logs.tell(context.lines, request_id)


@behave.then('it is told as {verdict}, decided by "{event}" of VM {vm}')
def then_told_by(context, verdict, event, vm):
    check_decided(context.story, verdict, event, vm)


@behave.then('it is told as {verdict}, decided by "" of VM {vm}')
def then_told_by_none(context, verdict, vm):
    check_decided(context.story, verdict, "", vm)


@behave.then("the story has {count:d} lines")
def then_lines(context, count):
    assert len(context.story.lines) == count, context.story.lines


@behave.then("the story tells these waits")
def then_waits(context):
    told = [
        (
            ".".join(str(number) for number in wait.task),
            wait.line.vm,
            round(wait.start_s, 3),
            round(wait.span_s, 3),
            wait.reason,
        )
        for wait in context.story.waits
    ]
    expected = [
        (
            row["task"],
            row["vm"],
            float(row["from_s"]),
            float(row["span_s"]),
            row["reason"],
        )
        for row in context.table
    ]
    assert told == expected, told


def check_decided(story, verdict, event, vm):
    """Checks the verdict and the line that is marked."""
    assert story.verdict.value == verdict, story
    if not event:
        assert story.decisive is None, story.lines[story.decisive]
        return
    line = story.lines[story.decisive]
    assert (line.event, line.vm) == (event, vm), line


@behave.given("the calls that write decision lines")
def given_calls(context):
    context.calls = log_lines.find_calls()
    assert len(context.calls) > LEAST_CALLS, context.calls


@behave.then("{page} names each event and field")
def then_named(context, page):
    text = pathlib.Path(page).read_text()
    missing = [
        (call.place, name)
        for call in context.calls
        for name in (*call.events, *call.fields)
        if f"`{name}`" not in text
    ]
    assert not missing, missing
