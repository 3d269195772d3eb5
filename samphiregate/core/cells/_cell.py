"""Scheduler of one cell, run by the VM that owns the cell."""

import attrs

from samphiregate.core import base
from samphiregate.core.cells import _backoff
from samphiregate.core.cells import _cell_state
from samphiregate.core.cells import _endpoints
from samphiregate.core.cells import _inheritance
from samphiregate.core.cells import _load
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _planner
from samphiregate.core.cells import _policy_queries
from samphiregate.core.cells import _polling
from samphiregate.core.cells import _reconciliation
from samphiregate.core.cells import _records
from samphiregate.core.cells import _stragglers
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _wait_reports

CHECK_INTERVAL_MS = 100
PLAN_INTERVAL_MS = 10  # one plan for the events in between
MAX_PLAN_INTERVAL_MS = 100
PLAN_REST_FACTOR = 3  # multiple of a plan's time that other work gets
POLL_RETRY_MS = 300  # the first retry is sent at once
LISTED_POLL_INTERVAL_MS = 100  # while the store lists it as silent
MAX_START_ATTEMPTS = 3
NO_ROOM_BACKOFF_MS = 300
NOT_STARTED_BACKOFF_MS = 500
QUERY_INTERVAL_MS = 150  # from an answer to the next query of the stage
QUERY_RETRY_MS = 200  # after a failed query

# Refusals of a repeated start order that do not show whether an earlier copy
# of the order started the run.
INCONCLUSIVE_OUTCOMES = frozenset(
    (
        _messages.StartOutcome.NO_ROOM,
        _messages.StartOutcome.SUPERSEDED,
        _messages.StartOutcome.TOO_LATE,
        _messages.StartOutcome.NO_TICKET,
        _messages.StartOutcome.NOT_STARTED,
    )
)


