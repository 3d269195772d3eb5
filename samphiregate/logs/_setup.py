"""Log formats. Messages begin with the prefix of the part that logs."""

import enum
import logging
import sys

from absl import flags
from absl import logging as absl_logging
import orjson


class LogFormat(enum.Enum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


class _JsonFormatter(logging.Formatter):
    """Writes a record as one JSON object; `part` is the message's prefix."""

    def __init__(self, vm_id):
        super().__init__()
        self._vm_id = vm_id

    def format(self, record):
        part, _colon, message = record.getMessage().partition(": ")
        document = {
            "time": record.created,
            "level": record.levelname.lower(),
            "vm": self._vm_id,
            "part": part if message else "",
            "message": message or part,
        }
        if record.exc_info:
            document["trace"] = self.formatException(record.exc_info)
        return orjson.dumps(document).decode()


def set_up(*, log_format, level, vm_id):
    """Sends all logs to standard error.

    Parameters
    ----------
    log_format : LogFormat
        Text or JSON lines.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    vm_id : str
        Id of the entry VM, part of each line.
    """
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    if log_format is LogFormat.JSON:
        handler.setFormatter(_JsonFormatter(vm_id))
    else:
        text = f"%(asctime)s {vm_id} %(levelname).1s %(message)s"
        handler.setFormatter(logging.Formatter(text))
    absl_logging.set_verbosity(level)
