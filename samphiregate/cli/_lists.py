"""Commands about the two lists."""

import datetime
import random
import typing

import attrs
import cappa

from samphiregate.adapters import platform
from samphiregate.cli import _confirm
from samphiregate.cli import _exit_codes
from samphiregate.cli import _options
from samphiregate.cli import _output
from samphiregate.cli import _run
from samphiregate import errors
from samphiregate import lists

DIRECTORY = cappa.Arg(
    help="Directory that holds teams.toml and plans.toml.",
)
NOTE = _options.flag("note", "Why, in a few words; kept in the history.", "")
WAIT_MS = _options.flag(
    "wait-ms",
    "Longest wait until it is in force everywhere, ms; 0: none.",
    15_000,
)


def open_calls(root):
    """Returns the platform's calls that the options name."""
    return platform.PlatformCalls(
        endpoint=_options.endpoint("platform", root.platform),
        timeout_ms=root.timeout_ms,
    )


def make_editor(calls):
    """Returns the editor of the configuration."""
    return lists.ConfigurationEditor(calls, random_state=random.Random())


def finish_edit(root, calls, edit, wait_ms):
    """Waits until an accepted edit is in force, and tells who lacks it.

    Returns
    -------
    ExitCode
    """
    if not wait_ms:
        _output.remark(f"Revision {edit.revision} is accepted.")
        return _exit_codes.ExitCode.OK
    try:
        confirmation = _confirm.wait_in_force(calls, edit.revision, wait_ms)
    except errors.UnavailableError:
        _output.remark(
            f"Revision {edit.revision} is accepted; the fleet list can't "
            "be read, so nobody knows where it is in force."
        )
        return _exit_codes.ExitCode.NOT_CONFIRMED
    if not confirmation.confirmed and not confirmation.unconfirmed:
        _output.remark(
            f"Revision {edit.revision} is accepted; the fleet list shows "
            "no entry VM."
        )
        return _exit_codes.ExitCode.OK
    if not confirmation.unconfirmed:
        _output.remark(
            f"Revision {edit.revision} is in force on all "
            f"{len(confirmation.confirmed)} entry VMs."
        )
        return _exit_codes.ExitCode.OK
    _output.remark(
        f"Revision {edit.revision} is accepted, but these entry VMs have "
        "not confirmed it: " + ", ".join(confirmation.unconfirmed)
    )
    return _exit_codes.ExitCode.NOT_CONFIRMED


@cappa.command(name="get", help="Writes both lists to a directory.")
@attrs.frozen
class Get:
    """``lists get``."""

    directory: typing.Annotated[str, DIRECTORY] = "."


@cappa.command(name="validate", help="Checks both files.")
@attrs.frozen
class Validate:
    """``lists validate``."""

    directory: typing.Annotated[str, DIRECTORY] = "."


@cappa.command(
    name="diff",
    help="Shows what applying the files would change; 12 if anything.",
)
@attrs.frozen
class Diff:
    """``lists diff``."""

    directory: typing.Annotated[str, DIRECTORY] = "."


@cappa.command(
    name="apply",
    help="Brings the configuration to what both files say, or does nothing.",
)
@attrs.frozen
class Apply:
    """``lists apply``."""

    directory: typing.Annotated[str, DIRECTORY] = "."
    note: typing.Annotated[str, NOTE] = ""
    revision: typing.Annotated[
        int | None,
        _options.flag(
            "revision", "Revision that the files were written against.", None
        ),
    ] = None
    wait_ms: typing.Annotated[int, WAIT_MS] = 15_000


@cappa.command(name="history", help="Shows the latest edits.")
@attrs.frozen
class History:
    """``lists history``."""

    last: typing.Annotated[
        int, _options.flag("last", "Most edits that are shown.", 50)
    ] = 50


@cappa.command(name="lists", help="The teams' and the plans' lists.")
@attrs.frozen
class Lists:
    """``lists``."""

    command: cappa.Subcommands[Get | Apply | Diff | Validate | History]


@_run.run.register
def _run_get(command: Get, root):
    with open_calls(root) as calls:
        stored = make_editor(calls).read()
    paths = lists.write_lists(stored.configuration, command.directory)
    document = {
        "revision": stored.head.revision,
        "files": [str(path) for path in paths],
    }
    _output.show(document, root.output)
    return _exit_codes.ExitCode.OK


@_run.run.register
def _run_validate(command: Validate, root):
    read = lists.read_lists(command.directory)
    document = {
        "teams": len(read.teams_by_name),
        "plans": len(read.plans_by_name),
        "queues": len(read.queues_by_name),
    }
    _output.show(document, root.output)
    return _exit_codes.ExitCode.OK


@_run.run.register
def _run_diff(command: Diff, root):
    read = lists.read_lists(command.directory)
    with open_calls(root) as calls:
        stored = make_editor(calls).read()
    found = lists.differences(stored.configuration, read)
    _output.show([attrs.asdict(item) for item in found], root.output)
    if not found:
        _output.remark(f"No difference to revision {stored.head.revision}.")
        return _exit_codes.ExitCode.OK
    return _exit_codes.ExitCode.DIFFERS


@_run.run.register
def _run_apply(command: Apply, root):
    read = lists.read_lists(command.directory)
    with open_calls(root) as calls:
        editor = make_editor(calls)
        try:
            edit, found = lists.apply_lists(
                editor,
                read,
                operator=_options.operator_name(root.operator),
                note=command.note,
                revision=command.revision,
            )
        except lists.RaceLostError as error:
            _show_race_lost(error, root)
            return _exit_codes.ExitCode.CONFLICT
        if edit is None:
            _output.remark("Nothing to change.")
            return _exit_codes.ExitCode.OK
        lists.set_revision(command.directory, edit.revision)
        _output.show([attrs.asdict(item) for item in found], root.output)
        return finish_edit(root, calls, edit, command.wait_ms)


def _show_race_lost(error, root):
    _output.show_error(error, root.output)
    _output.remark("Nothing was applied. The others' edits:")
    rows = [
        {**_edit_row(edit), **attrs.asdict(item)}
        for edit in error.edits
        for item in lists.describe_edit(edit)
    ]
    _output.show(rows, root.output)


@_run.run.register
def _run_history(command: History, root):
    with open_calls(root) as calls:
        stored = make_editor(calls).read()
    rows = [
        {**_edit_row(edit), "changes": len(lists.describe_edit(edit))}
        for edit in reversed(stored.head.edits)
    ]
    _output.show(rows[: command.last], root.output)
    return _exit_codes.ExitCode.OK


def _edit_row(edit):
    time = datetime.datetime.fromtimestamp(
        edit.time_ms / 1000, tz=datetime.UTC
    )
    return {
        "revision": edit.revision,
        "time": time.isoformat(timespec="seconds"),
        "operator": edit.operator,
        "note": edit.note,
        "edit_id": edit.edit_id,
    }
