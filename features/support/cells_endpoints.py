"""Endpoints for simulations of a cell: they run tasks in virtual time."""

import math

import attrs

from features.support import cells_places
from features.support import cells_work
from samphiregate.core import cells

RESTART_MS = 700
MAX_LEASE_MS = 10_000  # a longer lease is shortened to this
# For how long a capacity counts after it has shrunk: until the owner must
# know, and the endpoint has written its entry once more.
SHRUNK_COUNTS_MS = 4_500


@attrs.define(eq=False)
class FakeRun:
    """A run on a fake endpoint."""

    task_id: cells.TaskId
    run: int
    step: cells.Step
    job_id: str
    started_ms: int
    ends_ms: float
    reason: cells.EndReason = cells.EndReason.DONE
    saved_ms: float = 0.0  # work done by earlier runs
    stopped_ms: int | None = None

    def percent(self, now_ms):
        """Returns the progress of the task; 100 for one that never ends."""
        if math.isinf(self.ends_ms):
            return 100.0
        span_ms = self.saved_ms + self.ends_ms - self.started_ms
        return 100 * self.worked_ms(now_ms) / span_ms

    def worked_ms(self, now_ms):
        """Returns the work done, with that of earlier runs."""
        until_ms = now_ms if self.stopped_ms is None else self.stopped_ms
        return self.saved_ms + until_ms - self.started_ms


