"""Log lines: of the daemon by absl, of decisions as JSON objects."""

from samphiregate.logs._decisions import DecisionLog
from samphiregate.logs._setup import LogFormat
from samphiregate.logs._setup import set_up
from samphiregate.logs._stories import Line
from samphiregate.logs._stories import parse_line
from samphiregate.logs._stories import Story
from samphiregate.logs._stories import tell
from samphiregate.logs._stories import Verdict

__all__ = [
    "DecisionLog",
    "Line",
    "LogFormat",
    "Story",
    "Verdict",
    "parse_line",
    "set_up",
    "tell",
]
