"""Per-team state of the fair-share queue."""

import attrs

from samphiregate.core import model
from samphiregate.core.queueing import _lane

URGENT_LANE = 0
REQUEST_LANE = 1
OTHER_LANE = 2


def lane_index(item):
    """Returns the index of the lane for an item."""
    if item.urgent:
        return URGENT_LANE
    if item.work_class is model.WorkClass.REQUEST:
        return REQUEST_LANE
    return OTHER_LANE


@attrs.define
class ResourceSum:
    """A running sum of resources, changed in place.

    Notes
    -----
    Much cheaper per event than creating a frozen `model.Resources`.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def add_scaled(self, resources, factor):
        """Adds `factor` times `resources`."""
        self.cpu_millis += factor * resources.cpu_millis
        self.memory_mib += factor * resources.memory_mib
        self.accelerators += factor * resources.accelerators

    def share_of(self, total):
        """Returns the largest fraction of `total` over the resources.

        Resources of which `total` has none are ignored.
        """
        share = 0.0
        if total.cpu_millis:
            share = self.cpu_millis / total.cpu_millis
        if total.memory_mib:
            share = max(share, self.memory_mib / total.memory_mib)
        if total.accelerators:
            share = max(share, self.accelerators / total.accelerators)
        return share


@attrs.define
class TeamRecord:
    """Queued items, running work and usage history of one team.

    Parameters
    ----------
    name : str
        Name of the team.
    weight : float
        Weight of the team when capacity is scarce.
    share : float
        Dominant share of its running work.
    urgent_share : float
        Dominant share of its running urgent work.
    remote_share : float
        Dominant share of its work in other data centres.
    history : float
        Exponentially decayed mean of `share`.
    history_updated_ms : int
        Monotonic time of the last update of `history`, in milliseconds.
    is_counted : bool
        Whether the queue's sum of active weights includes its weight.
    """

    name: str
    weight: float
    history_updated_ms: int
    share: float = 0.0
    urgent_share: float = 0.0
    remote_share: float = 0.0
    history: float = 0.0
    is_counted: bool = False
    running: ResourceSum = attrs.field(factory=ResourceSum)
    running_urgent: ResourceSum = attrs.field(factory=ResourceSum)
    queued: ResourceSum = attrs.field(factory=ResourceSum)
    lanes: tuple = attrs.field(
        factory=lambda: (_lane.Lane(), _lane.Lane(), _lane.Lane())
    )

    def queued_count(self):
        """Returns the number of queued items."""
        urgent, requests, other = self.lanes
        return len(urgent) + len(requests) + len(other)

    def has_expedited(self):
        """Returns whether urgent work or a request is queued."""
        return bool(
            len(self.lanes[URGENT_LANE]) or len(self.lanes[REQUEST_LANE])
        )

    def first(
        self,
        skipped_items,
        lane_indices=(URGENT_LANE, REQUEST_LANE, OTHER_LANE),
    ):
        """Returns the first item of the lanes that is not skipped, or None."""
        for index in lane_indices:
            item = self.lanes[index].first(skipped_items)
            if item is not None:
                return item
        return None

    def shed_candidate(self):
        """Returns the newest item of the last non-empty lane, or None."""
        for index in (OTHER_LANE, REQUEST_LANE, URGENT_LANE):
            item = self.lanes[index].last()
            if item is not None:
                return item
        return None

    def update_shares(self, total):
        """Recomputes the shares of running work."""
        self.share = self.running.share_of(total)
        self.urgent_share = self.running_urgent.share_of(total)

    def decay_history(self, now_ms, half_life_ms):
        """Updates `history` to `now_ms`, with `share` constant until then."""
        elapsed_ms = now_ms - self.history_updated_ms
        if elapsed_ms <= 0:
            return
        decay = 2.0 ** (-elapsed_ms / half_life_ms)
        self.history = self.share + (self.history - self.share) * decay
        self.history_updated_ms = now_ms
