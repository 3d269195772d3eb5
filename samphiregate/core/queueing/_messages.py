"""Events and questions of the queue policies."""

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class QueuedItem:
    """A request, task or gang that waits to be started.

    Parameters
    ----------
    item_id : str
        Unique among the queued items.
    team : str
        Team that it is charged to.
    work_class : model.WorkClass
        Class of the work.
    resources : model.Resources
        Amount that each unit needs.
    units : int
        Number of tasks that start together; above 1 only for a gang.
    urgent : bool
        Whether it starts before the other work of its team.
    enqueued_ms : int
        When it was queued, monotonic milliseconds.
    deadline_ms : int or None
        When it expires, monotonic milliseconds.
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
    """An item was queued; ignored if it is queued already.

    Parameters
    ----------
    item : QueuedItem
        The queued item.
    at_front : bool
        Whether it goes before the items that its team has queued already,
        as after a refused start or a preemption.
    """

    item: QueuedItem
    at_front: bool = False


@attrs.frozen
class ItemRemoved(base.Event):
    """An item left the queue: cancelled, expired or about to start."""

    item_id: str


@attrs.frozen
class ItemStarted(base.Event):
    """Work of a team started.

    Parameters
    ----------
    resources : model.Resources
        Amount of all its units together.
    urgent : bool
        Whether the work is urgent.
    """

    team: str
    resources: model.Resources
    work_class: model.WorkClass
    urgent: bool = False


@attrs.frozen
class ItemEnded(base.Event):
    """Work of a team is known to have ended; reverses `ItemStarted`."""

    team: str
    resources: model.Resources
    work_class: model.WorkClass
    urgent: bool = False


@attrs.frozen
class WeightsChanged(base.Event):
    """The operators changed the teams' weights.

    Parameters
    ----------
    weight_by_team : dict of str to float
        Positive weights; a team that is missing has weight 1.
    """

    weight_by_team: dict[str, float]


@attrs.frozen
class CapacityChanged(base.Event):
    """The capacity for work of this queue changed.

    Parameters
    ----------
    total : model.Resources
        Capacity in this data centre.
    """

    total: model.Resources


@attrs.frozen
class RemoteUsageChanged(base.Event):
    """Gossip updated the usage of teams in other data centres.

    Parameters
    ----------
    usage_by_team : dict of str to model.Resources
        Replaces the earlier usage; a missing team has no remote usage.
    """

    usage_by_team: dict[str, model.Resources]


@attrs.frozen
class NextItem:
    """Asks which item to start next.

    Parameters
    ----------
    skipped_teams : frozenset of str
        Teams that may not start work now, such as those at their limit.
    skipped_items : frozenset of str
        Items that could not be placed in this round.
    """

    skipped_teams: frozenset[str] = frozenset()
    skipped_items: frozenset[str] = frozenset()


@attrs.frozen
class ItemToShed:
    """Asks which item to reject because the queue is over its bound."""
