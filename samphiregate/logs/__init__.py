"""Set-up of absl logging, as text or as one JSON object a line."""

from samphiregate.logs._setup import LogFormat
from samphiregate.logs._setup import set_up

__all__ = ["LogFormat", "set_up"]
