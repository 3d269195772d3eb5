"""Answers forwarded calls on the entry VM that owns the job."""

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _messages
from samphiregate.core.jobs import _peer
from samphiregate.core.jobs import _records
from samphiregate import errors


@attrs.frozen
class Waiter:
    """A caller that waits for a job to end.

    Parameters
    ----------
    origin : str
        Entry VM that answers the caller.
    call_id : str
        Id of the call on that entry VM.
    until_ms : int
        When the caller is answered even if the job has not ended.
    """

    origin: str
    call_id: str
    until_ms: int


class CallHandler:
    """Answers calls about owned jobs.

    Parameters
    ----------
    admission : Admission
        Checks whether a job is accepted.
    lifecycle : TaskLifecycle
        Queues and cancels tasks.
    dispatcher : Dispatcher
        Provides the number of queued items.
    queue_max : int
        Queued items above which submissions are refused.
    """

    def __init__(self, *, admission, lifecycle, dispatcher, queue_max):
        self._admission = admission
        self._lifecycle = lifecycle
        self._dispatcher = dispatcher
        self._queue_max = queue_max
        self._waiters_by_job = {}

    @base.singledispatchmethod
    def on_call(self, message, shard, now_ms):
        """Handles a call; returns the actions that need no replication."""
        raise TypeError(
            "expected ForwardSubmit, ForwardShow or ForwardCancel, not "
            f"{type(message).__name__}"
        )

    @on_call.register
    def _(self, message: _peer.ForwardSubmit, shard, now_ms):
        spec = message.spec
        job = shard.jobs_by_id.get(spec.job_id)
        if job is not None:
            return self._answer_resubmission(message, shard, job)
        refusal = self._admission.find_refusal(spec)
        if refusal is not None:
            return [_failure(message, refusal.error, refusal.detail)]
        if self._dispatcher.queued_count + spec.task_count > self._queue_max:
            detail = (
                "the entry VM that owns the job has reached the limit of its "
                "queue; submit the job again later"
            )
            return [_failure(message, errors.ErrorCode.OVERLOADED, detail)]
        job = _records.JobRecord(spec, shard.shard_id, queued_ms=now_ms)
        shard.jobs_by_id[spec.job_id] = job
        shard.sender.mark_dirty(job)
        shard.sender.defer(_success(message, job))
        if shard.is_ready:
            self._lifecycle.admit(shard, job, now_ms)
        return []

    @on_call.register
    def _(self, message: _peer.ForwardShow, shard, now_ms):
        job = self._job_of(message, shard)
        if job is None:
            return [_not_found(message)]
        if job.ended_ms is not None or not message.wait_ms:
            return [_success(message, job)]
        waiter = Waiter(
            message.origin, message.call_id, now_ms + message.wait_ms
        )
        waiters = self._waiters_by_job.setdefault(message.job_id, {})
        waiters.setdefault((waiter.origin, waiter.call_id), waiter)
        return []

    @on_call.register
    def _(self, message: _peer.ForwardCancel, shard, now_ms):
        job = self._job_of(message, shard)
        if job is None:
            return [_not_found(message)]
        if job.ended_ms is None and not job.cancelled:
            self._lifecycle.cancel(shard, job, now_ms)
            shard.sender.defer(_success(message, job))
            return []
        # Not replicated yet; the caller's entry VM resends the call.
        if not shard.sender.is_replicated(message.job_id):
            return []
        return [_success(message, job)]

    def list_jobs(self, message, shards):
        """Returns the action that answers with a team's jobs in `shards`."""
        views = tuple(
            job.view()
            for shard in shards
            for job in shard.jobs_by_id.values()
            if job.spec.team == message.team
        )
        answer = _messages.JobAnswer(message.call_id, views)
        return base.SendToPeer(message.origin, _peer.ForwardedAnswer(answer))

    def on_job_ended(self, shard, job):
        """Answers the callers waiting for a job once it is replicated."""
        waiters = self._waiters_by_job.pop(job.spec.job_id, {})
        for waiter in waiters.values():
            shard.sender.defer(_success(waiter, job))

    def tick(self, find_job, now_ms):
        """Answers callers whose wait has elapsed.

        Callers that wait for a job which is no longer owned are dropped:
        their entry VMs resend the calls to the new owner.

        Parameters
        ----------
        find_job : callable
            Returns the job with an id, or None if it is no longer owned.
        """
        actions = []
        for job_id, waiters in tuple(self._waiters_by_job.items()):
            job = find_job(job_id)
            for key, waiter in tuple(waiters.items()):
                if job is not None and now_ms < waiter.until_ms:
                    continue
                del waiters[key]
                if job is not None:
                    actions.append(_success(waiter, job))
            if not waiters:
                del self._waiters_by_job[job_id]
        return actions

    def _answer_resubmission(self, message, shard, job):
        if attrs.evolve(job.spec) != message.spec:
            detail = (
                "this idempotency key was used for a different job; use a "
                "new key, or submit the same job"
            )
            return [_failure(message, errors.ErrorCode.CONFLICT, detail)]
        # Not replicated yet; the caller's entry VM resends the call.
        if not shard.sender.is_replicated(job.spec.job_id):
            return []
        return [_success(message, job)]

    @staticmethod
    def _job_of(message, shard):
        job = shard.jobs_by_id.get(message.job_id)
        if job is None or job.spec.team != message.team:
            return None
        return job


def _success(call, job):
    answer = _messages.JobAnswer(call.call_id, (job.view(),))
    return base.SendToPeer(call.origin, _peer.ForwardedAnswer(answer))


def _failure(call, error, detail):
    answer = _messages.JobAnswer(call.call_id, error=error, detail=detail)
    return base.SendToPeer(call.origin, _peer.ForwardedAnswer(answer))


def _not_found(call):
    return _failure(
        call, errors.ErrorCode.NOT_FOUND, "no job of this team has this id"
    )
