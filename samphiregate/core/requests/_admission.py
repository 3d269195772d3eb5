"""Admission of requests: whether one is accepted, and for which team."""

import attrs

from samphiregate.core.requests import _messages
from samphiregate import errors

NOT_READY_RETRY_MS = 1_000

_Code = errors.ErrorCode


@attrs.frozen
class Admitted:
    """Result for a request that may be accepted.

    Parameters
    ----------
    team : str
        Team that sent it; empty without a key.
    service : str
        Service that executes it.
    """

    team: str
    service: str


def admit(queue_name, key_hash, replica):
    """Checks the queue and the key of a request.

    Parameters
    ----------
    queue_name : str
        Queue that it is addressed to.
    key_hash : str
        Hash of the key that came with it; empty without one.
    replica : ConfigurationReplica
        The configuration and keys in force.

    Returns
    -------
    Admitted or Refusal
        `UNAVAILABLE` while the replica has not settled or, for a request
        with a key, is cut off.
    """
    team = ""
    is_ready = replica.can_verify_keys if key_hash else replica.settled
    if not is_ready:
        return _messages.Refusal(
            _Code.UNAVAILABLE,
            detail="this entry VM has no current configuration or keys;"
            " retry later or at another entry VM",
            retry_after_ms=NOT_READY_RETRY_MS,
        )
    if key_hash:
        team = replica.team_for_key_hash(key_hash)
        if team is None:
            return refuse_key()
    queue = replica.configuration.queues_by_name.get(queue_name)
    if queue is None:
        return _messages.Refusal(
            _Code.NOT_FOUND, detail="the queue does not exist"
        )
    if not queue.open_to_all:
        if not team:
            return refuse_key("this queue requires a key")
        if not _may_use(team, queue.name, replica.configuration):
            return _messages.Refusal(
                _Code.NOT_ALLOWED,
                detail="the team's plan does not include this queue",
            )
    return Admitted(team, queue.service)


def refuse_key(detail="the key is unknown or was withdrawn"):
    """Returns the refusal for a missing, unknown or withdrawn key."""
    return _messages.Refusal(_Code.KEY_REFUSED, detail=detail)


def _may_use(team_name, queue_name, configuration):
    team = configuration.teams_by_name.get(team_name)
    plan = team and configuration.plans_by_name.get(team.plan)
    return bool(plan) and queue_name in plan.queues
