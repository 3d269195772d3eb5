"""Commands about jobs."""

import typing
import urllib.parse
import uuid

import attrs
import cappa

from samphiregate.cli import _entry
from samphiregate.cli import _exit_codes
from samphiregate.cli import _options
from samphiregate.cli import _output
from samphiregate.cli import _run
from samphiregate.core import model
from samphiregate import errors
from samphiregate import timers

WAIT_ROUND_MS = 10_000
FINAL_STATES = ("succeeded", "failed", "cancelled")
JOB_ID = cappa.Arg(help="Id of the job.")


def open_entry(root, longer_ms=0):
    """Returns a client of the entry VM that the options name."""
    return _entry.EntryClient(
        _options.endpoint("entry", root.entry),
        key=_options.required("key", root.key),
        timeout_ms=root.timeout_ms + longer_ms,
    )


@cappa.command(name="submit", help="Submits a job.")
@attrs.frozen
class Submit:
    """``job submit``."""

    work_class: typing.Annotated[
        model.WorkClass,
        _options.flag("class", "Class of work: service, batch or gang."),
    ]
    cpu_millis: typing.Annotated[
        int, _options.flag("cpu-millis", "Thousandths of a core a task.")
    ]
    memory_mib: typing.Annotated[
        int, _options.flag("memory-mib", "Memory a task, MiB.")
    ]
    accelerators: typing.Annotated[
        int, _options.flag("accelerators", "Accelerators a task.", 0)
    ] = 0
    tasks: typing.Annotated[
        int, _options.flag("tasks", "Tasks, or replicas of a service.", 1)
    ] = 1
    run_time_ms: typing.Annotated[
        int, _options.flag("run-time-ms", "Expected run time, ms.", 0)
    ] = 0
    urgent: typing.Annotated[
        bool, _options.flag("urgent", "May preempt other work.", False)
    ] = False
    checkpointable: typing.Annotated[
        bool,
        _options.flag("checkpointable", "Can be stopped and resumed.", False),
    ] = False
    max_attempts: typing.Annotated[
        int, _options.flag("max-attempts", "Starts of a failing task.", 3)
    ] = 3
    command: typing.Annotated[
        str, _options.flag("command", "Handed to the worker as it is.", "")
    ] = ""
    idempotency_key: typing.Annotated[
        str,
        _options.flag(
            "idempotency-key", "Names this submission; made when empty.", ""
        ),
    ] = ""


@cappa.command(name="list", help="Lists the team's jobs.")
@attrs.frozen
class ListJobs:
    """``job list``."""


@cappa.command(name="show", help="Shows a job.")
@attrs.frozen
class Show:
    """``job show``."""

    job_id: typing.Annotated[str, JOB_ID]


@cappa.command(name="wait", help="Waits until a job has ended.")
@attrs.frozen
class Wait:
    """``job wait``."""

    job_id: typing.Annotated[str, JOB_ID]
    wait_ms: typing.Annotated[
        int, _options.flag("wait-ms", "Longest wait, ms.", 600_000)
    ] = 600_000


@cappa.command(name="cancel", help="Cancels a job.")
@attrs.frozen
class Cancel:
    """``job cancel``."""

    job_id: typing.Annotated[str, JOB_ID]


@cappa.command(name="job", help="Jobs: services, batches and gangs.")
@attrs.frozen
class Jobs:
    """``job``."""

    command: cappa.Subcommands[Submit | ListJobs | Show | Wait | Cancel]


@_run.run.register
def _run_submit(command: Submit, root):
    document = {
        "class": command.work_class.value,
        "task_count": command.tasks,
        "resources": {
            "cpu_millis": command.cpu_millis,
            "memory_mib": command.memory_mib,
            "accelerators": command.accelerators,
        },
        "run_time_ms": command.run_time_ms,
        "urgent": command.urgent,
        "checkpointable": command.checkpointable,
        "max_attempts": command.max_attempts,
        "command": command.command,
    }
    # The same key goes with a second try, so that the job runs once.
    headers = {"Idempotency-Key": command.idempotency_key or uuid.uuid4().hex}
    with open_entry(root) as entry:
        try:
            shown = entry.call("POST", "/v1/jobs", document, headers=headers)
        except errors.UnavailableError:
            shown = entry.call("POST", "/v1/jobs", document, headers=headers)
    _output.show(shown, root.output)
    return _exit_codes.ExitCode.OK


@_run.run.register
def _run_list(command: ListJobs, root):
    with open_entry(root) as entry:
        shown = entry.call("GET", "/v1/jobs")
    _output.show(_output.rows_of(shown), root.output)
    return _exit_codes.ExitCode.OK


@_run.run.register
def _run_show(command: Show, root):
    with open_entry(root) as entry:
        shown = entry.call("GET", _job_path(command.job_id))
    _output.show(shown, root.output)
    return _exit_codes.ExitCode.OK


@_run.run.register
def _run_wait(command: Wait, root):
    now_ms = timers.TimerService().now_ms
    deadline_ms = now_ms() + command.wait_ms
    with open_entry(root, longer_ms=WAIT_ROUND_MS) as entry:
        while True:
            left_ms = max(deadline_ms - now_ms(), 0)
            round_ms = min(left_ms, WAIT_ROUND_MS)
            path = f"{_job_path(command.job_id)}?wait_ms={round_ms}"
            shown = entry.call("GET", path)
            if shown.get("state") in FINAL_STATES or left_ms == 0:
                break
    _output.show(shown, root.output)
    if shown.get("state") not in FINAL_STATES:
        return _exit_codes.ExitCode.TIMED_OUT
    if shown["state"] != model.JobState.SUCCEEDED.value:
        return _exit_codes.ExitCode.WORK_FAILED
    return _exit_codes.ExitCode.OK


@_run.run.register
def _run_cancel(command: Cancel, root):
    with open_entry(root) as entry:
        shown = entry.call("DELETE", _job_path(command.job_id))
    if shown:
        _output.show(shown, root.output)
    return _exit_codes.ExitCode.OK


def _job_path(job_id):
    return "/v1/jobs/" + urllib.parse.quote(job_id, safe="")
