"""Chooses where tasks that have failed are tried again.

The load that this answers: endpoints that pass their health check and fail
all they start at once. They always have room, so that best fit would choose
them for each next attempt, and a job would lose all attempts on one endpoint.
"""

from samphiregate.core.cells import _isolation

# For which a task that failed waits for an endpoint without failures.
MAX_WAIT_MS = 5_000


def groups(cell_state, stage, tasks):
    """Returns the tasks that are placed in the same way; no group is empty.

    Those without a failure, as they may go to any endpoint; those with one;
    and those suspected of ending their endpoint's process.
    """
    suspects, failed, others = [], [], []
    for task in tasks:
        if _isolation.is_suspect(cell_state, stage, task):
            suspects.append(task)
        elif stage.has_failed(task):
            failed.append(task)
        else:
            others.append(task)
    return [group for group in (others, failed, suspects) if group]


def is_recent_failure(stage, tasks, now_ms):
    """Whether tasks that failed are to wait for an endpoint that is sound."""
    return any(
        stage.has_failed(task)
        and now_ms - (task.interrupted_ms or 0) < MAX_WAIT_MS
        for task in tasks
    )


def without_suspects(stage, candidates, failure_backoff):
    """Returns the candidates on which no task failed lately.

    Parameters
    ----------
    stage : Stage
    candidates : list of Candidate
    failure_backoff : FailureBackoff
    """
    return [
        one
        for one in candidates
        if one.endpoint.endpoint_id not in stage.failed_ids
        and not failure_backoff.is_suspect(one.endpoint.endpoint_id)
    ]
