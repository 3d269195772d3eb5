"""Teams, plans, queues and keys, as configured by operators."""

import attrs


@attrs.frozen
class Team:
    """A team and the plan that it is on.

    Parameters
    ----------
    name : str
        Name of the team.
    plan : str
        Name of its plan.
    """

    name: str
    plan: str


@attrs.frozen
class Plan:
    """Entitlements of the teams on a plan.

    Parameters
    ----------
    name : str
        Name of the plan.
    share : float
        Fair-share weight of each of its teams while work waits for
        capacity.
    max_running : int
        Maximum number of tasks and requests that each of its teams may
        have running at a time, over the whole fleet.
    queues : tuple of str
        Queues to which its teams may send requests.
    work_classes : tuple of str
        Values of `WorkClass` that its teams may submit.
    urgent : bool
        Whether its teams may mark work as urgent.
    """

    name: str
    share: float
    max_running: int
    queues: tuple[str, ...] = ()
    work_classes: tuple[str, ...] = ()
    urgent: bool = False


@attrs.frozen
class Queue:
    """A named queue of requests.

    Parameters
    ----------
    name : str
        Name of the queue.
    service : str
        Service whose runners execute its requests.
    open_to_all : bool
        Whether it accepts requests without a key.
    """

    name: str
    service: str
    open_to_all: bool = False


@attrs.frozen
class KeyRecord:
    """A key, of which only the hash is stored.

    Parameters
    ----------
    key_hash : str
        Hexadecimal SHA-256 of the key.
    key_id : str
        Public name of the key, shown in lists.
    team : str
        Team to which the key belongs.
    withdrawn : bool
        Whether the key is withdrawn. While this record is retained, no
        later record of the same key clears it.
    """

    key_hash: str
    key_id: str
    team: str
    withdrawn: bool = False


@attrs.frozen
class Configuration:
    """All settings that operators edit, at one revision.

    Parameters
    ----------
    revision : int
        Increases by one with each accepted edit; 0 before the first.
    """

    revision: int = 0
    teams_by_name: dict[str, Team] = attrs.field(factory=dict)
    plans_by_name: dict[str, Plan] = attrs.field(factory=dict)
    queues_by_name: dict[str, Queue] = attrs.field(factory=dict)
    keys_by_hash: dict[str, KeyRecord] = attrs.field(factory=dict)
