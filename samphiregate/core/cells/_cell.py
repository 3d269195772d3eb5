"""Scheduler of one cell, run by the VM that owns the cell."""

from samphiregate.core import base
from samphiregate.core.cells import _backoff
from samphiregate.core.cells import _cell_state
from samphiregate.core.cells import _cold_endpoints
from samphiregate.core.cells import _data_locality
from samphiregate.core.cells import _delay_scheduling
from samphiregate.core.cells import _drained_data_centres
from samphiregate.core.cells import _expected_end
from samphiregate.core.cells import _incarnations
from samphiregate.core.cells import _inheritance
from samphiregate.core.cells import _leases
from samphiregate.core.cells import _load
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _order_answers
from samphiregate.core.cells import _periodic_checks
from samphiregate.core.cells import _planner
from samphiregate.core.cells import _policy_queries
from samphiregate.core.cells import _poll_failures
from samphiregate.core.cells import _polling
from samphiregate.core.cells import _preemption
from samphiregate.core.cells import _progress
from samphiregate.core.cells import _reconciliation
from samphiregate.core.cells import _record_limits
from samphiregate.core.cells import _records
from samphiregate.core.cells import _registrations
from samphiregate.core.cells import _run_time_reports
from samphiregate.core.cells import _starts
from samphiregate.core.cells import _stragglers
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _wait_reports