class FakeEndpoint:
    """An endpoint that runs tasks for their estimated time.

    Attributes
    ----------
    is_partitioned : bool
        Whether calls and answers get lost; runs continue.
    silent_from_epoch : float
        Owners of this and later epochs do not reach it.
    start_delay_ms : int
        If above 0, starts are not answered and are executed after this delay.
    failing_ms : int or None
        After which a task fails that is to fail; None for its usual time.
    fails_all_tasks : bool
        Whether every task ends as failed.
    unanswered_share : float
        Share of starts and polls that are executed but not answered.
    slowness : float
        Factor by which tasks take longer; infinite if they stall.
    stop_ms : int
        How long a run goes on that is ordered to stop.
    register_ms : int
        After a restart, until its new entry is in the store.
    clock_rate : float
        How fast its steady clock goes, which begins with each incarnation.
    address : str
    is_replaced : bool
        Whether another endpoint answers at its address.
    """

    def __init__(
        self,
        endpoint_id,
        capacity,
        simulation,
        labels=("a", "r1"),
        service=cells_work.SERVICE,
        address=None,
        data_centre="north",
    ):
        self.endpoint_id = endpoint_id
        self.capacity = capacity
        self.labels = labels
        self.service = service
        self.data_centre = data_centre
        self.is_partitioned = False
        self.silent_from_epoch = math.inf
        self.start_delay_ms = 0
        self.fails_all_tasks = False
        self.failing_ms = None
        self.unanswered_share = 0.0
        self.slowness = 1.0
        self.draining = False
        self.remaining_ms = None
        self.cold_until_ms = 0
        self.is_replaced = False
        self.register_ms = 0
        self.stop_ms = 0
        self.clock_rate = 1.0
        self.address = address or endpoint_id
        self.restarting_until_ms = 0
        self._simulation = simulation
        self.incarnation = 1
        self._clear(simulation.now_ms)

    @property
    def reachable(self):
        """Whether calls of the owner reach the endpoint now."""
        return self.is_reachable_for(self._simulation.epoch)

    def is_reachable_at(self, address):
        """Whether calls of the owner to an address reach the endpoint now."""
        return self.reachable and address == self.address

    def is_reachable_for(self, epoch):
        """Whether calls of the owner of an epoch reach the endpoint now."""
        is_restarting = self._simulation.now_ms < self.restarting_until_ms
        return (
            not self.is_partitioned
            and not is_restarting
            and epoch < self.silent_from_epoch
        )

    @property
    def clock_ms(self):
        """Its steady clock now."""
        up_ms = max(self._simulation.now_ms - self._up_since_ms, 0)
        return round(up_ms * self.clock_rate)

    def extend_lease(self, deadline_ms):
        """Extends the lease; it never becomes shorter.

        Parameters
        ----------
        deadline_ms : int
            On its own clock.
        """
        longest_ms = self.clock_ms + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def _clear(self, up_since_ms):
        self._up_since_ms = up_since_ms
        self.epoch = 0
        self.deadline_ms = 0
        self.run_by_key = {}
        self.last_ended_run_by_task = {}
        self.done_tasks = set()
        self.ended = []
        self.ended_count = 0
        self._earlier_capacities = []

    def restart(self, away_ms=RESTART_MS):
        """Starts a new incarnation; all runs are lost.

        Open connections end at once; new ones fail for `away_ms`. Then it
        writes its entry.
        """
        self.incarnation += 1
        until_ms = self._simulation.now_ms + away_ms
        self.restarting_until_ms = max(self.restarting_until_ms, until_ms)
        self._clear(self.restarting_until_ms)
        self._simulation.at(away_ms + self.register_ms, self._register)

    def _register(self):
        if self.reachable:
            self._simulation.announce(self.registration)

    def change_capacity(self, cpu):
        """Changes the capacity of the present incarnation."""
        until_ms = self._simulation.now_ms + SHRUNK_COUNTS_MS
        self._earlier_capacities.append((until_ms, self.capacity))
        self.capacity = attrs.evolve(self.capacity, cpu_millis=cpu)

    def is_over_capacity(self, now_ms):
        """Whether its runs exceed every capacity that still counts."""
        counted = [self.capacity] + [
            capacity
            for until_ms, capacity in self._earlier_capacities
            if until_ms > now_ms
        ]
        return not any(self.used.fits_in(one) for one in counted)

    def leave(self):
        """Ends for good: all runs are lost, and no call is answered."""
        self.restart()
        self.restarting_until_ms = math.inf

    @property
    def registration(self):
        """The endpoint's registration."""
        return cells.EndpointRegistered(
            self.endpoint_id,
            self.service,
            self.address,
            self.data_centre,
            self.capacity,
            self.labels,
            self.draining,
            self.incarnation,
            self.remaining_ms,
            max(self.cold_until_ms - self._simulation.now_ms, 0),
        )

    def start(self, action, epoch, now_ms):
        """Executes a start."""
        outcomes = cells.StartOutcome
        if epoch < self.epoch:
            return outcomes.FENCED
        self.epoch = epoch
        if action.deadline_ms <= self.clock_ms:
            return outcomes.TOO_LATE
        self.extend_lease(action.deadline_ms)
        key = (action.task_id, action.run)
        if key in self.run_by_key:
            return outcomes.STARTED
        if action.run <= self.last_ended_run_by_task.get(action.task_id, 0):
            return outcomes.SUPERSEDED
        step = self._simulation.step_of(action.task_id)
        work_ms = self._simulation.work_ms(action.task_id) * self.slowness
        work_ms *= cells_places.factor(self._simulation, self, step)
        reason = cells.EndReason.DONE
        if self.fails_all_tasks or self._simulation.always_fails(
            action.task_id
        ):
            reason = cells.EndReason.FAILED
            if self.failing_ms is not None:
                work_ms = self.failing_ms
        saved_ms = float(action.saved or 0)
        ends_ms = now_ms + work_ms - saved_ms
        if step.long_running and not self.fails_all_tasks:
            ends_ms = math.inf
        self.run_by_key[key] = FakeRun(
            action.task_id,
            action.run,
            step,
            action.task_id.job_id,
            now_ms,
            ends_ms,
            reason,
            saved_ms,
        )
        self._simulation.note_start(self, action)
        cells_places.slow_if_spread(self._simulation, self.run_by_key[key])
        self._simulation.crashes.note_start(self, key)
        return outcomes.STARTED

    def start_delayed(self, action, epoch, incarnation):
        """Executes a delayed start unless the endpoint has restarted."""
        if incarnation == self.incarnation:
            self.start(action, epoch, self._simulation.now_ms)

    def stop(self, action, epoch, now_ms):
        """Executes a stop."""
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        key = (action.task_id, action.run)
        run = self.run_by_key.get(key)
        if run is not None:
            self._simulation.stops.append((*key, self.endpoint_id))
        if run is not None and self.stop_ms:
            run.ends_ms = min(run.ends_ms, now_ms + self.stop_ms)
            run.reason = cells.EndReason.STOPPED
            run.stopped_ms = now_ms
        else:
            self._end(key, cells.EndReason.STOPPED)
        last_ended_run = self.last_ended_run_by_task.get(action.task_id, 0)
        self.last_ended_run_by_task[action.task_id] = max(
            last_ended_run, action.run
        )
        return True

    def poll(self, action, epoch, sent_ms, now_ms):
        """Executes a poll."""
        if epoch < self.epoch:
            return cells.PollFailed(self.endpoint_id, fenced=True)
        self.epoch = epoch
        if action.deadline_ms is not None:
            self.extend_lease(action.deadline_ms)
        self._simulation.invariants.check_discarded_ends(
            self, action.stored_upto
        )
        self.ended = [
            row for row in self.ended if row.number > action.stored_upto
        ]
        return cells.EndpointPolled(
            self.endpoint_id,
            sent_ms,
            self.clock_ms,
            self.incarnation,
            tuple(
                cells.RunningRow(
                    run.task_id, run.run, percent=run.percent(now_ms)
                )
                for run in self.run_by_key.values()
            ),
            tuple(self.ended),
        )

    def advance(self, now_ms):
        """Ends the runs that are due; returns whether any run ended."""
        before = self.ended_count
        lease_has_ended = self.deadline_ms <= self.clock_ms
        if lease_has_ended:
            # The owner may restart tasks whose end it did not receive within
            # the lease, so a second run is not a violation.
            self.done_tasks.clear()
        for key, run in list(self.run_by_key.items()):
            if run.ends_ms <= now_ms:
                self._end(key, run.reason)
            elif lease_has_ended:
                self._end(key, cells.EndReason.LEASE_EXPIRED)
        return self.ended_count > before

    def fail(self, run):
        """Ends a run as failed."""
        self._end((run.task_id, run.run), cells.EndReason.FAILED)

    def _end(self, key, reason):
        run = self.run_by_key.pop(key, None)
        if run is None:
            return
        if run.step.gang and reason is cells.EndReason.DONE:
            reason = self._simulation.gang_end_reason(run)
        self.ended_count += 1
        now_ms = self._simulation.now_ms
        saved = ""
        if reason is cells.EndReason.STOPPED and run.step.checkpoints:
            saved = str(run.worked_ms(now_ms))
        elif reason is cells.EndReason.STOPPED:
            self._simulation.note_thrown_away(run, now_ms)
        self.ended.append(
            cells.EndedRow(
                self.ended_count, run.task_id, run.run, reason, saved
            )
        )
        last_ended_run = self.last_ended_run_by_task.get(run.task_id, 0)
        self.last_ended_run_by_task[run.task_id] = max(last_ended_run, run.run)
        if reason is cells.EndReason.DONE:
            self.done_tasks.add(run.task_id)

    @property
    def used(self):
        """Resources that the runs reserve."""
        total = cells.Resources()
        for run in self.run_by_key.values():
            total += run.step.booked
        return total
