"""Commands about keys."""

import typing

import attrs
import cappa

from samphiregate.cli import _exit_codes
from samphiregate.cli import _lists
from samphiregate.cli import _options
from samphiregate.cli import _output
from samphiregate.cli import _run
from samphiregate import lists


@cappa.command(
    name="give",
    help="Gives a team one more key, and shows it this once.",
)
@attrs.frozen
class Give:
    """``keys give``."""

    team: typing.Annotated[str, cappa.Arg(help="Name of the team.")]
    note: typing.Annotated[str, _lists.NOTE] = ""
    wait_ms: typing.Annotated[int, _lists.WAIT_MS] = 15_000


@cappa.command(name="list", help="Lists the keys.")
@attrs.frozen
class ListKeys:
    """``keys list``."""

    team: typing.Annotated[
        str, _options.flag("team", "Shows the keys of this team alone.", "")
    ] = ""


@cappa.command(name="withdraw", help="Withdraws a key for good.")
@attrs.frozen
class Withdraw:
    """``keys withdraw``."""

    key_id: typing.Annotated[str, cappa.Arg(help="Id of the key.")]
    note: typing.Annotated[str, _lists.NOTE] = ""
    wait_ms: typing.Annotated[int, _lists.WAIT_MS] = 15_000


@cappa.command(name="keys", help="The keys that teams present.")
@attrs.frozen
class Keys:
    """``keys``."""

    command: cappa.Subcommands[Give | ListKeys | Withdraw]


@_run.run.register
def _run_give(command: Give, root):
    with _lists.open_calls(root) as calls:
        key, record, edit = lists.give_key(
            _lists.make_editor(calls),
            command.team,
            operator=_options.operator_name(root.operator),
            note=command.note,
        )
        document = {
            "key": key,
            "key_id": record.key_id,
            "team": record.team,
            "revision": edit.revision,
        }
        _output.show(document, root.output)
        _output.remark("The key is shown this once; only its hash is kept.")
        return _lists.finish_edit(root, calls, edit, command.wait_ms)


@_run.run.register
def _run_list(command: ListKeys, root):
    with _lists.open_calls(root) as calls:
        stored = _lists.make_editor(calls).read()
    rows = [
        {
            "key_id": record.key_id,
            "team": record.team,
            "state": "withdrawn" if record.withdrawn else "good",
        }
        for record in stored.configuration.keys_by_hash.values()
        if command.team in ("", record.team)
    ]
    _output.show(rows, root.output)
    return _exit_codes.ExitCode.OK


@_run.run.register
def _run_withdraw(command: Withdraw, root):
    with _lists.open_calls(root) as calls:
        edit = lists.withdraw_key(
            _lists.make_editor(calls),
            command.key_id,
            operator=_options.operator_name(root.operator),
            note=command.note,
        )
        if edit is None:
            _output.remark("The key was withdrawn before.")
            return _exit_codes.ExitCode.OK
        return _lists.finish_edit(root, calls, edit, command.wait_ms)