class Cell(base.StateMachine):
    """Schedules the jobs of one cell on its endpoints.

    Parameters
    ----------
    epoch : int
        Fencing token, higher than that of every earlier owner.
    lease_ms : int
        Lease in milliseconds that each order grants to the runs of an
        endpoint.
    inherited_lease_ms : int
        How long in milliseconds runs that earlier owners started may go on
        after the end of the epoch in which their endpoint last answered.
    epoch_history : EpochHistory or None
        None if nothing is known of earlier epochs.
    silent_record : SilentRecord or None
        As an earlier owner stored it; None if there is none.

    Attributes
    ----------
    cell_state : CellState
    policy_queries : PolicyQueries
    plan_due_ms : int or None
        When `plan` is to be called for the events since the last plan; None
        if there was no event.

    Notes
    -----
    `handle` applies one event to the state; `plan` then places the tasks
    that can start, at most once in `PLAN_INTERVAL_MS`, as a burst of events
    would otherwise cost a plan each. Polls are not delayed.
    """

    def __init__(
        self,
        *,
        epoch,
        lease_ms,
        inherited_lease_ms,
        epoch_history=None,
        silent_record=None,
    ):
        inherited_leases = _inheritance.InheritedLeases(
            epoch=epoch,
            lease_ms=inherited_lease_ms,
            history=epoch_history or _inheritance.EpochHistory(),
            record=silent_record or _inheritance.SilentRecord(),
        )
        self.cell_state = _cell_state.CellState(epoch, inherited_leases)
        self._lease_ms = lease_ms
        self._poller = _polling.EndpointPoller(
            cell_state=self.cell_state, lease_ms=lease_ms
        )
        self._next_check_ms = 0
        self.plan_due_ms = None
        self._next_plan_ms = 0
        self._failure_backoff = _backoff.FailureBackoff()
        slowness_estimator = _stragglers.SlownessEstimator()
        self._stragglers = _stragglers.StragglerDetector(
            cell_state=self.cell_state, slowness_estimator=slowness_estimator
        )
        self.policy_queries = _policy_queries.PolicyQueries(
            add_action=self.cell_state.add_action
        )
        self._planner = _planner.Planner(
            cell_state=self.cell_state,
            policy_queries=self.policy_queries,
            is_backing_off=self._failure_backoff.is_backing_off,
            check_endpoint=self._poller.check,
            slowness_estimator=slowness_estimator,
        )
        self._wait_reporter = _wait_reports.WaitReporter(
            cell_state=self.cell_state,
            is_backing_off=self._failure_backoff.is_backing_off,
        )

    # Read access for callers and for the store

    def state_of(self, job_id):
        """Returns the `JobState` to report to callers; None if unknown."""
        entry = self.cell_state.entry_by_id.get(job_id)
        return None if entry is None else entry.visible_state

    def count_waiting(self, queue_name):
        """Returns the number of jobs of a queue that have not started."""
        return sum(
            not entry.has_started
            and entry.job.queue.name == queue_name
            and not entry.state.is_final
            for entry in self.cell_state.entry_by_id.values()
        )

    def load(self):
        """Returns the load of the cell; see `_load.describe`."""
        return _load.describe(self.cell_state)

    def pop_records(self, max_items):
        """Returns changed records, to be stored with up to `max_items` items.

        The records no longer count as changed afterwards.

        Returns
        -------
        list of StoredRow
        """
        rows = []
        item_count = 0
        for job_id in list(self.cell_state.dirty_ids):
            entry = self.cell_state.entry_by_id.get(job_id)
            if entry is not None:
                row = entry.to_row(self._address_of)
                item_count += row.item_count
                if item_count > max_items:
                    break
                rows.append(row)
                entry.is_compacted |= row.job is not None
            del self.cell_state.dirty_ids[job_id]
            self.cell_state.moved_ids.pop(job_id, None)
        return rows

    def pop_silent_record(self):
        """Returns the changed record of silent endpoints, encoded, or None.

        It must not be stored later than records that are popped after it.
        """
        record = self.cell_state.inherited_leases.pop_record()
        return None if record is None else _records.encode(record)

    def _address_of(self, endpoint_id):
        return self.cell_state.endpoint_by_id[endpoint_id].registration.address

    def expired_jobs(self, unix_ms, retention_ms):
        """Returns the ids of jobs that ended more than `retention_ms` ago.

        Jobs with runs that may still exist, or whose end is yet to be
        stored, are left out.
        """
        return [
            job_id
            for job_id, entry in self.cell_state.entry_by_id.items()
            if entry.visible_state.is_final
            and entry.ended_unix_ms
            and unix_ms - entry.ended_unix_ms > retention_ms
            and not any(entry.bookings())
            and job_id not in self.cell_state.moved_ids
        ]

    # Entry points of the state machine

    def handle(self, event, now_ms):
        """Applies one event; see `StateMachine.handle`."""
        self.cell_state.now_ms = now_ms
        self._apply(event, now_ms)
        self.plan_due_ms = self._next_plan_ms
        return self._drain()

    def plan(self, now_ms, unix_ms, query_slots=1):
        """Places tasks, polls endpoints and queries the policy service.

        Parameters
        ----------
        now_ms : int
            Monotonic time in milliseconds.
        unix_ms : int
            Time of day, for occurrences that are due.
        query_slots : int
            Number of VMs that can put one query each to the policy service.

        Returns
        -------
        list of Action
        """
        self.cell_state.unix_ms = unix_ms
        self.cell_state.now_ms = now_ms
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + CHECK_INTERVAL_MS
            self._run_periodic_checks(now_ms, unix_ms)
        if now_ms >= self._next_plan_ms:
            self.plan_due_ms = None
            self._next_plan_ms = now_ms + PLAN_INTERVAL_MS
            self._planner.plan(now_ms, query_slots)
        else:
            self.plan_due_ms = self._next_plan_ms
        self._poller.plan(now_ms)
        return self._drain()

    def note_plan_time(self, elapsed_ms):
        """Delays the next plan by the time that the last one took.

        So an owner with too little processor time for its plans still
        handles answers, polls and the VM's own lease in time.

        Parameters
        ----------
        elapsed_ms : int
        """
        rest_ms = min(elapsed_ms * PLAN_REST_FACTOR, MAX_PLAN_INTERVAL_MS)
        earliest_ms = self.cell_state.now_ms + elapsed_ms + rest_ms
        self._next_plan_ms = max(self._next_plan_ms, earliest_ms)
        if self.plan_due_ms is not None:
            self.plan_due_ms = self._next_plan_ms

    def _run_periodic_checks(self, now_ms, unix_ms):
        """Runs the checks that are not needed in every plan."""
        self._release_expired(now_ms)
        self.cell_state.store_moved()
        self._add_occurrences(now_ms, unix_ms)
        self._move_off_draining(now_ms)
        self.cell_state.retry_stops(now_ms)
        self._stragglers.stop_slow_runs(now_ms)
        self._planner.plan_copies(now_ms)
        self._wait_reporter.report(now_ms)

    def _drain(self):
        actions = self.cell_state.actions
        self.cell_state.actions = []
        return actions

    # Jobs and configuration

    @base.singledispatchmethod
    def _apply(self, event, now_ms):
        del event, now_ms

    @_apply.register
    def _(self, event: _messages.JobStored, now_ms):
        if event.job.job_id not in self.cell_state.entry_by_id:
            self.cell_state.add_job(event, now_ms)

    @_apply.register
    def _(self, event: _messages.JobCancelled, now_ms):
        self.cell_state.cancel(event.job_id, now_ms)

    @_apply.register
    def _(self, event: _messages.JobRemoved, now_ms):
        del now_ms
        self.cell_state.remove_job(event.job_id)

    @_apply.register
    def _(self, event: _messages.AccountsChanged, now_ms):
        del now_ms
        self.cell_state.account_limits.set_accounts(event.accounts)
        self.cell_state.account_by_name = {
            account.name: account for account in event.accounts
        }
        self.cell_state.queue_by_name = {
            queue.name: queue for queue in event.queues
        }

    @_apply.register
    def _(self, event: _messages.RecordsStored, now_ms):
        for job_id, version in event.versions:
            entry = self.cell_state.entry_by_id.get(job_id)
            if entry is not None:
                entry.stored_version = max(entry.stored_version, version)
                self.cell_state.send_planned_starts(
                    entry, now_ms, self._lease_ms
                )
        for endpoint in self.cell_state.endpoint_by_id.values():
            if endpoint.unstored_ends and endpoint.advance_stored(
                self.cell_state.stored_version
            ):
                self._poller.make_due(endpoint, now_ms)

    @_apply.register
    def _(self, event: _messages.SilentRecordStored, now_ms):
        del event, now_ms
        self.cell_state.inherited_leases.record_stored()

    # Registrations and polls of endpoints

    @_apply.register
    def _(self, event: _messages.EndpointRegistered, now_ms):
        endpoint = self.cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            endpoint = _endpoints.Endpoint(event)
            endpoint.update_leave_time(now_ms)
            self.cell_state.endpoint_by_id[event.endpoint_id] = endpoint
            self.cell_state.log_decision(
                "endpoint listed",
                endpoint=event.endpoint_id,
                service=event.service,
                draining=event.draining,
            )
            return
        if event.draining != endpoint.registration.draining:
            self.cell_state.log_decision(
                "endpoint draining" if event.draining else "endpoint ready",
                endpoint=event.endpoint_id,
                remaining_ms=event.remaining_ms,
            )
        previous = endpoint.registration
        if (
            event.started_unix_ms
            and event.started_unix_ms < previous.started_unix_ms
        ):
            # The registration was written before a restart that is already
            # known.
            event = attrs.evolve(
                event, started_unix_ms=previous.started_unix_ms
            )
        restarted = (
            previous.started_unix_ms
            and event.started_unix_ms > previous.started_unix_ms
        )
        if restarted:
            self.cell_state.release_lost_runs(
                endpoint, "it was registered again after a restart", now_ms
            )
            endpoint.reset_incarnation()
        endpoint.update_registration(event)
        endpoint.registered = True
        endpoint.update_leave_time(now_ms)

    @_apply.register
    def _(self, event: _messages.EndpointDeregistered, now_ms):
        del now_ms
        endpoint = self.cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        endpoint.registered = False
        self.cell_state.log_decision(
            "endpoint unlisted",
            endpoint=event.endpoint_id,
            runs=len(endpoint.bookings_by_run),
        )
        self.cell_state.remove_if_idle(endpoint)

    @_apply.register
    def _(self, event: _messages.EndpointPolled, now_ms):
        endpoint = self.cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        endpoint.polls_in_flight = max(0, endpoint.polls_in_flight - 1)
        expected_runs = dict(endpoint.bookings_by_run)
        _reconciliation.apply_poll(self.cell_state, endpoint, event, now_ms)
        self._settle_inherited_lease(endpoint, now_ms)
        self._failure_backoff.record_ends(event, expected_runs, now_ms)
        self._stragglers.apply_poll(event, expected_runs, now_ms)
        endpoint.advance_stored(self.cell_state.stored_version)
        self._poller.delay_until_stored(endpoint, now_ms)
        self.cell_state.remove_if_idle(endpoint)

    def _settle_inherited_lease(self, endpoint, now_ms):
        """Keeps an endpoint as unanswered until the store shows its answer.

        Until then no order may extend its lease.
        """
        leases = self.cell_state.inherited_leases
        leases.record_answer(endpoint.endpoint_id)
        if not leases.may_extend(endpoint.endpoint_id):
            endpoint.has_answered = False
            endpoint.next_poll_ms = now_ms + LISTED_POLL_INTERVAL_MS

    @_apply.register
    def _(self, event: _messages.PollFailed, now_ms):
        endpoint = self.cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        endpoint.polls_in_flight = max(0, endpoint.polls_in_flight - 1)
        endpoint.next_poll_ms = now_ms + (
            POLL_RETRY_MS if endpoint.failed_polls else 0
        )
        if event.fenced:
            self.cell_state.add_action(_messages.StepDown(event.endpoint_id))
            return
        endpoint.failed_polls += 1
        if endpoint.failed_polls == 1:
            self.cell_state.log_decision(
                "endpoint unreachable",
                endpoint=event.endpoint_id,
                process_gone=event.process_gone,
                reason=event.reason,
                runs=len(endpoint.bookings_by_run),
                left_ms=max(endpoint.lease_until_ms - now_ms, 0),
                inherited=not endpoint.has_answered,
            )
        if event.process_gone:
            self.cell_state.release_lost_runs(
                endpoint, "its process has ended", now_ms
            )
            endpoint.reset_incarnation()
            self.cell_state.remove_if_idle(endpoint)
        else:
            self.cell_state.inherited_leases.record_silence(event.endpoint_id)

    # Answers to start and stop orders

    @_apply.register
    def _(self, event: _messages.StartAnswered, now_ms):
        endpoint = self.cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        key = (event.task_id, event.run)
        booking = endpoint.bookings_by_run.get(key)
        if booking is None:
            return
        outcome = event.outcome
        if outcome is _messages.StartOutcome.STARTED:
            booking.confirmed_ms = now_ms
            if booking.state is _tasks.RunState.STARTING:
                self.cell_state.confirm_start(booking, now_ms)
            return
        self.cell_state.log_decision(
            "start failed",
            event.task_id.job_id,
            task=event.task_id.position,
            run=event.run,
            endpoint=event.endpoint_id,
            outcome=outcome.value,
        )
        if outcome is _messages.StartOutcome.UNKNOWN:
            if booking.state is _tasks.RunState.STARTING:
                self._on_start_unanswered(endpoint, booking, now_ms)
            return
        if booking.start_attempts > 1 and outcome in INCONCLUSIVE_OUTCOMES:
            self._on_repeated_start_refused(endpoint, booking, outcome, now_ms)
        else:
            self._on_start_refused(endpoint, booking, outcome, now_ms)

    def _on_repeated_start_refused(self, endpoint, booking, outcome, now_ms):
        """Handles the refusal of a repeated order to start a run.

        An earlier copy of the order may have started the run. A superseded
        run has either ended there or will never start, which the next poll
        shows. In all other cases the run is stopped first.
        """
        if outcome is not _messages.StartOutcome.SUPERSEDED:
            self.cell_state.stop(booking, now_ms)
            return
        # Counts as confirmed, so that a later poll releases the run if the
        # endpoint does not list it.
        booking.state = _tasks.RunState.RUNNING
        booking.confirmed_ms = now_ms
        self._poller.poll(endpoint, now_ms, wait_ms=0)

    def _on_start_unanswered(self, endpoint, booking, now_ms):
        """Repeats an unanswered order to start; stops the run at the limit.

        An endpoint starts a run once, however often it is ordered.
        """
        self._poller.record_unanswered(now_ms)
        if booking.start_attempts < MAX_START_ATTEMPTS and endpoint.may_start:
            self.cell_state.send_start(
                booking, endpoint, now_ms, self._lease_ms
            )
        else:
            self.cell_state.stop(booking, now_ms)

    def _on_start_refused(self, endpoint, booking, outcome, now_ms):
        outcomes = _messages.StartOutcome
        self.cell_state.release(booking, has_begun=False)
        if booking.step.gang:
            self.cell_state.stop_gang(booking.task.stage, booking.run, now_ms)
        if outcome is outcomes.NO_ROOM:
            endpoint.backoff_until_ms = now_ms + NO_ROOM_BACKOFF_MS
        elif outcome is outcomes.FENCED:
            self.cell_state.add_action(
                _messages.StepDown(endpoint.endpoint_id)
            )
        elif outcome is outcomes.SUPERSEDED:
            # The endpoint has seen run numbers that the record of this owner
            # does not contain.
            booking.task.last_run += _cell_state.RUN_NUMBER_SKIP
        elif outcome is outcomes.TOO_LATE:
            # The estimate of the endpoint's clock may be wrong; the answer to
            # the next poll corrects it.
            endpoint.has_answered = False
        elif outcome is outcomes.NO_TICKET:
            stage = booking.task.stage
            ticket = stage.ticket_by_id.get(endpoint.endpoint_id)
            if ticket is not None:
                ticket.valid_until_ms = 0
        elif outcome is outcomes.NOT_STARTED:
            endpoint.backoff_until_ms = now_ms + NOT_STARTED_BACKOFF_MS
        elif outcome is outcomes.WRONG_ENDPOINT:
            self.cell_state.release_lost_runs(
                endpoint, "another endpoint answers at its address", now_ms
            )
            endpoint.reset_incarnation()

    @_apply.register
    def _(self, event: _messages.StopAnswered, now_ms):
        endpoint = self.cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        booking = endpoint.bookings_by_run.get((event.task_id, event.run))
        if booking is None or not event.confirmed:
            return
        if booking.stop_confirmed_ms is None:
            booking.stop_confirmed_ms = now_ms
            self._poller.make_due(endpoint, now_ms)
            self._poller.poll(endpoint, now_ms, wait_ms=0)

    # Answers of the policy service

    @_apply.register
    def _(self, event: _messages.PolicyAnswered, now_ms):
        stage = self._find_stage(event)
        if stage is None:
            return
        self.policy_queries.finish_query(stage, now_ms + QUERY_INTERVAL_MS)
        stage.queried_ids.update(event.queried_ids)
        for endpoint_id, text in event.ticket_by_id.items():
            stage.ticket_by_id[endpoint_id] = _tasks.Ticket(
                text, event.valid_until_ms
            )
        self.cell_state.log_decision(
            "advice taken",
            event.job_id,
            step=stage.key,
            asked=len(event.queried_ids),
            allowed=len(event.ticket_by_id),
        )

    @_apply.register
    def _(self, event: _messages.PolicyQueryFailed, now_ms):
        stage = self._find_stage(event)
        if stage is not None:
            self.policy_queries.finish_query(stage, now_ms + QUERY_RETRY_MS)

    def _find_stage(self, event):
        entry = self.cell_state.entry_by_id.get(event.job_id)
        if entry is None:
            return None
        return entry.stages_by_key.get((event.occurrence, event.step))

    # Periodic checks

    def _release_expired(self, now_ms):
        """Releases the runs of unreachable endpoints after lease expiry."""
        for endpoint in list(self.cell_state.endpoint_by_id.values()):
            lease_expired = (
                endpoint.failed_polls
                and endpoint.bookings_by_run
                and endpoint.lease_until_ms <= now_ms
            )
            if lease_expired:
                self.cell_state.release_lost_runs(
                    endpoint, "its lease has expired", now_ms
                )
            self.cell_state.remove_if_idle(endpoint)

    def _add_occurrences(self, now_ms, unix_ms):
        for entry in self.cell_state.entry_by_id.values():
            schedule = entry.job.schedule
            if schedule is None or entry.state.is_final:
                continue
            for occurrence in range(schedule.count):
                due_unix_ms = schedule.due_unix_ms(occurrence)
                present = (occurrence, 0) in entry.stages_by_key
                if due_unix_ms <= unix_ms and not present:
                    entry.add_occurrence(occurrence)
                    self.cell_state.open_ready_stages(entry, now_ms)

    def _move_off_draining(self, now_ms):
        """Stops runs on draining endpoints that would not end in time."""
        for endpoint in self.cell_state.endpoint_by_id.values():
            if not endpoint.registration.draining:
                continue
            for booking in endpoint.bookings_in(_tasks.RunState.RUNNING):
                if _outlasts_endpoint(booking, endpoint, now_ms):
                    self.cell_state.log_decision(
                        "run moved off",
                        booking.task.task_id.job_id,
                        task=booking.task.task_id.position,
                        run=booking.run,
                        endpoint=endpoint.endpoint_id,
                    )
                    self.cell_state.stop(booking, now_ms)


def _outlasts_endpoint(booking, endpoint, now_ms):
    """Whether a run will probably not end before its endpoint leaves."""
    if booking.step.long_running:
        return True
    ends_ms = booking.sent_ms + booking.step.estimate_ms
    return max(ends_ms, now_ms) > endpoint.leaves_ms
