"""Events and questions of the queue policies."""

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class QueuedItem:
    """A request or task, or a whole gang, that waits to be started.

    Parameters
    ----------
    item_id : str
        Unique among all that is queued.
    team : str
        Team that it is charged to.
    work_class : model.WorkClass
        Class of the work.
    resources : model.Resources
        Amount that each unit takes.
    units : int
        Tasks that start together; above 1 for a gang only.
    urgent : bool
        Whether it goes before the other work of its team.
    enqueued_ms : int
        When it was queued, monotonic milliseconds.
    deadline_ms : int or None
        When it loses its worth, monotonic milliseconds.
    """

    item_id: str
    team: str
    work_class: model.WorkClass
    resources: model.Resources
    units: int = 1
    urgent: bool = False
    enqueued_ms: int = 0
    deadline_ms: int | None = None


@attrs.frozen
class ItemQueued(base.Event):
    """An item waits; asking again for one that waits changes nothing.

    Parameters
    ----------
    item : QueuedItem
        What waits.
    at_front : bool
        Whether it goes before what its team has queued already, as after a
        refused start or a preemption.
    """

    item: QueuedItem
    at_front: bool = False


@attrs.frozen
class ItemRemoved(base.Event):
    """An item no longer waits: cancelled, expired or taken."""

    item_id: str


@attrs.frozen
class ItemStarted(base.Event):
    """Work of a team started.

    Parameters
    ----------
    resources : model.Resources
        Amount of all of its units together.
    urgent : bool
        Whether it is urgent.
    """

    team: str
    resources: model.Resources
    work_class: model.WorkClass
    urgent: bool = False


@attrs.frozen
class ItemEnded(base.Event):
    """Work of a team surely ended; the counterpart of `ItemStarted`."""

    team: str
    resources: model.Resources
    work_class: model.WorkClass
    urgent: bool = False


@attrs.frozen
class SharesChanged(base.Event):
    """The operators' shares changed.

    Parameters
    ----------
    weight_by_team : dict of str to float
        Positive weights; a team that is absent has weight 1.
    """

    weight_by_team: dict[str, float]


@attrs.frozen
class CapacityChanged(base.Event):
    """The amount that the queue's work may use changed.

    Parameters
    ----------
    total : model.Resources
        Amount in this data centre.
    """

    total: model.Resources


@attrs.frozen
class RemoteUsageChanged(base.Event):
    """What teams have running in other data centres, as gossiped.

    Parameters
    ----------
    usage_by_team : dict of str to model.Resources
        Replaces what was known; an absent team runs nothing elsewhere.
    """

    usage_by_team: dict[str, model.Resources]


@attrs.frozen
class NextItem:
    """Which item is to be started next?

    Parameters
    ----------
    skipped_teams : frozenset of str
        Teams that may start nothing now, such as those at their limit.
    skipped_items : frozenset of str
        Items that were tried now and found no place.
    """

    skipped_teams: frozenset[str] = frozenset()
    skipped_items: frozenset[str] = frozenset()


@attrs.frozen
class ItemToShed:
    """Which item is to be refused, as the queue is over its bound?"""
