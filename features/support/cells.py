"""Simulates a cell with fake endpoints and a fake store in virtual time.

Invariants are checked during the simulation; see `cells_invariants`.
"""

import functools
import heapq
import itertools
import random

import attrs

from features.support import cells_crashes
from features.support import cells_drains
from features.support import cells_endpoints
from features.support import cells_invariants
from samphiregate.core import cells
from samphiregate import logs

LINK_DELAY_MS = 1
STORE_WRITE_MS = 6
MAX_COMMIT_BYTES = 262_144
RECORD_RETRY_MS = 1_000
TICK_MS = 100
UNREACHABLE_TIMEOUT_MS = 1_000
ORDER_TIMEOUT_MS = 400
FAILED_QUERY_MS = 900
LEASE_MS = 5_000
LAPSED_GRACE_MS = 2_000  # for which an owner polls after its lease's end
VM_LEASE_MS = 2_000  # until an owner that was revoked knows at the latest
INHERITED_LEASE_MS = 7_400


class CellSimulation:
    """A cell, its endpoints and its store on a shared virtual clock.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    violations : list of str
        Violated invariants, as seen by endpoints.
    start_ms_by_task : dict
        First start of each task.
    stops : list
        Task, run and endpoint of each run that an order to stop ended.
    max_overestimate_share : float
        Maximum share by which estimates are too long.
    underestimate_factor : float
        Factor by which tasks take longer than their estimates.
    store_write_ms : int
        How long a write takes.
    max_value_bytes : int
        Size of the largest record that the store takes, as the owner knows.
    taken_bytes : int
        Size of the largest record that it does take, if that is less.
    refused_ids : list of str
        The jobs whose records the store has refused.
    always_refused_ids : set of str
        Jobs whose records it refuses whatever their size, but for the last.
    max_record_bytes : int
        Size of the largest record that was written.
    failed_query_share : float
        Share of policy queries that fail.
    factor_by_job : dict
        Further factor by which tasks take longer, by job id.
    far_x : float
        Factor by which tasks take longer away from their data or gang.
    max_place_wait_ms : int
        How long tasks wait at most for a place near these.
    poll_count : int
        Number of polls sent to endpoints.
    write_count : int
        Number of writes to the store.
    stored_by_id : dict
        Stored records, encoded.
    stored_job_by_id : dict
        Stored jobs that the owner replaced, encoded.
    stored_silent_record : bytes or None
    epoch_history : EpochHistory
        Of a VM that sees the end of each ownership at the next takeover.
    crashes : Crashes
        Tasks that end the processes of endpoints.
    drains : Drains
        The data centres that operators drained.
    thrown_away_core_ms : float
        Work of runs that were stopped without a checkpoint.
    stop_faults : list
        Of each of the next stops the delay in milliseconds, or None for one
        that is lost.
    log_lines : list of logs.Line
        Decisions that owners logged; a VM is named by its epoch.
    """

    def __init__(self, seed=0):
        self.now_ms = 0
        self.random = random.Random(seed)
        self.invariants = cells_invariants.Invariants(self)
        self.violations = self.invariants.violations
        self.start_ms_by_task = {}
        self.done_ms_by_job = {}
        self.starts = []
        self.stops = []
        self.stored_by_id = {}
        self.stored_job_by_id = {}
        self.stored_silent_record = None
        self.epoch_history = cells.EpochHistory()
        self.job_by_id = {}
        self.cancelled_ids = set()
        self.endpoint_by_id = {}
        self.crashes = cells_crashes.Crashes(self)
        self.drains = cells_drains.Drains(self)
        self.always_failing_ids = set()
        self.accounts = ()
        self.store_up = True
        self.store_write_ms = STORE_WRITE_MS
        self.max_value_bytes = cells.DEFAULT_MAX_VALUE_BYTES
        self.taken_bytes = cells.DEFAULT_MAX_VALUE_BYTES
        self.max_record_bytes = 0
        self.refused_ids = []
        self.always_refused_ids = set()
        self.owner_up = True
        self.owner_may_start = True
        self.allowed_by_step = {}
        self.policy_query_ms = 30
        self.failed_query_share = 0.0
        self.query_slots = 4
        self.max_queries_in_flight = 0
        self.poll_count = 0
        self.write_count = 0
        self.max_overestimate_share = 0.0
        self.underestimate_factor = 1.0
        self.factor_by_job = {}
        self.far_x = 1.0
        self.max_place_wait_ms = cells.DEFAULT_MAX_PLACE_WAIT_MS
        self.sent_queries = []
        self.thrown_away_core_ms = 0.0
        self.stop_faults = []
        self.log_lines = []
        self.epoch = 0
        self.cell = None
        self._work_ms_by_task = {}
        self._queue = []
        self._order = itertools.count()
        self._writing = False
        self._lapsed_owners = []
        # Rises at each change of owner; answers to an earlier one are dropped.
        self._generation = 0

    # Setup

    def add_endpoint(
        self,
        endpoint_id,
        cpu=4_000,
        gpus=0,
        memory_mb=1_000_000,
        **kwargs,
    ):
        """Adds an endpoint."""
        capacity = cells.Resources(cpu, memory_mb, gpus)
        endpoint = cells_endpoints.FakeEndpoint(
            endpoint_id, capacity, self, **kwargs
        )
        self.endpoint_by_id[endpoint_id] = endpoint
        self.announce(endpoint.registration)
        return endpoint

    def announce(self, event):
        """Delivers an event to the owner if there is one."""
        if self.owner_up and self.cell is not None:
            self.deliver(event)

    def submit(self, job):
        """Stores a job, accepted now, and notifies the owner."""
        job = attrs.evolve(job, accepted_unix_ms=self.now_ms)
        self.job_by_id[job.job_id] = job
        if self.owner_up and self.cell is not None:
            self.deliver(cells.JobStored(job))

    def cancel(self, job_id):
        """Stores a cancellation and notifies the owner."""
        self.cancelled_ids.add(job_id)
        if self.owner_up and self.cell is not None:
            self.deliver(cells.JobCancelled(job_id))

    def take_over(self, epoch_history=None, revoked=False):
        """Starts a new owner, which loads the cell from the store.

        Parameters
        ----------
        epoch_history : EpochHistory or None
            That of the VM; `self.epoch_history` by default.
        revoked : bool
            Whether the ownership before was revoked, not lapsed.
        """
        self._generation += 1
        extra_ms = VM_LEASE_MS if revoked else 0
        if self.cell is not None:
            until_ms = self.now_ms + LAPSED_GRACE_MS + extra_ms
            self._lapsed_owners.append((self.epoch, self.cell, until_ms))
        self.epoch_history.record_no_owner(self.now_ms)
        self.epoch += 1
        for history in {self.epoch_history, epoch_history} - {None}:
            history.record_owner(self.epoch, self.now_ms, extra_ms)
        self.owner_up = True
        self._writing = False
        self.cell = cells.Cell(
            epoch=self.epoch,
            lease_ms=LEASE_MS,
            inherited_lease_ms=INHERITED_LEASE_MS,
            epoch_history=epoch_history or self.epoch_history,
            silent_record=self._load_silent_record(),
            far_x=self.far_x,
            max_place_wait_ms=self.max_place_wait_ms,
            record_limits=cells.RecordLimits(self.max_value_bytes),
            unix_ms=self.now_ms,
        )
        self.deliver(cells.AccountsChanged(self.accounts))
        self.drains.deliver_at_takeover()
        for endpoint in self.endpoint_by_id.values():
            if endpoint.reachable:
                self.deliver(endpoint.registration)
        for job in self.job_by_id.values():
            data = self.stored_by_id.get(job.job_id)
            record = cells.decode(data, cells.JobRecord) if data else None
            stored_job = self.stored_job(job.job_id)
            self.deliver(cells.JobStored(stored_job, record))
        for job_id in self.cancelled_ids:
            self.deliver(cells.JobCancelled(job_id))

    def _load_silent_record(self):
        data = self.stored_silent_record
        return cells.decode(data, cells.SilentRecord) if data else None

    def kill_owner(self):
        """Kills the owner; calls that it has in flight may still arrive."""
        self.owner_up = False
        self._generation += 1

    def stored_job(self, job_id):
        """Returns a job as the store holds it."""
        data = self.stored_job_by_id.get(job_id)
        if data is None:
            return self.job_by_id[job_id]
        return cells.decode(data, cells.Job)

    # Running

    def at(self, delay_ms, call):
        """Calls `call` after a delay."""
        due = (self.now_ms + delay_ms, next(self._order), call)
        heapq.heappush(self._queue, due)

    def run_for(self, span_ms):
        """Runs the simulation for a time."""
        end_ms = self.now_ms + span_ms
        while self.now_ms < end_ms:
            next_ms = (self.now_ms // 10 + 1) * 10
            while self._queue and self._queue[0][0] <= next_ms:
                self.now_ms, _order, call = heapq.heappop(self._queue)
                call()
            self.now_ms = next_ms
            self._tick()

    def run_until(self, condition, max_ms=60_000):
        """Runs until a condition holds; returns the time that it took."""
        start_ms = self.now_ms
        while not condition() and self.now_ms - start_ms < max_ms:
            self.run_for(10)
        return self.now_ms - start_ms

    def _tick(self):
        for endpoint in self.endpoint_by_id.values():
            endpoint.advance(self.now_ms)
            self._extend_by_lapsed_owners(endpoint)
        if self.owner_up and self.cell is not None:
            self._perform(self._planned_actions())
            self._write()

    def _extend_by_lapsed_owners(self, endpoint):
        """Extends a lease as former owners still may, the longest possible.

        They do so at the endpoints that have answered them and that they do
        not list as silent, until these have seen a higher epoch.
        """
        for epoch, cell, until_ms in self._lapsed_owners:
            known = cell.cell_state.endpoint_by_id.get(endpoint.endpoint_id)
            leases = cell.cell_state.inherited_leases
            if (
                self.now_ms < until_ms
                and endpoint.is_reachable_for(epoch)
                and epoch >= endpoint.epoch
                and known is not None
                and known.has_answered
                and leases.may_extend(endpoint.endpoint_id)
            ):
                endpoint.epoch = epoch
                endpoint.extend_lease(endpoint.clock_ms + LEASE_MS)

    def _planned_actions(self):
        if self.owner_may_start:
            return self.cell.plan(self.now_ms, self.now_ms, self.query_slots)
        return self.cell.poll(self.now_ms)

    def deliver(self, event):
        """Delivers an event to the current owner."""
        self._perform(self.cell.handle(event, self.now_ms))
        self._write()

    def _write(self):
        if self._writing or not self.store_up:
            return
        silent_record = self.cell.pop_silent_record()
        rows = self.cell.pop_records(30, MAX_COMMIT_BYTES)
        if rows or silent_record is not None:
            self._writing = True
            self.write_count += 1
            written = functools.partial(
                self._written, rows, silent_record, self._generation
            )
            self.at(self.store_write_ms, written)

    def _written(self, rows, silent_record, generation):
        if generation != self._generation:
            return
        if not self.store_up:
            retry = functools.partial(
                self._written, rows, silent_record, generation
            )
            self.at(100, retry)
            return
        self._writing = False
        refused = [row for row in rows if self._is_refused(row)]
        rows = [row for row in rows if row not in refused]
        if silent_record is not None:
            self.stored_silent_record = silent_record
            record = cells.decode(silent_record, cells.SilentRecord)
            self.epoch_history.record_list(record, self.now_ms)
        for row in rows:
            self.stored_by_id[row.job_id] = row.record
            if row.job is not None:
                self.stored_job_by_id[row.job_id] = row.job
        # The writer goes on before the owner handles its report.
        self._write()
        if silent_record is not None:
            self.deliver(cells.SilentRecordStored())
        versions = tuple((row.job_id, row.version) for row in rows)
        self.deliver(cells.RecordsStored(versions))
        for row in refused:
            self.refused_ids.append(row.job_id)
            self.deliver(cells.RecordRefused(row.job_id))
            delayed = cells.RecordDelayed(row.job_id)
            self._answer(RECORD_RETRY_MS, delayed, generation)
        for row in rows:
            state = self.cell.state_of(row.job_id)
            if state is cells.JobState.COMPLETED:
                self.done_ms_by_job.setdefault(row.job_id, self.now_ms)

    def _is_refused(self, row):
        self.max_record_bytes = max(self.max_record_bytes, row.size_bytes)
        if row.job_id in self.always_refused_ids and row.job is None:
            return True
        return len(row.record) > min(self.max_value_bytes, self.taken_bytes)

    # Actions

    def _perform(self, actions):
        for action in actions:
            self._perform_one(action)

    def _perform_one(self, action):
        if isinstance(action, cells.StartTask):
            self._send_start(action)
        elif isinstance(action, cells.StopTask):
            self._send_stop(action)
        elif isinstance(action, cells.PollEndpoint):
            self._send_poll(action)
        elif isinstance(action, cells.QueryPolicy):
            self._send_policy_query(action)
        elif isinstance(action, cells.LogDecision):
            self._log(action)

    def _log(self, action):
        fields = dict(action.fields)
        if action.job_id:
            fields["request"] = action.job_id
        line = logs.Line(
            self.now_ms / 1000, f"vm-{self.epoch}", action.event, fields
        )
        self.log_lines.append(line)

    def _answer(self, delay_ms, event, generation):
        def deliver():
            if generation == self._generation and self.owner_up:
                self.deliver(event)

        self.at(delay_ms, deliver)

    def _send_start(self, action):
        epoch, generation = self.epoch, self._generation
        endpoint = self.endpoint_by_id.get(action.endpoint_id)
        answered = functools.partial(
            cells.StartAnswered,
            action.task_id,
            action.run,
            action.endpoint_id,
        )
        unknown = answered(cells.StartOutcome.UNKNOWN)
        if (action.ticket_until_ms or self.now_ms) < self.now_ms:
            self.invariants.add_violation(
                f"{action.task_id} has an expired ticket"
            )
        if endpoint is None or not endpoint.is_reachable_at(action.address):
            self._answer(UNREACHABLE_TIMEOUT_MS, unknown, generation)
            return
        if endpoint.start_delay_ms:
            start_delay_ms = endpoint.start_delay_ms
            start = functools.partial(endpoint.start_delayed, action, epoch)
            self.at(
                start_delay_ms, functools.partial(start, endpoint.incarnation)
            )
            self._answer(UNREACHABLE_TIMEOUT_MS, unknown, generation)
            return

        incarnation = endpoint.incarnation

        def arrive():
            if endpoint.incarnation != incarnation:
                self._answer(UNREACHABLE_TIMEOUT_MS, unknown, generation)
                return
            outcome = endpoint.start(action, epoch, self.now_ms)
            if self.random.random() < endpoint.unanswered_share:
                self._answer(ORDER_TIMEOUT_MS, unknown, generation)
            else:
                event = answered(outcome, endpoint.clock_ms)
                self._answer(LINK_DELAY_MS, event, generation)

        self.at(LINK_DELAY_MS, arrive)

    def _send_stop(self, action):
        epoch, generation = self.epoch, self._generation
        endpoint = self.endpoint_by_id.get(action.endpoint_id)
        answered = functools.partial(
            cells.StopAnswered, action.task_id, action.run, action.endpoint_id
        )
        delay_ms = self.stop_faults.pop(0) if self.stop_faults else 0
        is_lost = endpoint is None or not endpoint.is_reachable_at(
            action.address
        )
        if is_lost or delay_ms is None:
            self._answer(UNREACHABLE_TIMEOUT_MS, answered(False), generation)
            return

        def arrive():
            confirmed = endpoint.stop(action, epoch, self.now_ms)
            self._answer(LINK_DELAY_MS, answered(confirmed), generation)

        self.at(LINK_DELAY_MS + delay_ms, arrive)

    def _send_poll(self, action):
        self.poll_count += 1
        generation = self._generation
        endpoint = self.endpoint_by_id.get(action.endpoint_id)
        failed = cells.PollFailed(action.endpoint_id)
        if endpoint is not None and endpoint.is_replaced:
            gone = cells.PollFailed(action.endpoint_id, process_gone=True)
            self._answer(LINK_DELAY_MS, gone, generation)
            return
        if endpoint is None or not endpoint.is_reachable_at(action.address):
            self._answer(UNREACHABLE_TIMEOUT_MS, failed, generation)
            return
        waiting = _PendingPoll(
            self, endpoint, action, self.epoch, generation, self.now_ms
        )
        self.at(LINK_DELAY_MS, waiting.arrive)

    def _send_policy_query(self, action):
        self.sent_queries.append(action)
        if self.random.random() < self.failed_query_share:
            failed = cells.PolicyQueryFailed(
                action.job_id, action.occurrence, action.step
            )
            self._answer(FAILED_QUERY_MS, failed, self._generation)
            return
        open_now = self.cell.policy_queries.in_flight_count
        self.max_queries_in_flight = max(self.max_queries_in_flight, open_now)
        key = (action.job_id, action.step)
        allowed = self.allowed_by_step.get(key, action.endpoint_ids)
        tickets = {
            endpoint_id: "ticket"
            for endpoint_id in action.endpoint_ids
            if endpoint_id in allowed
        }
        event = cells.PolicyAnswered(
            action.job_id,
            action.occurrence,
            action.step,
            action.endpoint_ids,
            tickets,
            self.now_ms + self.policy_query_ms + action.valid_ms,
        )
        self._answer(self.policy_query_ms, event, self._generation)

    # Queries by endpoints

    def step_of(self, task_id):
        """Returns the step of a task."""
        return self.job_by_id[task_id.job_id].steps[task_id.step]

    def work_ms(self, task_id):
        """Returns how long a task runs, in milliseconds."""
        usual_ms = (
            self.step_of(task_id).estimate_ms
            * self.underestimate_factor
            * self.factor_by_job.get(task_id.job_id, 1.0)
        )
        return usual_ms * self.random.uniform(
            1 - self.max_overestimate_share, 1
        )

    def always_fails(self, task_id):
        """Whether a task fails on every endpoint."""
        return task_id.job_id in self.always_failing_ids

    def note_start(self, endpoint, action):
        """Records a start, and checks the invariants of starts."""
        task_id = action.task_id
        self.starts.append((task_id, action.run, endpoint.endpoint_id))
        self.start_ms_by_task.setdefault(task_id, self.now_ms)
        self.drains.note_start(endpoint, task_id)
        self.invariants.check_start(endpoint, action)

    def note_thrown_away(self, run, now_ms):
        """Counts the work of a run that was stopped without a checkpoint."""
        cores = run.step.demand.cpu_millis / 1_000
        self.thrown_away_core_ms += cores * (now_ms - run.started_ms)

    def gang_end_reason(self, run):
        """Returns how a member of a gang ends after its run time."""
        size = self.step_of(run.task_id).count
        started = sum(
            one[0].job_id == run.task_id.job_id and one[1] == run.run
            for one in self.starts
        )
        if started >= size:
            return cells.EndReason.DONE
        return cells.EndReason.GANG_TIMEOUT


class _PendingPoll:
    """A poll that is answered when a run ends, or after its wait time."""

    def __init__(
        self, simulation, endpoint, action, epoch, generation, sent_ms
    ):
        self._simulation = simulation
        self._endpoint = endpoint
        self._action = action
        self._epoch = epoch
        self._generation = generation
        self._sent_ms = sent_ms
        self._until_ms = sent_ms + action.wait_ms
        self._incarnation = endpoint.incarnation

    def arrive(self):
        """Answers the poll, or waits further for an end."""
        simulation, endpoint = self._simulation, self._endpoint
        if endpoint.incarnation != self._incarnation:
            failed = cells.PollFailed(endpoint.endpoint_id)
            simulation._answer(LINK_DELAY_MS, failed, self._generation)
            return
        if not endpoint.reachable:
            simulation._answer(
                UNREACHABLE_TIMEOUT_MS,
                cells.PollFailed(endpoint.endpoint_id),
                self._generation,
            )
            return
        ended = any(
            row.number > self._action.stored_upto for row in endpoint.ended
        )
        if not ended and simulation.now_ms < self._until_ms:
            simulation.at(10, self.arrive)
            return
        event = endpoint.poll(
            self._action, self._epoch, self._sent_ms, simulation.now_ms
        )
        if simulation.random.random() < endpoint.unanswered_share:
            failed = cells.PollFailed(endpoint.endpoint_id)
            simulation._answer(ORDER_TIMEOUT_MS, failed, self._generation)
        else:
            simulation._answer(LINK_DELAY_MS, event, self._generation)
