"""First come, first served; a baseline that ignores teams."""

from samphiregate.core import base
from samphiregate.core.queueing import _lane
from samphiregate.core.queueing import _messages


class FirstComeQueue(base.Policy):
    """Starts items in order of arrival.

    Parameters
    ----------
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.
    """

    parameter_table = {}

    def __init__(self, *, random_state=None):
        self.random_state = random_state
        self.check_parameters()
        self.lane_ = _lane.Lane()
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
        self.lane_.add(item, at_front=event.at_front)

    @observe.register
    def _(self, event: _messages.ItemRemoved, now_ms):
        if self.items_by_id_.pop(event.item_id, None) is None:
            return
        self.lane_.remove(event.item_id)
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
        if not question.skipped_teams:
            return self.lane_.first(question.skipped_items)
        for item in self.lane_:
            if (
                item.team not in question.skipped_teams
                and item.item_id not in question.skipped_items
            ):
                return item
        return None

    @choose.register
    def _(self, question: _messages.ItemToShed, now_ms):
        return self.lane_.last()

    def describe(self):
        """Returns the number of queued items."""
        return {"policy": "first-come", "queued": len(self.items_by_id_)}
