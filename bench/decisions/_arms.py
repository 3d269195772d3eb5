"""The sets of policies that are played against each other."""

import random

import attrs

from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import quarantine
from samphiregate.core import queueing
from samphiregate.core import sizing


@attrs.define
class Arm:
    """The policies of one play.

    Parameters
    ----------
    starve_ms : int or None
        Wait after which workers are reserved; None for never.
    team_skips : int or None
        Items of one team that may find no place before the round goes on
        with other teams; None for no bound.
    """

    name: str
    queue: object
    placement: object
    sizes: object = None
    quarantine_policy: object = None
    victims: object = None
    ladder: object = None
    starve_ms: int | None = None
    team_skips: int | None = None


def ours(seed, *, queue_params=None, placement_name="indexed-best-fit"):
    """Returns this project's policies."""
    state = random.Random(seed)
    queue = queueing.make_queue("fair-share", **(queue_params or {}))
    return Arm(
        name="ours",
        queue=queue,
        placement=placement.make_placement(placement_name, random_state=state),
        sizes=sizing.SizeLearner(),
        quarantine_policy=quarantine.QuarantinePolicy(),
        victims=preemption.CheapestVictims(queue=queue),
        ladder=sizing.ReclamationPolicy(),
        starve_ms=5_000,
        team_skips=4,
    )


def first_come(seed):
    """Returns first come, first served, on the first worker that fits."""
    return Arm(
        name="first-come",
        queue=queueing.make_queue("first-come"),
        placement=placement.make_placement("first-fit"),
    )


def strict_priority(seed):
    """Returns strict priority, on the first worker that fits."""
    return Arm(
        name="strict-priority",
        queue=queueing.make_queue("strict-priority"),
        placement=placement.make_placement("first-fit"),
    )


ARMS = (ours, first_come, strict_priority)
