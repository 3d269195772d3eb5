"""The whole command line and its entry point."""

import sys
import typing

import attrs
import cappa
from rich import console as rich_console

import samphiregate
from samphiregate.cli import _exit_codes
from samphiregate.cli import _explain
from samphiregate.cli import _jobs
from samphiregate.cli import _keys
from samphiregate.cli import _lists
from samphiregate.cli import _options
from samphiregate.cli import _output
from samphiregate.cli import _requests
from samphiregate.cli import _run
from samphiregate.cli import _status
from samphiregate import errors


@cappa.command(
    name="samphiregate",
    help="Steers samphiregate and submits work to it.",
)
@attrs.frozen(kw_only=True)
class Samphiregate:
    """``samphiregate``."""

    command: cappa.Subcommands[
        _lists.Lists
        | _keys.Keys
        | _jobs.Jobs
        | _requests.Requests
        | _status.Status
        | _status.Queues
        | _status.Histograms
        | _explain.Explain
    ]
    platform: typing.Annotated[
        str, _options.option("platform", "ip:port of the platform.", "")
    ] = ""
    entry: typing.Annotated[
        str, _options.option("entry", "ip:port of an entry VM.", "")
    ] = ""
    key: typing.Annotated[
        str, _options.option("key", "The team's key.", "")
    ] = ""
    operator: typing.Annotated[
        str, _options.option("operator", "Who makes edits; the login.", "")
    ] = ""
    output: typing.Annotated[
        typing.Literal["table", "json"],
        _options.option("output", "Form of the output.", "table"),
    ] = "table"
    timeout_ms: typing.Annotated[
        int, _options.option("timeout-ms", "Longest wait a call, ms.", 5_000)
    ] = 5_000


def main(argv=None):
    """Runs one command.

    Parameters
    ----------
    argv : list of str, optional
        Arguments; by default those of the process.

    Returns
    -------
    int
        An `ExitCode`.
    """
    root = cappa.parse(
        Samphiregate,
        argv=argv,
        version=samphiregate.__version__,
        output=_make_console(sys.argv[1:] if argv is None else argv),
    )
    try:
        return int(_run.run(root.command, root))
    except errors.SamphiregateError as error:
        _output.show_error(error, root.output)
        return int(_exit_codes.exit_code_of(error))
    except OSError as error:
        _output.show_error(errors.BadInputError(str(error)), root.output)
        return int(_exit_codes.ExitCode.INVALID_INPUT)


def _make_console(arguments):
    """Returns the parser's output; scripts for shells must not be wrapped."""
    is_script = any(
        argument.startswith("--completion") for argument in arguments
    )
    return cappa.Output(
        output_console=rich_console.Console(soft_wrap=is_script)
    )
