"""The command line of operators and submitters."""

from samphiregate.cli._exit_codes import ExitCode
from samphiregate.cli._main import main

__all__ = ["ExitCode", "main"]
