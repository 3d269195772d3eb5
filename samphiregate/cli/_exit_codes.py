"""Exit codes of the command line; documented in docs/OPERATORS.md."""

import enum

from samphiregate import errors


class ExitCode(enum.IntEnum):
    """How a command ended; the values are part of the public interface."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    NOT_CONFIRMED = 5
    UNAVAILABLE = 6
    REFUSED = 7
    OUTCOME_UNKNOWN = 8
    NOT_FOUND = 9
    WORK_FAILED = 10
    TIMED_OUT = 11
    DIFFERS = 12


_EXIT_CODE_BY_NAME = {
    "BAD_INPUT": ExitCode.INVALID_INPUT,
    "BODY_TOO_LARGE": ExitCode.INVALID_INPUT,
    "CANCELLED": ExitCode.WORK_FAILED,
    "CONFLICT": ExitCode.CONFLICT,
    "DEADLINE_EXCEEDED": ExitCode.TIMED_OUT,
    "DUPLICATE": ExitCode.REFUSED,
    "KEY_REFUSED": ExitCode.REFUSED,
    "LEAVING": ExitCode.UNAVAILABLE,
    "LIMIT_REACHED": ExitCode.REFUSED,
    "NEVER_FITS": ExitCode.REFUSED,
    "NO_RUNNER": ExitCode.UNAVAILABLE,
    "NOT_ALLOWED": ExitCode.REFUSED,
    "NOT_FOUND": ExitCode.NOT_FOUND,
    "OUTCOME_UNKNOWN": ExitCode.OUTCOME_UNKNOWN,
    "OVERLOADED": ExitCode.UNAVAILABLE,
    "RUNNER_FAILED": ExitCode.WORK_FAILED,
    "SETTING": ExitCode.USAGE,
    "TIMEOUT": ExitCode.TIMED_OUT,
    "UNAVAILABLE": ExitCode.UNAVAILABLE,
}


def exit_code_of(error):
    """Returns the exit code for a `SamphiregateError`."""
    if error.ran is errors.Ran.UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    return _EXIT_CODE_BY_NAME.get(error.code.name, ExitCode.FAILED)
