"""Strict priority by work class; a baseline that ignores teams."""

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.queueing import _lane
from samphiregate.core.queueing import _messages

URGENT_LEVEL = 0
LEVEL_BY_CLASS = {
    model.WorkClass.REQUEST: 1,
    model.WorkClass.SERVICE: 2,
    model.WorkClass.GANG: 3,
    model.WorkClass.BATCH: 4,
}


def level_of(item):
    """Returns the priority level of an item; the lowest goes first."""
    return URGENT_LEVEL if item.urgent else LEVEL_BY_CLASS[item.work_class]


class StrictPriorityQueue(base.Policy):
    """Starts urgent work, then requests, services, gangs and batch work.

    Parameters
    ----------
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    Within a level, items start in order of arrival. A level starts nothing
    while a level before it has items that can start.
    """

    parameter_table = {}

    def __init__(self, *, random_state=None):
        self.random_state = random_state
        self.check_parameters()
        self.lanes_ = tuple(
            _lane.Lane() for _level in range(len(LEVEL_BY_CLASS) + 1)
        )
        self.items_by_id_ = {}

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies a queue event; other events are ignored."""

    @observe.register
    def _(self, event: _messages.ItemQueued, now_ms):
        item = event.item
        if item.item_id in self.items_by_id_:
            return
        self.items_by_id_[item.item_id] = item
        lane = self.lanes_[level_of(item)]
        lane.add(item, at_front=event.at_front)

    @observe.register
    def _(self, event: _messages.ItemRemoved, now_ms):
        item = self.items_by_id_.pop(event.item_id, None)
        if item is None:
            return
        self.lanes_[level_of(item)].remove(item.item_id)
        if not self.items_by_id_:
            # A dict keeps its memory after deletions; a new one releases it.
            self.items_by_id_ = {}

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Returns the item to start or to shed, or None.

        Parameters
        ----------
        question : NextItem or ItemToShed
            Which item is requested.
        now_ms : int
            Monotonic time, in milliseconds.

        Raises
        ------
        TypeError
            If `question` is of another type.
        """
        raise TypeError(
            f"expected NextItem or ItemToShed, not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.NextItem, now_ms):
        for lane in self.lanes_:
            for item in lane:
                if (
                    item.team not in question.skipped_teams
                    and item.item_id not in question.skipped_items
                ):
                    return item
        return None

    @choose.register
    def _(self, question: _messages.ItemToShed, now_ms):
        for lane in reversed(self.lanes_):
            item = lane.last()
            if item is not None:
                return item
        return None

    def describe(self):
        """Returns the number of queued items."""
        return {
            "policy": "strict-priority",
            "queued": len(self.items_by_id_),
        }
