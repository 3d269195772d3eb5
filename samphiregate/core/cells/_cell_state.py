"""State of a cell: its jobs, endpoints and runs, and the changes to them."""

import collections

import attrs

from samphiregate.core.cells import _account_limits
from samphiregate.core.cells import _compact_records
from samphiregate.core.cells import _data_locality
from samphiregate.core.cells import _drained_data_centres
from samphiregate.core.cells import _early_cancellations
from samphiregate.core.cells import _endpoint_failures
from samphiregate.core.cells import _fair_shares
from samphiregate.core.cells import _inheritance
from samphiregate.core.cells import _isolation
from samphiregate.core.cells import _job_entries
from samphiregate.core.cells import _leases
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _order
from samphiregate.core.cells import _preemption_counts
from samphiregate.core.cells import _progress
from samphiregate.core.cells import _record_limits
from samphiregate.core.cells import _restored_runs
from samphiregate.core.cells import _run_gaps
from samphiregate.core.cells import _run_times
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work

FIRST_EPOCH = 1
RUN_NUMBER_SKIP = 1_000  # skips numbers that earlier owners may have used
STOP_RETRY_MS = 400
RECENT_URGENT_MS = 5_000
MAX_READ_DELAY_MS = 2_000  # from the accept of a job, for an owner in service