CHECK_INTERVAL_MS = 100
PLAN_INTERVAL_MS = 10  # one plan for the events in between
MAX_PLAN_INTERVAL_MS = 100
PLAN_REST_FACTOR = 3  # multiple of a plan's time that other work gets
LISTED_POLL_INTERVAL_MS = 100  # while the store lists it as silent
QUERY_INTERVAL_MS = 150  # from an answer to the next query of the stage
QUERY_RETRY_MS = 200  # after a failed query


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
    far_x : float
        How many times as long tasks take away from their data or gang.
    max_place_wait_ms : int
        How long tasks wait at most for a place near their data or gang.
    max_hold_ms : int
        To which endpoints shorten longer leases, on their clocks.
    record_limits : RecordLimits
    unix_ms : int
        Time of day, from which the ages of stored jobs are counted; 0 if it
        is not known.

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
        far_x=1.0,
        max_place_wait_ms=_delay_scheduling.DEFAULT_MAX_PLACE_WAIT_MS,
        max_hold_ms=_leases.DEFAULT_MAX_HOLD_MS,
        record_limits=_record_limits.RecordLimits(),
        unix_ms=0,
    ):
        inherited_leases = _inheritance.InheritedLeases(
            epoch=epoch,
            lease_ms=inherited_lease_ms,
            extension_ms=_leases.max_lease_ms(lease_ms),
            history=epoch_history or _inheritance.EpochHistory(),
            record=silent_record or _inheritance.SilentRecord(),
        )
        self.cell_state = _cell_state.CellState(
            epoch,
            inherited_leases,
            locality=_data_locality.DataLocality(far_x),
            max_hold_ms=max_hold_ms,
            record_limits=record_limits,
            unix_ms=unix_ms,
        )
        self._lease_ms = lease_ms
        self._poller = _polling.EndpointPoller(
            cell_state=self.cell_state, lease_ms=lease_ms
        )
        self._order_answers = _order_answers.OrderAnswers(
            cell_state=self.cell_state, poller=self._poller, lease_ms=lease_ms
        )
        self._next_check_ms = 0
        self.plan_due_ms = None
        self._next_plan_ms = 0
        self._has_planned = False  # in the latest call of `plan`
        self._failure_backoff = _backoff.FailureBackoff()
        slowness_estimator = _stragglers.SlownessEstimator()
        self._stragglers = _stragglers.StragglerDetector(
            cell_state=self.cell_state, slowness_estimator=slowness_estimator
        )
        self.policy_queries = _policy_queries.PolicyQueries(
            add_action=self.cell_state.add_action
        )
        delay_scheduling = _delay_scheduling.DelayScheduling(
            cell_state=self.cell_state, max_wait_ms=max_place_wait_ms
        )
        preemption = _preemption.Preemption(cell_state=self.cell_state)
        self._preemption = preemption
        self._planner = _planner.Planner(
            cell_state=self.cell_state,
            policy_queries=self.policy_queries,
            failure_backoff=self._failure_backoff,
            check_endpoint=self._poller.check,
            slowness_estimator=slowness_estimator,
            candidate_policies=(
                preemption,
                _cold_endpoints.ColdEndpoints(),
                _expected_end.ExpectedEndPolicy(cell_state=self.cell_state),
                delay_scheduling,
            ),
            unplaced_policies=(
                self.cell_state.fair_shares,
                preemption,
                delay_scheduling,
            ),
            may_make_room=preemption.may_make_room,
        )
        self._run_time_reporter = _run_time_reports.RunTimeReporter(
            cell_state=self.cell_state
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

    def pop_records(self, max_items, max_bytes):
        """Returns changed records, to be stored in one transaction.

        The records no longer count as changed afterwards.

        Parameters
        ----------
        max_items : int
        max_bytes : int
            Size of all values, if there is more than one record.

        Returns
        -------
        list of StoredRow
        """
        rows = []
        item_count = size_bytes = 0
        for job_id in list(self.cell_state.dirty_ids):
            entry = self.cell_state.entry_by_id.get(job_id)
            if entry is not None:
                row = _progress.to_row(
                    entry,
                    self._registration_of,
                    self.cell_state.record_limits,
                )
                item_count += row.item_count
                size_bytes += row.size_bytes
                is_full = item_count > max_items or size_bytes > max_bytes
                if rows and is_full:
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

    def _registration_of(self, endpoint_id):
        return self.cell_state.endpoint_by_id[endpoint_id].registration

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

    def expired_cancellations(self, now_ms):
        """Returns the ids of cancelled jobs that will not be submitted."""
        return self.cell_state.early_cancellations.expired(now_ms)

    # Entry points of the state machine

    def handle(self, event, now_ms):
        """Applies one event; see `StateMachine.handle`."""
        if self.cell_state.began_ms is None:
            self.cell_state.began_ms = now_ms
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
        self._has_planned = now_ms >= self._next_plan_ms
        if self._has_planned:
            self.plan_due_ms = None
            self._next_plan_ms = now_ms + PLAN_INTERVAL_MS
            self._planner.plan(now_ms, query_slots)
            self.cell_state.has_planned = True
        else:
            self.plan_due_ms = self._next_plan_ms
        self._poller.plan(now_ms)
        return self._drain()

    def poll(self, now_ms):
        """Polls endpoints, and so extends the leases of their runs.

        For an owner that may not start tasks now.

        Returns
        -------
        list of Action
        """
        self.cell_state.now_ms = now_ms
        self._poller.plan(now_ms)
        return self._drain()

    def note_plan_time(self, elapsed_ms):
        """Delays the next plan if the latest call of `plan` placed tasks.

        So an owner with too little processor time for its plans still
        handles answers, polls and the VM's own lease in time. Calls that
        came before a plan was due do not put it off.

        Parameters
        ----------
        elapsed_ms : int
            How long the latest call of `plan` took.
        """
        if not self._has_planned:
            return
        self._preemption.note_plan_time(elapsed_ms, self.cell_state.now_ms)
        rest_ms = min(elapsed_ms * PLAN_REST_FACTOR, MAX_PLAN_INTERVAL_MS)
        earliest_ms = self.cell_state.now_ms + elapsed_ms + rest_ms
        self._next_plan_ms = max(self._next_plan_ms, earliest_ms)
        if self.plan_due_ms is not None:
            self.plan_due_ms = self._next_plan_ms

    def _run_periodic_checks(self, now_ms, unix_ms):
        """Runs the checks that are not needed in every plan."""
        _periodic_checks.release_expired(self.cell_state, now_ms)
        self.cell_state.fair_shares.count_room(
            self.cell_state.endpoint_by_id.values(), now_ms
        )
        _periodic_checks.list_silent(self.cell_state, now_ms)
        self.cell_state.store_moved()
        _periodic_checks.update_occurrences(self.cell_state, now_ms, unix_ms)
        _periodic_checks.move_off_draining(self.cell_state, now_ms)
        self.cell_state.retry_stops(now_ms)
        self._stragglers.stop_slow_runs(now_ms)
        self._planner.plan_copies(now_ms, self._stragglers.should_copy)
        self._run_time_reporter.report(now_ms)
        _drained_data_centres.report_empty(self.cell_state, now_ms)
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
    def _(self, event: _messages.CancellationRemoved, now_ms):
        del now_ms
        self.cell_state.early_cancellations.discard(event.job_id)

    @_apply.register
    def _(self, event: _messages.JobRemoved, now_ms):
        del now_ms
        self.cell_state.remove_job(event.job_id)

    @_apply.register
    def _(self, event: _messages.AccountsChanged, now_ms):
        self.cell_state.account_limits.set_accounts(event.accounts)
        self.cell_state.fair_shares.set_accounts(event.accounts, now_ms)
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
                self.cell_state.note_stored(entry, version)
                _starts.send_planned(
                    self.cell_state, entry, now_ms, self._lease_ms
                )
        for endpoint in self.cell_state.endpoint_by_id.values():
            if endpoint.unstored_ends and endpoint.advance_stored(
                self.cell_state.stored_version
            ):
                self._poller.make_due(endpoint, now_ms)

    @_apply.register
    def _(self, event: _messages.RecordRefused, now_ms):
        self.cell_state.refuse_record(event.job_id, now_ms)

    @_apply.register
    def _(self, event: _messages.RecordDelayed, now_ms):
        del now_ms
        entry = self.cell_state.entry_by_id.get(event.job_id)
        if entry is not None and not entry.is_record_refused:
            self.cell_state.dirty_ids[event.job_id] = None

    @_apply.register
    def _(self, event: _messages.SilentRecordStored, now_ms):
        del event, now_ms
        self.cell_state.inherited_leases.record_stored()

    # Registrations and polls of endpoints

    @_apply.register
    def _(self, event: _messages.EndpointRegistered, now_ms):
        restarted = _registrations.apply_registered(
            self.cell_state, event, now_ms
        )
        if restarted is not None:
            self._poller.poll(restarted, now_ms, wait_ms=0)

    @_apply.register
    def _(self, event: _messages.EndpointDeregistered, now_ms):
        del now_ms
        _registrations.apply_deregistered(self.cell_state, event)

    @_apply.register
    def _(self, event: _messages.DataCentresDrained, now_ms):
        _drained_data_centres.apply_drained(self.cell_state, event, now_ms)

    @_apply.register
    def _(self, event: _messages.EndpointPolled, now_ms):
        endpoint = self.cell_state.endpoint_by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        endpoint.polls_in_flight = max(0, endpoint.polls_in_flight - 1)
        if _incarnations.is_outdated(endpoint, event):
            return
        expected_runs = dict(endpoint.bookings_by_run)
        _reconciliation.apply_poll(self.cell_state, endpoint, event, now_ms)
        self._settle_inherited_lease(endpoint, now_ms)
        self._failure_backoff.record_ends(event, expected_runs, now_ms)
        self._stragglers.apply_poll(event, expected_runs, now_ms)
        self.cell_state.run_times.apply_poll(
            endpoint, event, expected_runs, now_ms
        )
        endpoint.advance_stored(self.cell_state.stored_version)
        self._poller.delay_until_stored(endpoint, now_ms)
        _starts.send_planned_on(
            self.cell_state, endpoint, now_ms, self._lease_ms
        )
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
        _poll_failures.apply_failure(self.cell_state, endpoint, event, now_ms)
        if not event.fenced:
            _starts.send_planned_on(
                self.cell_state, endpoint, now_ms, self._lease_ms
            )

    # Answers to start and stop orders

    @_apply.register
    def _(self, event: _messages.StartAnswered, now_ms):
        self._order_answers.apply_start(event, now_ms)

    @_apply.register
    def _(self, event: _messages.StopAnswered, now_ms):
        self._order_answers.apply_stop(event, now_ms)

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
