"""What the planner asks its policies about, and what they answer."""

import typing

import attrs


@attrs.frozen(eq=False)
class PlacementRequest:
    """Waiting tasks of a stage that are to be placed in one plan.

    Parameters
    ----------
    stage : Stage
    tasks : list of Task
        Those that the account's limit allows; placed in their order.
    usable : UsableEndpoints
        Endpoints that accept tasks of the stage.
    now_ms : int
    is_restart : bool
        Whether they are interrupted long-running tasks.
    barred_ids : frozenset of str
        Endpoints that are held for other stages.
    """

    stage: object
    tasks: list
    usable: object
    now_ms: int
    is_restart: bool = False
    barred_ids: frozenset = frozenset()


class CandidatePolicy(typing.Protocol):
    """Restricts or ranks the endpoints that tasks may go to now."""

    def select(self, request, candidates):
        """Returns those of the candidates that tasks may go to now.

        Parameters
        ----------
        request : PlacementRequest
        candidates : list of Candidate
            Endpoints with room for one task at least. A policy may return
            copies with another `max_count` or `penalty`.

        Returns
        -------
        list of Candidate
        """


class UnplacedPolicy(typing.Protocol):
    """Acts for tasks that a plan could not place."""

    def handle_unplaced(self, requests, now_ms):
        """Called once at the end of each plan.

        Parameters
        ----------
        requests : list of PlacementRequest
            With the tasks that were not placed, in the order of the plan.
        now_ms : int
        """
