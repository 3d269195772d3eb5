"""Typed errors, each with a stable code."""

from samphiregate.errors._codes import ErrorCode
from samphiregate.errors._codes import Ran
from samphiregate.errors._exceptions import BadInputError
from samphiregate.errors._exceptions import SamphiregateError
from samphiregate.errors._exceptions import SettingError
from samphiregate.errors._exceptions import UnavailableError

__all__ = [
    "BadInputError",
    "ErrorCode",
    "Ran",
    "SamphiregateError",
    "SettingError",
    "UnavailableError",
]
