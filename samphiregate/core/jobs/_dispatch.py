"""Takes tasks from the queue and sends orders to owners of workers."""

import heapq

import attrs

from samphiregate.core.jobs import _records
from samphiregate.core import model
from samphiregate.core import queueing
from samphiregate.core import workers

SKIPPED_ITEMS_MAX = 32
AVOIDED_RACKS_MAX = 8
GANG_INDEX = "gang"


@attrs.frozen
class QueueEntry:
    """The job and task behind an item of the queue; no task for a gang."""

    shard: object
    job: _records.JobRecord
    task: _records.TaskRecord | None


class Dispatcher:
    """Sends orders to run queued tasks while the estimates show room.

    Parameters
    ----------
    queue : base.Policy
        Queue policy over the jobs of this entry VM.
    room_estimates : RoomEstimates
        Chooses the recipient of an order.
    orders : OrderBatcher
        Batches the orders by recipient.
    window : int
        Maximum number of orders in flight, i.e. without an update.
    token_backoff : TokenBackoff
        Entry VMs that recently had no token for a team.
    urgent_retry_ms : int
        Time between two attempts to preempt for an urgent task.
    """

    def __init__(
        self,
        *,
        queue,
        room_estimates,
        orders,
        window,
        token_backoff,
        urgent_retry_ms,
    ):
        self.queue = queue
        self.room_estimates = room_estimates
        self.orders = orders
        self.racks_by_worker = {}
        self._window = window
        self.token_backoff = token_backoff
        self._urgent_retry_ms = urgent_retry_ms
        self._entries_by_item = {}
        self._in_flight = {}
        self._delayed = []
        self._delayed_sequence = 0
        self._is_due = False
        self.usage_by_team = {}

    @property
    def queued_count(self):
        """Number of items in the queue."""
        return len(self._entries_by_item)

    def mark_due(self):
        """Marks the queue as due for the next `run`."""
        self._is_due = True

    def enqueue(self, shard, job, task, now_ms, *, at_front=False):
        """Queues a task, now or once its retry delay has passed."""
        if task.not_before_ms > now_ms:
            self._delayed_sequence += 1
            entry = (
                task.not_before_ms,
                self._delayed_sequence,
                shard,
                job,
                task,
            )
            heapq.heappush(self._delayed, entry)
            return
        spec = job.spec
        item_id = item_id_of(spec.job_id, task.index)
        self._add(item_id, QueueEntry(shard, job, task), 1, now_ms, at_front)

    def enqueue_gang(self, shard, job, now_ms, *, at_front=False):
        """Queues the tasks of a gang that have not ended, as one item."""
        units = job.count_by_state.get(_records.QUEUED, 0)
        item_id = item_id_of(job.spec.job_id, GANG_INDEX)
        queue_entry = QueueEntry(shard, job, None)
        self._add(item_id, queue_entry, units, now_ms, at_front)

    def withdraw(self, job_id, index, now_ms):
        """Removes an item from the queue; ignores unknown items."""
        item_id = item_id_of(job_id, index)
        if self._entries_by_item.pop(item_id, None) is not None:
            self.queue.observe(queueing.ItemRemoved(item_id), now_ms)

    def withdraw_shard(self, shard, now_ms):
        """Removes all items and orders in flight of a lost shard."""
        for item_id, queue_entry in tuple(self._entries_by_item.items()):
            if queue_entry.shard is shard:
                del self._entries_by_item[item_id]
                self.queue.observe(queueing.ItemRemoved(item_id), now_ms)
        self._in_flight = {
            attempt_id: True
            for attempt_id in self._in_flight
            if attempt_id.task_id.job_id not in shard.jobs_by_id
        }
        self._delayed = [one for one in self._delayed if one[2] is not shard]
        heapq.heapify(self._delayed)

    def confirm_order(self, attempt_id):
        """Removes an attempt from those in flight, as it was reported."""
        if self._in_flight.pop(attempt_id, None):
            self._is_due = True

    def remove_usage(self, job, task, now_ms):
        """Removes a task from its team's usage.

        Called when its attempt has ended, or its shard was lost.
        """
        spec = job.spec
        self._is_due = True
        used = self.usage_by_team.get(spec.team, spec.resources)
        self.usage_by_team[spec.team] = used - spec.resources
        event = queueing.ItemEnded(spec.team, spec.resources, spec.work_class)
        self.queue.observe(event, now_ms)

    def add_usage(self, job, now_ms):
        """Adds an ordered or adopted task to its team's usage."""
        spec = job.spec
        used = self.usage_by_team.get(spec.team, model.Resources())
        self.usage_by_team[spec.team] = used + spec.resources
        event = queueing.ItemStarted(
            spec.team, spec.resources, spec.work_class
        )
        self.queue.observe(event, now_ms)

    def tick(self, now_ms):
        """Queues the tasks whose retry delay has passed."""
        while self._delayed and self._delayed[0][0] <= now_ms:
            _not_before_ms, _sequence, shard, job, task = heapq.heappop(
                self._delayed
            )
            if task.state == _records.QUEUED:
                self.enqueue(shard, job, task, now_ms)
        if self._entries_by_item:
            self._is_due = True

    def run(self, now_ms, start_gang):
        """Sends orders until the window or the room is used up.

        Stops once more than `SKIPPED_ITEMS_MAX` items could not be placed.

        Parameters
        ----------
        start_gang : callable
            Starts to place a gang; returns whether a round was started.
        """
        if not self._is_due:
            return
        self._is_due = False
        skipped_teams, skipped = set(), set()
        while len(self._in_flight) < self._window:
            if len(skipped) > SKIPPED_ITEMS_MAX:
                return
            question = queueing.NextItem(
                frozenset(skipped_teams), frozenset(skipped)
            )
            item = self.queue.choose(question, now_ms)
            if item is None:
                return
            queue_entry = self._entries_by_item[item.item_id]
            if self._is_backed_off(item.team, now_ms):
                skipped_teams.add(item.team)
            elif not self._dispatch(queue_entry, now_ms, start_gang):
                skipped.add(item.item_id)

    def order_task(self, queue_entry, vm_id, now_ms, reservation=""):
        """Orders an entry VM to run a queued task."""
        job, task = queue_entry.job, queue_entry.task
        task.attempt = queue_entry.shard.next_attempt()
        task.vm_id = vm_id
        task.worker_id = ""
        task.ordered_ms = task.requested_ms = now_ms
        job.step(task, "ordered")
        order = self._make_order(job, task, reservation)
        self.orders.add_run(vm_id, order)
        attempt_id = workers.AttemptId(order.task_id, order.attempt)
        self._in_flight[attempt_id] = True
        self.room_estimates.record_order(vm_id, job.spec.resources)
        self.token_backoff.record_order(job.spec.team, vm_id, now_ms)
        self.add_usage(job, now_ms)

    def _add(self, item_id, queue_entry, units, now_ms, at_front):
        spec = queue_entry.job.spec
        self._is_due = True
        self._entries_by_item[item_id] = queue_entry
        item = queueing.QueuedItem(
            item_id,
            spec.team,
            spec.work_class,
            spec.resources,
            units=units,
            urgent=spec.urgent,
            enqueued_ms=queue_entry.job.queued_ms,
        )
        self.queue.observe(queueing.ItemQueued(item, at_front), now_ms)

    def _dispatch(self, queue_entry, now_ms, start_gang):
        if queue_entry.task is None:
            if not start_gang(queue_entry.shard, queue_entry.job, now_ms):
                return False
            self.withdraw(queue_entry.job.spec.job_id, GANG_INDEX, now_ms)
            return True
        vm_id = self._choose_vm(queue_entry, now_ms)
        if vm_id is None:
            return False
        self.withdraw(
            queue_entry.job.spec.job_id, queue_entry.task.index, now_ms
        )
        self.order_task(queue_entry, vm_id, now_ms)
        return True

    def _is_backed_off(self, team, now_ms):
        """Returns whether a team backs off from all VMs that accept orders."""
        excluded = self.token_backoff.excluded_vm_ids(team, now_ms)
        return bool(excluded) and self.room_estimates.are_all_excluded(
            excluded
        )

    def _choose_vm(self, queue_entry, now_ms):
        spec, task = queue_entry.job.spec, queue_entry.task
        excluded = self.token_backoff.excluded_vm_ids(spec.team, now_ms)
        vm_id = self.room_estimates.choose(spec.resources, excluded)
        # While queued, `requested_ms` is the earliest time of the next
        # attempt to preempt.
        if vm_id is None and spec.urgent and now_ms >= task.requested_ms:
            task.requested_ms = now_ms + self._urgent_retry_ms
            vm_id = self.room_estimates.choose_for_preemption(spec.resources)
        return vm_id

    def _make_order(self, job, task, reservation):
        spec = job.spec
        return workers.TaskOrder(
            model.TaskId(spec.job_id, task.index),
            task.attempt,
            team=spec.team,
            work_class=spec.work_class,
            resources=spec.resources,
            run_time_ms=task.remaining_ms,
            urgent=spec.urgent,
            checkpointable=spec.checkpointable,
            command=spec.command,
            checkpoint=task.checkpoint,
            avoided_racks=self._racks_in_use(job),
            avoided_workers=task.failed_workers,
            reservation=reservation,
        )

    def _racks_in_use(self, job):
        if job.spec.work_class is not model.WorkClass.SERVICE:
            return ()
        racks = {
            self.racks_by_worker.get(task.worker_id, "")
            for task in job.tasks
            if task.is_live and task.worker_id
        }
        return tuple(sorted(racks - {""}))[:AVOIDED_RACKS_MAX]


def item_id_of(job_id, index):
    """Returns the id of a task's or a gang's item in the queue."""
    return f"{job_id}/{index}"
