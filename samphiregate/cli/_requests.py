"""Commands about requests."""

import pathlib
import sys
import typing
import urllib.parse

import attrs
import cappa

from samphiregate.cli import _entry
from samphiregate.cli import _exit_codes
from samphiregate.cli import _options
from samphiregate.cli import _output
from samphiregate.cli import _run

STANDARD_INPUT = "-"


@cappa.command(
    name="send",
    help="Sends a request and prints the body of its answer.",
)
@attrs.frozen
class Send:
    """``request send``."""

    queue: typing.Annotated[str, cappa.Arg(help="Name of the queue.")]
    body: typing.Annotated[
        str, _options.flag("body", "The body, as text.", "")
    ] = ""
    file: typing.Annotated[
        str, _options.flag("file", "File with the body; - for the input.", "")
    ] = ""
    content_type: typing.Annotated[
        str,
        _options.flag(
            "content-type",
            "Content type of the body.",
            "application/octet-stream",
        ),
    ] = "application/octet-stream"
    deadline_ms: typing.Annotated[
        int, _options.flag("deadline-ms", "Time for the answer, ms.", 10_000)
    ] = 10_000
    idempotent: typing.Annotated[
        bool,
        _options.flag("idempotent", "May be executed more than once.", False),
    ] = False


@cappa.command(name="request", help="Requests to the runners of a queue.")
@attrs.frozen
class Requests:
    """``request``."""

    command: cappa.Subcommands[Send]


@_run.run.register
def _run_send(command: Send, root):
    headers = {
        "Content-Type": command.content_type,
        "Samphiregate-Deadline-Ms": str(command.deadline_ms),
        "Samphiregate-Idempotent": str(command.idempotent).lower(),
    }
    queue = urllib.parse.quote(command.queue, safe="")
    with _entry.EntryClient(
        _options.endpoint("entry", root.entry),
        key=root.key,
        timeout_ms=root.timeout_ms + command.deadline_ms,
    ) as entry:
        answer = entry.send(
            "POST",
            f"/v1/queues/{queue}/requests",
            body=_read_body(command),
            headers=headers,
        )
    if _entry.is_problem(answer):
        raise _entry.error_of(answer)
    request_id = answer.headers.get("samphiregate-request-id", "")
    _output.remark(f"Request {request_id}: status {answer.status}.")
    sys.stdout.buffer.write(answer.body)
    sys.stdout.flush()
    if answer.status >= 400:
        return _exit_codes.ExitCode.WORK_FAILED
    return _exit_codes.ExitCode.OK


def _read_body(command):
    if command.file == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    if command.file:
        return pathlib.Path(command.file).read_bytes()
    return command.body.encode("utf-8")
