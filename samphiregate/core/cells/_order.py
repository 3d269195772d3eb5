"""The order in which stages are placed when not everything fits.

Where a service has room for all, jobs within their account's count go before
jobs above it, then by the priority of the queue and the due time.

The rest answers a load of more work than there is room for. Where a service
is short of room, what can still be in time goes before what cannot: first
urgent jobs, and others that would be late if they waited on; then by
priority, jobs that can only be late after those with time to spare; last
jobs that can no longer be of use. Within each of these, accounts go first
whose runs and earlier stages take less than their share of the service. Last
decides the due time, or among urgent jobs the shortest work left: these have
so little time to spare that by due time they would all be started when they
are about to be late, and an overload would make each of them late.
"""

import enum

from samphiregate.core.cells import _token_bucket
from samphiregate.core.cells import _work

LATE_FACTOR = 3.0  # at this multiple of its objective, a job is of no use
# At this multiple, a job goes before less urgent ones again.
STARVED_FACTOR = 10.0
BURST_S = 2.0


class Timeliness(enum.IntEnum):
    """Whether a job can still be in time, or of use."""

    IN_TIME = 0
    LATE = 1
    NO_USE = 2


class _Tier(enum.IntEnum):
    """Which stages go first in a service that is short of room."""

    WOULD_BE_LATE = 0  # if others went first
    BY_PRIORITY = 1
    LAST = 2


def critical_path_ms(job, run_times):
    """Returns the expected time of the critical path of a job's steps.

    Parameters
    ----------
    job : Job
    run_times : RunTimes

    Returns
    -------
    float
        Milliseconds, including a policy query for each step.
    """
    end_by_step = []
    for step in job.steps:
        begin = max((end_by_step[n] for n in step.after), default=0.0)
        run_ms = run_times.expected_ms(job.queue, step)
        end_by_step.append(begin + run_ms + policy_query_ms(job.queue))
    return max(end_by_step, default=0.0)


def path_after_ms(job, number, run_times):
    """Returns the expected time of the longest path of steps after a step.

    Parameters
    ----------
    job : Job
    number : int
        Number of the step.
    run_times : RunTimes

    Returns
    -------
    float
        Milliseconds; 0 if no other step depends on it.
    """
    end_by_step = {number: 0.0}
    for later in range(number + 1, len(job.steps)):
        step = job.steps[later]
        begins = [end_by_step[n] for n in step.after if n in end_by_step]
        if begins:
            run_ms = run_times.expected_ms(job.queue, step)
            run_ms += policy_query_ms(job.queue)
            end_by_step[later] = max(begins) + run_ms
    return max(end_by_step.values())


def objective_ms(job, run_times):
    """Returns the time from its accept within which a job is on time.

    Parameters
    ----------
    job : Job
    run_times : RunTimes

    Returns
    -------
    float
        Milliseconds.
    """
    path_ms = critical_path_ms(job, run_times)
    return job.queue.stretch * path_ms + job.queue.target_ms


def policy_query_ms(queue):
    """Returns the expected time of a query of a queue's policy service."""
    return queue.advice.decide_ms if queue.advice else 0.0


def left_ms_by_step(job, run_times):
    """Returns the expected time from each step's start to the job's end.

    Parameters
    ----------
    job : Job
    run_times : RunTimes

    Returns
    -------
    list of float
        Milliseconds by step number, on the longest way to the end.
    """
    left_ms = [0.0] * len(job.steps)
    for number in reversed(range(len(job.steps))):
        step = job.steps[number]
        run_ms = run_times.expected_ms(job.queue, step)
        left_ms[number] += run_ms + policy_query_ms(job.queue)
        for before in step.after:
            left_ms[before] = max(left_ms[before], left_ms[number])
    return left_ms


def sort_stages(stages, now_ms, fair_shares):
    """Returns stages in the order in which a plan places them.

    Parameters
    ----------
    stages : iterable of Stage
    now_ms : int
    fair_shares : FairShares

    Returns
    -------
    list of Stage
    """
    stages = list(stages)
    needed_by_stage = _needed_by_stage(stages)
    fair_shares.set_waiting(_sum_by_account(needed_by_stage), now_ms)
    services = {stage.queue.service for stage in stages}
    short = {one for one in services if fair_shares.is_short(one)}
    key_by_stage = {
        stage: _short_key(stage, now_ms)
        if stage.queue.service in short
        else _key(stage, now_ms)
        for stage in stages
    }
    stages.sort(key=key_by_stage.get)
    if not short:
        return stages
    over = _stages_over_share(stages, short, needed_by_stage, fair_shares)
    # Sorting is stable: timeliness and time decide within what is equal here.
    return sorted(
        stages, key=lambda one: (*key_by_stage[one][:4], one in over)
    )


