"""The order in which stages get room when not everything fits.

Answers the load of a burst, and of an account that sends many times its
usual: work within its account's share goes before what is above it, then
urgent before the rest, then what can still be on time before what cannot,
then the earliest due.
"""

import attrs

LATE_FACTOR = 3.0  # a job this many times over its objective is of no use
BURST_S = 2.0


def critical_path_ms(job):
    """Returns the longest chain of expected work of a job.

    Parameters
    ----------
    job : Job

    Returns
    -------
    float
        Milliseconds, advice included.
    """
    end_by_step = []
    for step in job.steps:
        begin = max((end_by_step[n] for n in step.after), default=0.0)
        end_by_step.append(
            begin + step.estimate_ms + _policy_query_ms(job.queue)
        )
    return max(end_by_step, default=0.0)


def objective_ms(job):
    """Returns the time in which a job is on time."""
    return job.queue.stretch * critical_path_ms(job) + job.queue.target_ms


def _policy_query_ms(queue):
    return queue.advice.decide_ms if queue.advice else 0.0


def priority_key(stage, now_ms):
    """Returns the sort key of a stage; the lowest goes first."""
    entry = stage.entry
    if now_ms <= entry.due_ms:
        lateness = 0
    elif now_ms <= entry.useful_until_ms:
        lateness = 1
    else:
        lateness = 2
    return (
        not entry.within_share,
        entry.job.queue.priority,
        lateness,
        entry.due_ms,
        stage.key,
    )


@attrs.define
class _TokenBucket:
    tokens: float
    updated_ms: int


class ShareLimiter:
    """Tells whether an account keeps to the jobs that its weight entitles to.

    An account may send its weight in jobs a second, and `BURST_S` seconds'
    worth at once.
    """

    def __init__(self):
        self._bucket_by_account = {}

    def try_consume(self, account, now_ms):
        """Notes a job; returns whether it is within the account's share."""
        max_tokens = max(account.weight * BURST_S, 1.0)
        bucket = self._bucket_by_account.setdefault(
            account.name, _TokenBucket(max_tokens, now_ms)
        )
        refill = account.weight * (now_ms - bucket.updated_ms) / 1000
        bucket.tokens = min(max_tokens, bucket.tokens + refill)
        bucket.updated_ms = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
