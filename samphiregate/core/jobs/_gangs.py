"""Places gangs: all tasks of a gang at once, or none."""

import attrs

from samphiregate.core import base
from samphiregate.core.jobs import _dispatch
from samphiregate.core.jobs import _records
from samphiregate.core import workers


@attrs.define
class ReservationRound:
    """One attempt to reserve places for a whole gang.

    Parameters
    ----------
    untried : list of str
        Entry VMs that have not been tried yet; the last one is next.
    requested_vm : str
        Entry VM that places were last requested from.
    held_by_vm : dict of str to int
        Number of places that each entry VM reserved.
    """

    reservation: str
    shard: object
    job: _records.JobRecord
    tasks: list[_records.TaskRecord]
    untried: list[str]
    started_ms: int
    requested_vm: str = ""
    held_by_vm: dict[str, int] = attrs.field(factory=dict)

    @property
    def missing(self):
        """Number of places that are still missing."""
        return len(self.tasks) - sum(self.held_by_vm.values())


class GangPlacer:
    """Reserves places on one entry VM after another, then uses them all.

    Parameters
    ----------
    dispatcher : Dispatcher
        Orders the tasks once every place is reserved.
    hold_ms : int
        How long places stay reserved.
    timeout_ms : int
        Timeout of a round.
    retry_ms : int
        Mean delay between two rounds of one gang.
    random_state : random.Random
        Randomises the delay, so that rounds of different entry VMs spread.

    Notes
    -----
    One round is in progress at a time, so gangs of one entry VM are placed
    in the queue's order. A round never waits for places that others hold: it
    releases its own and retries later, so two gangs cannot deadlock.
    """

    def __init__(
        self, *, dispatcher, hold_ms, timeout_ms, retry_ms, random_state
    ):
        self._dispatcher = dispatcher
        self._hold_ms = hold_ms
        self._timeout_ms = timeout_ms
        self._retry_ms = retry_ms
        self._random = random_state
        self._round = None
        self._round_count = 0
        self._not_before_by_job = {}
        self._actions = []

    def start(self, shard, job, now_ms):
        """Starts a round; returns False if none can start now."""
        if self._round is not None:
            return False
        if now_ms < self._not_before_by_job.get(job.spec.job_id, 0):
            return False
        vm_ids = self._dispatcher.room_estimates.sorted_by_free_cpu()
        if not vm_ids:
            return False
        self._round_count += 1
        tasks = [one for one in job.tasks if one.state == _records.QUEUED]
        self._round = ReservationRound(
            f"{job.spec.job_id}#{shard.epoch}.{self._round_count}",
            shard,
            job,
            tasks,
            untried=vm_ids[::-1],
            started_ms=now_ms,
        )
        self._request_next(now_ms)
        return True

    def on_gang_reserved(self, sender, message, now_ms):
        """Applies an answer; releases places reserved for an earlier round."""
        round_ = self._round
        if round_ is None or message.reservation != round_.reservation:
            release = workers.ReleaseGang(message.reservation)
            self._actions.append(base.SendToPeer(sender, release))
            return
        if sender != round_.requested_vm:
            return
        round_.held_by_vm[sender] = message.count
        if not round_.missing:
            self._commit(now_ms)
        elif round_.untried:
            self._request_next(now_ms)
        else:
            self._fail(now_ms)

    def tick(self, now_ms):
        """Ends a round that has timed out."""
        round_ = self._round
        if round_ and now_ms - round_.started_ms >= self._timeout_ms:
            self._fail(now_ms)

    def abort(self, job_id, now_ms):
        """Aborts the round of a job that was cancelled or handed over."""
        self._not_before_by_job.pop(job_id, None)
        if self._round and self._round.job.spec.job_id == job_id:
            self._release()

    def flush(self):
        """Returns and clears the actions that are due."""
        actions, self._actions = self._actions, []
        return actions

    def _request_next(self, now_ms):
        round_ = self._round
        spec = round_.job.spec
        round_.requested_vm = round_.untried.pop()
        message = workers.ReserveGang(
            round_.reservation,
            spec.job_id,
            spec.team,
            spec.resources,
            round_.missing,
            self._hold_ms,
            waited_ms=now_ms - round_.job.queued_ms,
        )
        self._actions.append(base.SendToPeer(round_.requested_vm, message))

    def _commit(self, now_ms):
        round_, self._round = self._round, None
        self._not_before_by_job.pop(round_.job.spec.job_id, None)
        tasks = iter(round_.tasks)
        for vm_id, count in round_.held_by_vm.items():
            for _place in range(count):
                queue_entry = _dispatch.QueueEntry(
                    round_.shard, round_.job, next(tasks)
                )
                self._dispatcher.order_task(
                    queue_entry, vm_id, now_ms, round_.reservation
                )

    def _fail(self, now_ms):
        round_ = self._round
        self._release()
        delay_ms = int(self._retry_ms * self._random.uniform(0.5, 1.5))
        job_id = round_.job.spec.job_id
        self._not_before_by_job[job_id] = now_ms + delay_ms
        self._dispatcher.enqueue_gang(
            round_.shard, round_.job, now_ms, at_front=True
        )

    def _release(self):
        round_, self._round = self._round, None
        message = workers.ReleaseGang(round_.reservation)
        for vm_id in {*round_.held_by_vm, round_.requested_vm}:
            self._actions.append(base.SendToPeer(vm_id, message))
