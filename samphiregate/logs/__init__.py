"""Log lines: of the daemon by absl, of decisions as JSON objects."""

from samphiregate.logs._decisions import DecisionLog
from samphiregate.logs._setup import LogFormat
from samphiregate.logs._setup import set_up

__all__ = ["DecisionLog", "LogFormat", "set_up"]
