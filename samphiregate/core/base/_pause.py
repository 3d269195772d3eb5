"""Detection of pauses of the process."""


class PauseDetector:
    """Detects pauses of the process from gaps between events.

    Parameters
    ----------
    limit_ms : int
        A longer gap than this counts as a pause. It must be longer than
        the interval of `Tick` and shorter than the time after which peers
        may declare this VM dead.
    """

    def __init__(self, *, limit_ms):
        self.limit_ms = limit_ms
        self.last_ms_ = None

    def observe(self, now_ms):
        """Returns whether the process was paused before this event."""
        last_ms = self.last_ms_
        self.last_ms_ = now_ms
        return last_ms is not None and now_ms - last_ms > self.limit_ms
