"""Tells what the tasks of a stage wait for that a plan did not place."""

import enum


class WaitReason(enum.Enum):
    """What the unplaced tasks of a stage wait for."""

    ACCOUNT_LIMIT = "the account's limit"
    RECORD_LIMIT = "the limit of open tasks of one job"
    NO_ENDPOINT = "no usable endpoint"
    TOO_LARGE = "larger than any endpoint"
    ROOM = "room"
    GANG_ROOM = "room for all members"
    POLICY_ANSWER = "an answer of the policy service"
    ALLOWED_ROOM = "room where the policy allows it"
    BETTER_PLACE = "room near its data or its group"
    ISOLATION = "an endpoint without other runs"  # as the task may crash it
    HELD_ROOM = "room that is held for other jobs"
    TICKET_OR_SPREAD = "a ticket or the spread"

    @property
    def is_lack_of_room(self):
        """Whether the service has no room for the tasks."""
        return self in (WaitReason.ROOM, WaitReason.GANG_ROOM)


def of_stage(stage, usable, candidates, holds):
    """Returns the `WaitReason` of a stage with tasks that were not placed.

    Parameters
    ----------
    stage : Stage
    usable : UsableEndpoints
    candidates : list of Candidate
        Where tasks could have been placed.
    holds : Holds
        Those that were held against it.
    """
    if stage.waits_for_place:
        return WaitReason.BETTER_PLACE
    if not usable.endpoints:
        return WaitReason.NO_ENDPOINT
    need = stage.step.booked
    if not any(need.fits_in(capacity) for capacity in usable.capacities):
        return WaitReason.TOO_LARGE
    if not usable.has_room(need):
        return WaitReason.ROOM
    if any(need.fits_in(one.endpoint.free) for one in candidates):
        return WaitReason.GANG_ROOM if stage.step.gang else WaitReason.ROOM
    if stage.query_in_flight:
        return WaitReason.POLICY_ANSWER
    if stage.queue.advice and not usable.named_with_room(
        stage.ticket_by_id, need
    ):
        return WaitReason.ALLOWED_ROOM
    if any(one.endpoint_id in holds for one in usable.with_room(need)):
        return WaitReason.HELD_ROOM
    return WaitReason.TICKET_OR_SPREAD
