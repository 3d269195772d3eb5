"""Starts, ends, stops and reports: what the loop does around decisions."""

from bench.decisions import _records
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import preemption
from samphiregate.core import quarantine
from samphiregate.core import queueing
from samphiregate.core import sizing

CHECKPOINT_MS = 500
STOP_MS = 100
FAILURE_MS = 100
MAX_ATTEMPTS = 3


class Lifecycle:
    """Carries out what the policies decide.

    Parameters
    ----------
    player : Player
        The play that this is a part of.
    """

    def __init__(self, player):
        self.player = player
        self.arm = player.arm
        self.site = player.site
        self.oracle = player.oracle
        self.outcome = player.outcome
        self.books_by_worker = {
            worker.worker_id: placement.WorkerAllocation(worker)
            for worker in player.trace.workers
        }
        self.blocked_workers = set()
        self.pending_by_worker = {}

    def begin(self):
        """Takes in a first report from each worker."""
        interval_ms = self.player.trace.report_ms
        for number, worker_id in enumerate(self.books_by_worker):
            self._deliver_report(worker_id, 0, *self.site.report(worker_id))
            offset_ms = 1 + number * interval_ms // len(self.books_by_worker)
            self.player.at(offset_ms, self._measure, worker_id)

    def tick(self):
        """Lets quarantined workers be probed when their time has come."""
        for worker_id in tuple(self.blocked_workers):
            if self._may_use(worker_id):
                self.blocked_workers.discard(worker_id)
                self._tell_room(worker_id)

    def arrive(self, work):
        """Queues a new work."""
        work.queued_ms = self.player.now_ms
        self._queue(work, at_front=False)

    def cancel(self, work):
        """Cancels a work, whether it waits or runs."""
        if work.is_over:
            return
        work.is_over = True
        now_ms = self.player.now_ms
        if work.runs:
            for run in tuple(work.runs):
                self._end_run(run, finished=True)
        else:
            self._unqueue(work)
        task_ids = [_task_id(work, index) for index in range(work.units)]
        self.oracle.cancelled(task_ids)
        self._withdraw_gang(work, now_ms)
        self.player.wake()

    def booking_for(self, work):
        """Returns what is booked for each task of a work."""
        if self.arm.sizes is None or work.work_class is model.WorkClass.GANG:
            return work.declared
        question = sizing.ComputeBooking(
            work.team,
            work.work_class,
            work.declared,
            self.player.largest_capacity,
        )
        return self.arm.sizes.choose(question, self.player.now_ms)

    def start(self, work, booking, places):
        """Starts all tasks of a work; returns whether they were accepted."""
        now_ms = self.player.now_ms
        refusing = self._refusing(booking, places)
        if refusing is not None:
            self.outcome.refused += 1
            book = self.books_by_worker[refusing]
            book.record_refused_start(booking, now_ms)
            self._tell_room(refusing)
            return False
        self._unqueue(work)
        self._withdraw_gang(work, now_ms)
        for index, worker_id in enumerate(places):
            run = self._book(work, index, worker_id, booking)
            self._begin_run(run)
        self.oracle.gang_started(len(work.runs), work.units)
        return True

    def preempt_for(self, work, booking):
        """Stops what costs least for urgent work; returns whether it may."""
        if self.arm.victims is None or work.units > 1:
            return False
        question = preemption.SelectVictims(
            work.team, booking, frozenset(work.failed_on)
        )
        victims = self.arm.victims.choose(question, self.player.now_ms)
        if victims is None:
            return False
        self._unqueue(work)
        run = self._book(work, 0, victims.worker_id, booking)
        by_id = self.site.runs_by_worker[victims.worker_id]
        runs = [by_id[task_id] for task_id in victims.task_ids]
        self.outcome.preempted += len(runs)
        self.pending_by_worker.setdefault(victims.worker_id, []).append(run)
        for victim in runs:
            self._stop_run(victim)
        return True

    def foreign_wants(self, change):
        """The older scheduler tries to start a task."""
        if not self.site.admits(change.worker_id, change.amount):
            self.outcome.foreign_refused += 1
            return
        self.site.change_foreign(change.worker_id, change.amount, 1)
        self.oracle.foreign(change.worker_id, change.amount, 1)
        end_ms = self.player.now_ms + change.run_ms
        self.player.at(end_ms, self._foreign_ended, change)

    def _foreign_ended(self, change):
        self.site.change_foreign(change.worker_id, change.amount, -1)
        self.oracle.foreign(change.worker_id, change.amount, -1)

    def _queue(self, work, *, at_front):
        item = queueing.QueuedItem(
            item_id=work.work_id,
            team=work.team,
            work_class=work.work_class,
            resources=work.declared,
            units=work.units,
            urgent=work.urgent,
            enqueued_ms=self.player.now_ms,
        )
        event = queueing.ItemQueued(item, at_front)
        self.arm.queue.observe(event, self.player.now_ms)
        self.player.meter.change_queued(work.team, 1)
        self.player.wake()

    def _unqueue(self, work):
        event = queueing.ItemRemoved(work.work_id)
        self.arm.queue.observe(event, self.player.now_ms)
        self.player.meter.change_queued(work.team, -1)

    def _withdraw_gang(self, work, now_ms):
        if self.player.starved_ms_by_work.pop(work.work_id, None) is None:
            return
        event = placement.GangWithdrawn(work.work_id)
        self.arm.placement.observe(event, now_ms)

    def _refusing(self, booking, places):
        needed = {}
        for worker_id in places:
            before = needed.get(worker_id, model.Resources())
            needed[worker_id] = before + booking
        for worker_id, amount in needed.items():
            if not self.site.admits(worker_id, amount):
                return worker_id
        return None

    def _book(self, work, index, worker_id, booking):
        player = self.player
        run = _records.Run(
            work, _task_id(work, index), worker_id, booking, work.used
        )
        work.runs.append(run)
        self.books_by_worker[worker_id].set_booking(run.task_id, booking)
        running = player.running_by_team.get(work.team, 0)
        player.running_by_team[work.team] = running + 1
        event = queueing.ItemStarted(
            work.team, booking, work.work_class, work.urgent
        )
        self.arm.queue.observe(event, player.now_ms)
        end_ms = player.now_ms + (work.declared_run_ms or work.left_ms)
        event = placement.TaskPlaced(work.work_id, worker_id, end_ms)
        self.arm.placement.observe(event, player.now_ms)
        if self.arm.quarantine_policy is not None:
            event = quarantine.TaskStarting(worker_id, work.work_id)
            self.arm.quarantine_policy.observe(event, player.now_ms)
        self._tell_room(worker_id)
        return run

    def _begin_run(self, run):
        player, work = self.player, run.work
        run.started_ms = player.now_ms
        if work.first_start_ms is None:
            work.first_start_ms = player.now_ms
        work.attempts += 1
        self.outcome.starts += 1
        self.site.start(run)
        self.oracle.started(run.task_id, work.team, run.worker_id, run.booked)
        player.meter.change_used(work.team, run.booked, 1)
        if self.arm.victims is not None:
            self._tell_running(run)
        fails = work.fails or run.worker_id in player.trace.bad_workers
        length_ms = work.left_ms
        if fails:
            length_ms = min(FAILURE_MS, work.left_ms - 1)
        callback = self._failed if fails else self._finished
        run.end_ms = player.now_ms + length_ms
        player.at(run.end_ms, callback, run)

    def _tell_running(self, run):
        work = run.work
        event = preemption.TaskRunning(
            run.task_id,
            work.team,
            run.worker_id,
            run.booked,
            work.work_class,
            run.started_ms,
            work.checkpointable,
            work.urgent,
        )
        self.arm.victims.observe(event, self.player.now_ms)

    def _finished(self, run):
        if run.is_over or run.is_stopping:
            return
        if self.player.now_ms < run.end_ms:
            self.player.at(run.end_ms, self._finished, run)
            return
        work = run.work
        self._report_end(run, succeeded=True)
        self._end_run(run, finished=True)
        if self.arm.sizes is not None:
            event = sizing.UsageObserved(
                work.team, work.work_class, work.declared, run.used
            )
            self.arm.sizes.observe(event, self.player.now_ms)
        if not work.runs:
            work.done_ms = self.player.now_ms
            work.is_over = True

    def _failed(self, run):
        if run.is_over or run.is_stopping:
            return
        work = run.work
        self.outcome.failed_attempts += 1
        work.failed_on.add(run.worker_id)
        work.failed_ms = self.player.now_ms
        self._report_end(run, succeeded=False)
        for each in tuple(work.runs):
            self._end_run(each, finished=False)
        if self._may_retry(work):
            self._queue(work, at_front=True)
        else:
            work.is_over = True
            self.outcome.failed_works.append(work)

    def _may_retry(self, work):
        if self.arm.quarantine_policy is None:
            return work.attempts < MAX_ATTEMPTS
        question = quarantine.MayRetryJob(work.work_id)
        return self.arm.quarantine_policy.choose(question, self.player.now_ms)

    def _report_end(self, run, *, succeeded):
        if self.arm.quarantine_policy is None:
            return
        event = quarantine.TaskEnded(
            run.worker_id, run.work.work_id, succeeded
        )
        self.arm.quarantine_policy.observe(event, self.player.now_ms)

    def _may_use(self, worker_id):
        if self.arm.quarantine_policy is None:
            return True
        question = quarantine.MayUseWorker(worker_id)
        return self.arm.quarantine_policy.choose(question, self.player.now_ms)

    def _stop_run(self, run):
        for each in run.work.runs:
            if not each.is_stopping:
                self._begin_stop(each)

    def _begin_stop(self, run):
        run.is_stopping = True
        if self.arm.victims is not None:
            event = preemption.TaskNotPreemptible(run.task_id)
            self.arm.victims.observe(event, self.player.now_ms)
        saves = run.work.checkpointable
        delay_ms = CHECKPOINT_MS if saves else STOP_MS
        end_ms = self.player.now_ms + delay_ms
        self.player.at(end_ms, self._stopped, run, saves)

    def _stopped(self, run, saves):
        if run.is_over:
            return
        work = run.work
        ran_ms = self.player.now_ms - run.started_ms
        if saves:
            work.left_ms = max(work.left_ms - ran_ms, 1)
        else:
            self.outcome.lost_ms += ran_ms
        self._end_run(run, finished=False)
        if not work.runs:
            self._queue(work, at_front=True)

    def _end_run(self, run, *, finished):
        player, work = self.player, run.work
        if run.is_over:
            return
        run.is_over = True
        work.runs.remove(run)
        began = run.task_id in self.site.runs_by_worker[run.worker_id]
        if began:
            self.site.end(run)
            self.oracle.ended(run.task_id, finished=finished)
            player.meter.change_used(work.team, run.booked, -1)
            ran_ms = player.now_ms - run.started_ms
            self.outcome.own_core_ms += ran_ms * run.used.cpu_millis // 1000
        self.books_by_worker[run.worker_id].release(run.task_id)
        player.running_by_team[work.team] -= 1
        player.meter.limited_teams.discard(work.team)
        event = queueing.ItemEnded(
            work.team, run.booked, work.work_class, work.urgent
        )
        self.arm.queue.observe(event, player.now_ms)
        event = placement.TaskRemoved(work.work_id, run.worker_id)
        self.arm.placement.observe(event, player.now_ms)
        if self.arm.victims is not None:
            event = preemption.TaskNotPreemptible(run.task_id)
            self.arm.victims.observe(event, player.now_ms)
        self._tell_room(run.worker_id)
        self._begin_pending(run.worker_id)
        player.wake()

    def _begin_pending(self, worker_id):
        pending = self.pending_by_worker.get(worker_id, ())
        for run in tuple(pending):
            if run.is_over:
                pending.remove(run)
            elif self.site.admits(worker_id, run.booked):
                pending.remove(run)
                self._begin_run(run)

    def _has_pending(self, worker_id):
        return bool(self.pending_by_worker.get(worker_id))

    def _tell_room(self, worker_id):
        if not self._may_use(worker_id):
            if worker_id not in self.blocked_workers:
                self.blocked_workers.add(worker_id)
                event = placement.WorkerRemoved(worker_id)
                self._tell_placement(event)
            return
        self.blocked_workers.discard(worker_id)
        book = self.books_by_worker[worker_id]
        room = book.room(self.player.now_ms)
        self._tell_placement(placement.WorkerRoomChanged(book.worker, room))

    def _tell_placement(self, event):
        self.arm.placement.observe(event, self.player.now_ms)
        if self.arm.victims is not None:
            self.arm.victims.observe(event, self.player.now_ms)

    def _measure(self, worker_id):
        trace, now_ms = self.player.trace, self.player.now_ms
        if self.site.is_over_used(worker_id):
            self.outcome.over_used_ms += trace.report_ms
        report = self.site.report(worker_id)
        self.player.at(
            now_ms + trace.report_lag_ms,
            self._deliver_report,
            worker_id,
            now_ms,
            *report,
        )
        self.player.at(now_ms + trace.report_ms, self._measure, worker_id)

    def _deliver_report(self, worker_id, measured_ms, total, used_by_task):
        book = self.books_by_worker[worker_id]
        now_ms = self.player.now_ms
        book.observe_report(total, used_by_task, measured_ms, now_ms)
        self._tell_room(worker_id)
        self.player.wake()
        if self.arm.ladder is not None and not self._has_pending(worker_id):
            self._cut_back(worker_id, book.excess())

    def _cut_back(self, worker_id, excess):
        ladder, now_ms = self.arm.ladder, self.player.now_ms
        ladder.observe(sizing.WorkerExcess(worker_id, excess), now_ms)
        runs_by_id = self.site.runs_by_worker[worker_id]
        sizes = tuple(
            sizing.TaskUsage(
                run.task_id,
                run.work.work_class,
                run.booked,
                run.used,
                run.work.checkpointable,
                run.work.urgent,
                run.is_throttled,
            )
            for run in runs_by_id.values()
            if not run.is_stopping
        )
        question = sizing.SelectReclaimAction(worker_id, excess, sizes)
        answer = ladder.choose(question, now_ms)
        if answer is None:
            return
        step = answer.step.value
        counts = self.outcome.cut_back
        counts[step] = counts.get(step, 0) + len(answer.task_ids)
        for task_id in answer.task_ids:
            run = runs_by_id[task_id]
            if answer.step is sizing.ReclaimStep.THROTTLE:
                self._throttle(run)
            else:
                self._stop_run(run)

    def _throttle(self, run):
        run.is_throttled = True
        left_ms = run.end_ms - self.player.now_ms
        slowdown = max(run.used.cpu_millis / run.booked.cpu_millis, 1.0)
        run.end_ms = self.player.now_ms + int(left_ms * slowdown)
        run.used = model.Resources(
            min(run.used.cpu_millis, run.booked.cpu_millis),
            min(run.used.memory_mib, run.booked.memory_mib),
            run.used.accelerators,
        )


def _task_id(work, index):
    return model.TaskId(work.work_id, index)
