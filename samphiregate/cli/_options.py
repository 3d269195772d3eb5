"""Options that every command takes."""

import enum
import getpass

import cappa

from samphiregate import errors

VARIABLE_PREFIX = "SAMPHIREGATE_"


class OutputFormat(enum.Enum):
    """Forms of output."""

    TABLE = "table"
    JSON = "json"


def option(name, help_text, default):
    """Returns an argument with a flag and a variable, for any command.

    Parameters
    ----------
    name : str
        Name of the flag, without dashes in front.
    help_text : str
        What it says, with its unit.
    default : object
        Value if neither the flag nor the variable is set.
    """
    variable = VARIABLE_PREFIX + name.replace("-", "_").upper()
    return cappa.Arg(
        long=f"--{name}",
        default=cappa.Env(variable, default=default),
        help=f"{help_text} Variable: {variable}.",
        propagate=True,
    )


def flag(name, help_text, default=cappa.Empty):
    """Returns an argument with a flag of one command; required by default."""
    return cappa.Arg(long=f"--{name}", default=default, help=help_text)


def required(name, value):
    """Returns the value of an option that a command can't do without.

    Raises
    ------
    SettingError
        If it is empty.
    """
    if not value:
        variable = VARIABLE_PREFIX + name.upper()
        raise errors.SettingError(name, f"give --{name} or set {variable}")
    return value


def endpoint(name, value):
    """Returns the ``ip:port`` of an option that a command needs.

    Raises
    ------
    SettingError
        If it is empty or of another form.
    """
    host, colon, port = required(name, value).rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) < 65_536):
        raise errors.SettingError(name, f"{value!r} is not ip:port")
    return value


def operator_name(value):
    """Returns the operator's name, by default that of the login."""
    if value:
        return value
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
