"""The command that tells a request's story from log lines."""

import contextlib
import sys
import typing

import attrs
import cappa

from samphiregate.cli import _exit_codes
from samphiregate.cli import _options
from samphiregate.cli import _output
from samphiregate.cli import _run
from samphiregate import errors
from samphiregate import logs

STANDARD_INPUT = "-"


@cappa.command(
    name="explain",
    help="Tells what became of a request, from log lines of all VMs.",
)
@attrs.frozen
class Explain:
    """``explain``."""

    request_id: typing.Annotated[
        str, cappa.Arg(help="Id of the job or request.")
    ]
    files: typing.Annotated[
        list[str],
        cappa.Arg(help="Files with log lines; none or - for standard input."),
    ] = attrs.field(factory=list)


@_run.run.register
def _run_explain(command: Explain, root):
    story = logs.tell(_read_lines(command.files), command.request_id)
    if story is None:
        raise errors.SamphiregateError(
            errors.ErrorCode.NOT_FOUND,
            f"no line names request {command.request_id}",
        )
    rows = _rows(story)
    if _options.OutputFormat(root.output) is _options.OutputFormat.JSON:
        document = {
            "request": command.request_id,
            "verdict": story.verdict.value,
            "longest_wait_ms": round(story.longest_wait_s * 1000),
            "waits": _wait_rows(story),
            "lines": rows,
        }
        _output.show(document, root.output)
        return _exit_codes.ExitCode.OK
    for row in rows:
        mark = ">" if row["decisive"] else " "
        print(
            f"{mark} {row['after_ms'] / 1000:+9.3f} s  {row['vm']}  "
            f"{row['event']}  {_text(row['fields'])}".rstrip()
        )
    for row in _wait_rows(story):
        print(
            f"task {row['task']} waited {row['after_ms'] / 1000:+.3f} s "
            f"to {row['until_ms'] / 1000:+.3f} s for {row['reason']}"
        )
    print(_summary(command.request_id, story))
    return _exit_codes.ExitCode.OK


def _read_lines(paths):
    lines = []
    unreadable = 0
    for path in paths or [STANDARD_INPUT]:
        with _open(path) as stream:
            for text in stream:
                line = logs.parse_line(text)
                if line is not None:
                    lines.append(line)
                elif text.strip():
                    unreadable += 1
    if unreadable:
        _output.remark(f"{unreadable} lines are no decisions; left out")
    return lines


def _open(path):
    if path == STANDARD_INPUT:
        return contextlib.nullcontext(sys.stdin)
    return open(path, encoding="utf-8", errors="replace")


def _rows(story):
    start_s = story.lines[0].time_s
    return [
        {
            "after_ms": round((line.time_s - start_s) * 1000),
            "vm": line.vm,
            "event": line.event,
            "decisive": number == story.decisive,
            "fields": line.fields,
        }
        for number, line in enumerate(story.lines)
    ]


def _wait_rows(story):
    start_s = story.lines[0].time_s
    return [
        {
            "task": ".".join(str(number) for number in wait.task),
            "after_ms": round((wait.start_s - start_s) * 1000),
            "until_ms": round((wait.end_s - start_s) * 1000),
            "reason": wait.reason,
            "vm": wait.line.vm,
        }
        for wait in story.waits
    ]


def _text(fields):
    return " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name != "request"
    )


def _summary(request_id, story):
    text = f"{request_id}: {story.verdict.value}"
    if story.decisive is not None:
        cause = story.lines[story.decisive]
        text += f"; decided by: {cause.event} on {cause.vm}"
        reason = cause.fields.get("reason")
        if reason:
            text += f" ({reason})"
    wait_ms = round(story.longest_wait_s * 1000)
    return f"{text}; longest wait: {wait_ms} ms"
