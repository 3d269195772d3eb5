"""One JSON line for each decision, bounded and never blocking.

Lines wait in a queue of bounded length for a greenlet that writes them; a
reader that stops reading costs lines, not requests.
"""

import collections
import os
import time

import gevent
from gevent import os as gevent_os
import orjson
import structlog

MOST_QUEUED_LINES = 4_000
LINES_PER_KIND_PER_S = 100
FLUSH_INTERVAL_MS = 100
MOST_WRITE_BYTES = 4_096  # what a pipe takes in one piece
KEPT_WHOLE = frozenset({"request refused", "request failed"})


class DecisionLog:
    """Writes structured lines to a file descriptor; a context manager.

    Parameters
    ----------
    vm_id : str
        Part of each line.
    descriptor : int
        Standard output by default.
    unix_s : callable
        Time of day in seconds.

    Attributes
    ----------
    dropped_by_kind : collections.Counter
        Lines left out so far, as the reader or the budget did not allow
        them.
    """

    def __init__(self, *, vm_id, descriptor=1, unix_s=time.time):
        self.dropped_by_kind = collections.Counter()
        self._descriptor = descriptor
        self._unix_s = unix_s
        self._lines = collections.deque()
        self._second = 0
        self._written_by_kind = collections.Counter()
        self._left_out_by_kind = collections.Counter()
        self._greenlet = None
        self._logger = structlog.wrap_logger(
            _Sink(self._append),
            processors=[structlog.processors.JSONRenderer(_dumps)],
            wrapper_class=structlog.BoundLogger,
        ).bind(vm=vm_id)

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info):
        self._greenlet.kill()
        self.flush()

    def write(self, what, **fields):
        """Logs one decision.

        Parameters
        ----------
        what : str
            Short name of the decision; the budget is kept for each.
        fields : dict
            Its request, inputs and outcome.
        """
        now_s = self._unix_s()
        if int(now_s) != self._second:
            self._start_second(int(now_s))
        count = self._written_by_kind[what]
        if count >= LINES_PER_KIND_PER_S and what not in KEPT_WHOLE:
            self._leave_out(what)
            return
        if len(self._lines) >= MOST_QUEUED_LINES:
            self._leave_out(what)
            return
        self._written_by_kind[what] = count + 1
        self._logger.info(what, time=round(now_s, 3), **fields)

    def flush(self):
        """Writes what the reader takes at once."""
        while self._lines:
            block = self._take_block()
            try:
                written = os.write(self._descriptor, block)
            except OSError:
                return
            if written < len(block):
                return

    def _start_second(self, second):
        self._second = second
        self._written_by_kind.clear()
        left_out = dict(self._left_out_by_kind)
        self._left_out_by_kind.clear()
        if left_out:
            self._logger.info("log lines left out", time=second, **left_out)

    def _leave_out(self, what):
        self._left_out_by_kind[what.replace(" ", "_")] += 1
        self.dropped_by_kind[what] += 1

    def _append(self, line):
        self._lines.append(line)

    def _take_block(self):
        lines = []
        size = 0
        while self._lines and size < MOST_WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            lines.append(line)
        return "".join(f"{line}\n" for line in lines).encode()

    def _run(self):
        write = self._writer()
        while True:
            gevent.sleep(FLUSH_INTERVAL_MS / 1000)
            while self._lines:
                block = self._take_block()
                while block:
                    block = block[write(block) :]

    def _writer(self):
        try:
            gevent_os.make_nonblocking(self._descriptor)
            return lambda block: gevent_os.nb_write(self._descriptor, block)
        except OSError:
            return lambda block: os.write(self._descriptor, block)


class _Sink:
    """What structlog hands finished lines to."""

    def __init__(self, append):
        self._append = append

    def info(self, line):
        """Takes one line."""
        self._append(line)


def _dumps(document, **_kwargs):
    return orjson.dumps(document, default=str).decode()