def _key(stage, now_ms):
    """Returns the sort key of a stage; the lowest is placed first."""
    entry = stage.entry
    if now_ms <= stage.due_ms:
        timeliness = Timeliness.IN_TIME
    elif now_ms <= stage.useful_until_ms:
        timeliness = Timeliness.LATE
    else:
        timeliness = Timeliness.NO_USE
    return (
        not entry.within_share,
        _Tier.BY_PRIORITY,
        entry.job.queue.priority,
        timeliness,
        stage.due_ms,
        stage.key,
    )


def _short_key(stage, now_ms):
    """As `_key`, for a service that is short of room."""
    entry = stage.entry
    priority = entry.job.queue.priority
    left_ms = entry.left_ms_by_step[stage.number]
    spare_ms = stage.due_ms - now_ms - left_ms
    timeliness = _timeliness(stage, now_ms, left_ms)
    return (
        not entry.within_share,
        _tier(stage, now_ms, timeliness, spare_ms < left_ms),
        priority,
        timeliness,
        left_ms if stage.queue.is_urgent else stage.due_ms,
        stage.key,
    )


def _timeliness(stage, now_ms, left_ms):
    """Returns the `Timeliness` of a stage that still takes `left_ms`."""
    ends_ms = now_ms + left_ms
    if ends_ms <= stage.due_ms:
        return Timeliness.IN_TIME
    if ends_ms <= stage.useful_until_ms:
        return Timeliness.LATE
    return Timeliness.NO_USE


def _tier(stage, now_ms, timeliness, has_little_time):
    """Returns the `_Tier` of a stage."""
    if timeliness is Timeliness.IN_TIME:
        if stage.queue.is_urgent or has_little_time:
            return _Tier.WOULD_BE_LATE
        return _Tier.BY_PRIORITY
    if timeliness is Timeliness.LATE:
        return _Tier.BY_PRIORITY
    objective_ms = stage.due_ms - stage.began_ms
    if now_ms - stage.began_ms > objective_ms * STARVED_FACTOR:
        return _Tier.BY_PRIORITY
    return _Tier.LAST


def _needed_by_stage(stages):
    """Returns the `Resources` of the waiting tasks of each stage."""
    return {
        stage: stage.step.booked.scaled_by(
            sum(task.is_waiting for task in stage.tasks)
        )
        for stage in stages
    }


def _sum_by_account(needed_by_stage):
    """Returns the sums of what stages need, by service and account."""
    sums = {}
    for stage, needed in needed_by_stage.items():
        by_account = sums.setdefault(stage.queue.service, {})
        account = stage.entry.job.account
        before = by_account.get(account, _work.ZERO_RESOURCES)
        by_account[account] = before + needed
    return sums


def _stages_over_share(stages, services, needed_by_stage, fair_shares):
    """Returns the stages that come to be above their account's share.

    These are stages for whose account the runs and the stages before it take
    its share already. Urgent stages count against urgent work only, as in
    `queueing.FairShareQueue`.
    """
    taken_by_account = {}
    over = set()
    for stage in stages:
        service = stage.queue.service
        if service not in services:
            continue
        account = stage.entry.job.account
        is_urgent = stage.queue.is_urgent
        key = (service, account, is_urgent)
        if key not in taken_by_account:
            taken_by_account[key] = fair_shares.share(
                service, account, urgent=is_urgent
            )
        if taken_by_account[key] >= fair_shares.entitlement(service, account):
            over.add(stage)
        taken_by_account[key] += fair_shares.share_of(
            service, needed_by_stage[stage]
        )
    return over


class ShareLimiter:
    """Limits the jobs of an account that count as within its share.

    A token bucket for each account, refilled with `weight` jobs per second.
    It holds the jobs of `BURST_S` seconds, but at least one job.
    """

    def __init__(self):
        self._bucket_by_account = {}

    def try_consume(self, account, accepted_ms):
        """Counts a job; returns whether it is within the account's share.

        Jobs that are accepted earlier than one already counted are counted
        at the time of that one.

        Parameters
        ----------
        account : Account
        accepted_ms : int
            When the job was accepted, however late the owner read it.

        Returns
        -------
        bool
        """
        max_tokens = max(account.weight * BURST_S, 1.0)
        bucket = self._bucket_by_account.setdefault(
            account.name,
            _token_bucket.TokenBucket(account.weight, max_tokens, accepted_ms),
        )
        bucket.per_s = account.weight
        bucket.max_tokens = max_tokens
        return bucket.try_consume(accepted_ms)