@attrs.define(eq=False)
class CellState:
    """State that the components of a cell share.

    Parameters
    ----------
    epoch : int
        Fencing token of this ownership.
    inherited_leases : InheritedLeases
    max_hold_ms : int
        To which endpoints shorten longer leases, on their clocks.
    record_limits : RecordLimits

    Attributes
    ----------
    entry_by_id : dict
        `JobEntry` by job id.
    endpoint_by_id : dict
        `Endpoint` by endpoint id.
    startable_stages : dict
        Stages whose tasks can be started, keyed by job id and stage key.
    dirty_ids : dict
        Ids of jobs whose record is to be stored, in insertion order.
    moved_ids : dict
        Ids of jobs whose runs changed in a way that is stored with the next
        write of the record, or after the next periodic check.
    early_cancellations : EarlyCancellations
        Of jobs whose cancellation was read before the job itself.
    actions : list
        Actions that `Cell` has not returned yet.
    run_times : RunTimes
        Expected run times of tasks.
    run_gaps : RunGaps
        Long-running tasks without a run.
    runs_lost_by_reason : collections.Counter
        Number of runs that were lost with their endpoint.
    endpoint_failures : EndpointFailures
    fair_shares : FairShares
    isolated_runs : IsolatedRuns
    drained_data_centres : DrainedDataCentres
    locality : DataLocality
    place_waits : collections.Counter
        Number of waits for a better place, by what became of them.
    preemptions : PreemptionCounts
    began_ms : int or None
        When the owner handled its first event; None before.
    unix_ms, now_ms : int
        Time of day and monotonic time of the latest event or plan.
    has_planned : bool
        Whether the owner has loaded the cell and planned since.
    """

    epoch: int
    inherited_leases: _inheritance.InheritedLeases
    entry_by_id: dict = attrs.field(factory=dict)
    endpoint_by_id: dict = attrs.field(factory=dict)
    startable_stages: dict = attrs.field(factory=dict)
    dirty_ids: dict = attrs.field(factory=dict)
    moved_ids: dict = attrs.field(factory=dict)
    early_cancellations: _early_cancellations.EarlyCancellations = attrs.field(
        factory=_early_cancellations.EarlyCancellations
    )
    actions: list = attrs.field(factory=list)
    account_limits: _account_limits.AccountLimits = attrs.field(
        factory=_account_limits.AccountLimits
    )
    fair_shares: _fair_shares.FairShares = attrs.field(
        factory=_fair_shares.FairShares
    )
    account_by_name: dict = attrs.field(factory=dict)
    queue_by_name: dict = attrs.field(factory=dict)
    share_limiter: _order.ShareLimiter = attrs.field(
        factory=_order.ShareLimiter
    )
    run_times: _run_times.RunTimes = attrs.field(init=False)
    run_gaps: _run_gaps.RunGaps = attrs.field(factory=_run_gaps.RunGaps)
    runs_lost_by_reason: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    endpoint_failures: _endpoint_failures.EndpointFailures = attrs.field(
        factory=_endpoint_failures.EndpointFailures
    )
    isolated_runs: _isolation.IsolatedRuns = attrs.field(
        factory=_isolation.IsolatedRuns
    )
    drained_data_centres: _drained_data_centres.DrainedDataCentres = (
        attrs.field(factory=_drained_data_centres.DrainedDataCentres)
    )
    locality: _data_locality.DataLocality = _data_locality.DataLocality()
    place_waits: collections.Counter = attrs.field(factory=collections.Counter)
    preemptions: _preemption_counts.PreemptionCounts = attrs.field(
        factory=_preemption_counts.PreemptionCounts
    )
    max_hold_ms: int = _leases.DEFAULT_MAX_HOLD_MS
    record_limits: _record_limits.RecordLimits = _record_limits.RecordLimits()
    began_ms: int | None = None
    unix_ms: int = 0
    now_ms: int = 0
    has_planned: bool = False
    _unstored_since_by_id: dict = attrs.field(factory=dict)
    _last_urgent_ms_by_account: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.run_times = _run_times.RunTimes(locality=self.locality)

    @property
    def has_earlier_owners(self):
        """Whether others owned the cell before."""
        return self.epoch > FIRST_EPOCH

    def add_action(self, action):
        """Adds an action to those that `Cell` returns next."""
        self.actions.append(action)

    def log_decision(self, event, job_id="", **fields):
        """Adds the action that logs a decision."""
        self.add_action(_messages.LogDecision(event, job_id, fields))

    # Jobs and their stages

    def add_job(self, event, now_ms):
        """Adds a job that was read from the store.

        Parameters
        ----------
        event : JobStored
        now_ms : int
        """
        job = event.job
        accepted_ms = now_ms - self._age_ms(job)
        objective = _order.objective_ms(job, self.run_times)
        entry = _job_entries.JobEntry(
            job=job,
            arrived_ms=now_ms,
            accepted_ms=accepted_ms,
            left_ms_by_step=_order.left_ms_by_step(job, self.run_times),
            due_ms=round(accepted_ms + objective),
            useful_until_ms=round(
                accepted_ms + objective * _order.LATE_FACTOR
            ),
        )
        account = self.account_by_name.get(job.account)
        if account is not None:
            entry.within_share = self.share_limiter.try_consume(
                account, accepted_ms
            )
        if job.queue.is_urgent and event.record is None:
            self._last_urgent_ms_by_account[job.account] = now_ms
        self.entry_by_id[job.job_id] = entry
        if job.schedule is None:
            entry.add_occurrence(0)
        if event.record is not None:
            record = self._fitting_record(event)
            _progress.restore(entry, record)
            entry.is_compacted = entry.state.is_final and not job.steps
            _restored_runs.restore(self, entry, record, now_ms)
        self.log_decision(
            "job queued",
            job.job_id,
            queue=job.queue.name,
            account=job.account,
            within_share=entry.within_share,
            age_ms=now_ms - accepted_ms,
            state=entry.state.value,
        )
        _restored_runs.log_restored(self, entry)
        if self.early_cancellations.discard(job.job_id):
            self.cancel(job.job_id, now_ms)
        self.open_ready_stages(entry, now_ms)

    def _age_ms(self, job):
        """Returns how long ago a job was accepted; 0 if that is not known.

        An owner that has planned before reads jobs soon after their accept,
        so a higher age shows that a VM's clock is off.
        """
        if not job.accepted_unix_ms or not self.unix_ms:
            return 0
        age_ms = max(self.unix_ms - job.accepted_unix_ms, 0)
        if self.has_planned and age_ms > MAX_READ_DELAY_MS:
            return 0
        return age_ms

    def _fitting_record(self, event):
        expanded = _compact_records.expand(event.record, event.job)
        record = expanded.fitting(event.job)
        if record != expanded:
            self.log_decision(
                "record unreadable",
                event.job.job_id,
                reason="it names steps or tasks that the job lacks",
            )
        return record

    def cancel(self, job_id, now_ms):
        """Ends a job as cancelled at once, or when it is read if later."""
        entry = self.entry_by_id.get(job_id)
        if entry is None:
            self.early_cancellations.add(job_id, now_ms)
        else:
            self.finish(entry, _work.JobState.CANCELLED, now_ms)

    def refuse_record(self, job_id, now_ms):
        """Makes a record smaller that the store refuses as too large.

        The runs that it would have added were not ordered yet: they are
        released, and fewer tasks of the job may be open from now on. If none
        were added, the record gets smaller as runs end. The job is given up
        if it can't be done so, and its record is stored without its steps.
        """
        entry = self.entry_by_id.get(job_id)
        if entry is None or entry.is_record_refused:
            return
        added = entry.unstored_bookings()
        for booking in added:
            self.stop(booking, now_ms)
        if added:
            entry.max_open = entry.count_open() + len(added) // 2
            self.mark_dirty(entry)
        max_open = self.max_open_tasks_of(entry)
        if not entry.state.is_final and (
            _record_limits.needed_open_tasks(entry.job) <= max_open
            and (added or any(entry.bookings()))
        ):
            return
        entry.is_record_refused = True
        self.finish(
            entry,
            _work.JobState.FAILED,
            now_ms,
            reason="its record is too large for the store",
        )
        self.dirty_ids[job_id] = None

    def max_open_tasks_of(self, entry):
        """Returns how many tasks of a job may be open at a time."""
        most = self.record_limits.max_open_tasks
        return most if entry.max_open is None else min(most, entry.max_open)

    def has_recent_urgent_work(self, account):
        """Whether the account has urgent jobs that were read recently.

        These are jobs of priority 0, read within the last
        `RECENT_URGENT_MS`, but not those that an earlier owner has begun.
        """
        read_ms = self._last_urgent_ms_by_account.get(account)
        return read_ms is not None and self.now_ms - read_ms < RECENT_URGENT_MS

    def has_any_recent_urgent_work(self):
        """As `has_recent_urgent_work`, for any account."""
        read_ms = max(self._last_urgent_ms_by_account.values(), default=None)
        return read_ms is not None and self.now_ms - read_ms < RECENT_URGENT_MS

    def open_ready_stages(self, entry, now_ms, occurrence=None):
        """Opens the stages of a job whose dependencies are done.

        Of one occurrence, or of all if it is None.
        """
        if entry.state.is_final:
            return
        stages = entry.stages_by_key.values()
        if occurrence is not None:
            stages = entry.stages_of(occurrence)
        for stage in stages:
            if stage.opened_ms is None and entry.are_dependencies_done(stage):
                stage.opened_ms = now_ms
                self._note_occurrence(stage, now_ms)
                self.mark_startable(stage)
                self.run_gaps.open_stage(stage, now_ms)

    def _note_occurrence(self, stage, now_ms):
        """Notes when an occurrence was due, also if it is read later."""
        entry = stage.entry
        schedule = entry.job.schedule
        if schedule is None or stage.occurrence in (
            entry.began_ms_by_occurrence
        ):
            return
        due_unix_ms = schedule.due_unix_ms(stage.occurrence)
        age_ms = max(self.unix_ms - due_unix_ms, 0)
        entry.began_ms_by_occurrence[stage.occurrence] = now_ms - age_ms

    def mark_startable(self, stage):
        """Marks an opened stage for the planner."""
        if stage.opened_ms is not None and not stage.entry.state.is_final:
            self.startable_stages[stage.entry.job.job_id, stage.key] = stage

    def mark_dirty(self, entry):
        """Marks the record of a job as changed, so that it is stored."""
        entry.version += 1
        self.dirty_ids[entry.job.job_id] = None
        self._unstored_since_by_id.setdefault(entry.job.job_id, self.now_ms)

    def note_stored(self, entry, version):
        """Notes that a version of the record of a job is in the store."""
        entry.stored_version = max(entry.stored_version, version)
        job_id = entry.job.job_id
        self._unstored_since_by_id.pop(job_id, None)
        if entry.stored_version < entry.version:
            self._unstored_since_by_id[job_id] = self.now_ms

    @property
    def store_wait_ms(self):
        """For how long a changed record has waited for the store by now."""
        since_ms = next(iter(self._unstored_since_by_id.values()), self.now_ms)
        return self.now_ms - since_ms

    def mark_moved(self, entry):
        """Marks a job one of whose runs was released or adopted.

        Until its record is stored, a later owner waits for the run that is
        gone, or does not know of the one that exists. The version stays, so
        a final state that is stored remains visible.
        """
        self.moved_ids[entry.job.job_id] = None

    def store_moved(self):
        """Marks the records of the jobs that `mark_moved` has marked."""
        self.dirty_ids.update(self.moved_ids)
        self.moved_ids.clear()

    def finish(self, entry, state, now_ms, **log_fields):
        """Gives a job its final state and stops its runs."""
        if entry.state.is_final:
            return
        entry.state = state
        entry.ended_unix_ms = self.unix_ms
        self.mark_dirty(entry)
        for stage in entry.stages_by_key.values():
            self.startable_stages.pop((entry.job.job_id, stage.key), None)
        for booking in list(entry.bookings()):
            self.stop(booking, now_ms)
        self.log_decision(
            "job ended",
            entry.job.job_id,
            state=state.value,
            elapsed_ms=now_ms - entry.arrived_ms,
            **log_fields,
        )

    def remove_job(self, job_id):
        """Removes an ended job that the store no longer holds."""
        self.early_cancellations.discard(job_id)
        entry = self.entry_by_id.get(job_id)
        if entry is not None and entry.state.is_final:
            del self.entry_by_id[job_id]
            self._unstored_since_by_id.pop(job_id, None)

    def failures_per_s(self, service):
        """Returns how often an endpoint of a service fails by itself."""
        return self.endpoint_failures.failures_per_s(
            service, self.endpoint_by_id.values(), self.now_ms
        )

    # Runs and their bookings

    def reserve(self, task, run, endpoint, now_ms):
        """Reserves room for a run that may exist from now on."""
        booking = _tasks.Booking(
            task,
            run,
            endpoint.endpoint_id,
            now_ms,
            progressed_ms=now_ms,
            address=endpoint.registration.address,
            incarnation_unix_ms=endpoint.registration.started_unix_ms,
            expected_ms=self.run_times.expected_stage_ms(task.stage, endpoint),
        )
        task.last_run = max(task.last_run, run)
        task.stage.entry.note_open(task)
        if _isolation.needs_isolation(self, task):
            self.isolated_runs.add(booking)
        endpoint.reserve(booking)
        entry = task.stage.entry
        entry.has_started = True
        if entry.state is _work.JobState.QUEUED:
            entry.state = _work.JobState.RUNNING
        self.account_limits.add(entry.job.account, booking.step.demand)
        self.fair_shares.add_run(booking, now_ms)
        return booking

    def accepts_starts(self, endpoint):
        """Whether an endpoint, in its data centre, may start tasks now."""
        return endpoint.may_start and self.drained_data_centres.accepts(
            endpoint
        )

    def release(self, booking, *, has_begun=True):
        """Releases the room of a run that is known not to exist.

        Parameters
        ----------
        booking : Booking
        has_begun : bool
            False if no endpoint began the run.
        """
        endpoint = self.endpoint_by_id[booking.endpoint_id]
        if booking.key not in endpoint.bookings_by_run:
            return
        endpoint.release(booking)
        self.isolated_runs.remove(booking)
        entry = booking.task.stage.entry
        self.account_limits.remove(entry.job.account, booking.step.demand)
        self.fair_shares.remove_run(booking, self.now_ms)
        self.mark_moved(entry)
        if has_begun:
            booking.task.interrupted_ms = self.now_ms
        if booking.task.is_waiting:
            self.mark_startable(booking.task.stage)
            self.run_gaps.note_release(booking, self.now_ms)

    def confirm_start(self, booking, now_ms):
        """Marks a run as running, as its endpoint confirmed the start."""
        booking.state = _tasks.RunState.RUNNING
        gap = self.run_gaps.close(booking.task, now_ms)
        if gap is not None:
            self.log_decision(
                "task runs again",
                booking.task.task_id.job_id,
                task=booking.task.task_id.position,
                run=booking.run,
                endpoint=booking.endpoint_id,
                waited_ms=now_ms - gap.since_ms,
                inherited=gap.inherited,
            )

    def stop(self, booking, now_ms):
        """Orders a run to stop; its room stays reserved until it has ended."""
        if booking.state is _tasks.RunState.PLANNED:
            self.release(booking, has_begun=False)
            return
        booking.state = _tasks.RunState.STOPPING
        booking.stop_sent_ms = now_ms
        endpoint = self.endpoint_by_id[booking.endpoint_id]
        self.send_stop(endpoint, booking.task.task_id, booking.run)

    def send_stop(self, endpoint, task_id, run):
        """Orders an endpoint to stop a run, or to refuse a later start."""
        self.add_action(
            _messages.StopTask(
                endpoint.endpoint_id,
                endpoint.registration.address,
                task_id,
                run,
            )
        )

    def retry_stops(self, now_ms):
        """Repeats stop orders that were not confirmed."""
        for endpoint in self.endpoint_by_id.values():
            if endpoint.failed_polls:
                continue
            for booking in endpoint.bookings_in(_tasks.RunState.STOPPING):
                waited = now_ms - (booking.stop_sent_ms or 0)
                if booking.stop_confirmed_ms is None and (
                    waited > STOP_RETRY_MS
                ):
                    self.stop(booking, now_ms)

    def stop_gang(self, stage, run, now_ms):
        """Stops the other members of a gang's run after one has ended."""
        for task in stage.tasks:
            booking = task.bookings_by_run.get(run)
            stopping = _tasks.RunState.STOPPING
            if booking is not None and booking.state is not stopping:
                self.stop(booking, now_ms)

    def remove_if_idle(self, endpoint):
        """Removes a deregistered endpoint without runs."""
        is_needed = endpoint.bookings_by_run or endpoint.lapsed_bookings
        if not endpoint.registered and not is_needed:
            self.endpoint_by_id.pop(endpoint.endpoint_id, None)
            self.inherited_leases.forget(endpoint.endpoint_id)

    # Records

    def stored_version(self, job_id):
        """Returns the stored record version of a job; None if not held."""
        entry = self.entry_by_id.get(job_id)
        return None if entry is None else entry.stored_version
