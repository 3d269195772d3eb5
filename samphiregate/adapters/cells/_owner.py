"""Runs a cell on the VM that owns it."""

import collections
import contextlib

import attrs
import gevent.event

from samphiregate.adapters.cells import _actions
from samphiregate.adapters.cells import _loader
from samphiregate.adapters.cells import _periodic
from samphiregate.adapters.cells import _tenure_lease
from samphiregate.adapters.cells import _writer
from samphiregate.core import cells
from samphiregate import errors

TICK_MS = 100
TASK_LEASE_MS = 5_000  # of an endpoint's tasks, renewed by each start or poll
CALL_SLACK_MS = 200  # for a call in transit when the grace period ends
# Upper bound on how long runs of an earlier owner continue after its VM's
# lease has lapsed: it may poll until the grace period ends, and each poll
# renews the lease of the endpoint's tasks.
INHERITED_TASK_LEASE_MS = (
    _tenure_lease.LAPSED_LEASE_GRACE_MS
    + cells.max_lease_ms(TASK_LEASE_MS)
    + CALL_SLACK_MS
)
LOAD_RETRY_MS = 100


@attrs.frozen
class PlacementSettings:
    """What a site's settings say about the places and leases of tasks.

    Parameters
    ----------
    far_x : float
        How many times as long tasks take away from their data or gang.
    max_place_wait_ms : int
        How long tasks wait at most for a place near their data or gang; 0
        for no wait.
    max_hold_ms : int
        To which endpoints shorten longer leases, on their clocks.
    """

    far_x: float = 1.0
    max_place_wait_ms: int = cells.DEFAULT_MAX_PLACE_WAIT_MS
    max_hold_ms: int = cells.DEFAULT_MAX_HOLD_MS


class OwnerSession:
    """Runs a cell for one tenure.

    Parameters
    ----------
    tenure : Tenure
    store : Store
    decoders : Decoders
    endpoints : Endpoints
    policy_router : PolicyQueryRouter
    lease : LeaseRenewer
    configuration : callable
        Returns the current `SiteConfiguration`, or None.
    drained_data_centres : callable
        Returns the names of the data centres that take no starts.
    session_end : gevent.event.Event
        Set when the session must end: the ownership was lost, or the VM
        stops.
    epoch_history : EpochHistory
    placement : PlacementSettings
    record_limits : RecordLimits
    now_ms, unix_ms : callable
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        tenure,
        store,
        decoders,
        endpoints,
        policy_router,
        lease,
        configuration,
        drained_data_centres,
        session_end,
        epoch_history,
        placement,
        record_limits,
        now_ms,
        unix_ms,
        log,
    ):
        self.cell = None
        self._tenure = tenure
        self._store = store
        self._lease = lease
        self._configuration = configuration
        self._drained_data_centres = drained_data_centres
        self._session_end = session_end
        self._epoch_history = epoch_history
        self._placement = placement
        self._record_limits = record_limits
        self._now_ms = now_ms
        self._unix_ms = unix_ms
        self._log = log
        self._events = collections.deque()
        self._wake = gevent.event.Event()
        self._writer = None
        self._policy_router = policy_router
        self._tenure_lease = _tenure_lease.TenureLease(
            tenure=tenure,
            lease=lease,
            session_end=session_end,
            now_ms=now_ms,
        )
        self._loader = _loader.CellLoader(
            cell_name=tenure.cell,
            store=store,
            decoders=decoders,
            deliver=self.deliver,
            now_ms=now_ms,
            log=log,
        )
        self._performer = _actions.ActionPerformer(
            epoch=tenure.epoch,
            endpoints=endpoints,
            policy_router=policy_router,
            tenure_lease=self._tenure_lease,
            deliver=self.deliver,
            step_down=self._end,
            now_ms=now_ms,
            log=log,
        )
        self._purger = _periodic.Purger(
            tenure=tenure,
            store=store,
            now_ms=now_ms,
            unix_ms=unix_ms,
            log=log,
        )
        self._load_logger = _periodic.LoadLogger(now_ms=now_ms, log=log)

    @property
    def is_serving(self):
        """Whether the cell's state was loaded."""
        return self._writer is not None

    @property
    def is_current(self):
        """Whether its state may be reported: no other VM can own the cell."""
        return self.is_serving and self._tenure_lease.is_valid

    def serve(self):
        """Loads and runs the cell until the session ends."""
        with contextlib.ExitStack() as stack:
            self._session_end.rawlink(self._wake_loop)
            stack.callback(self._session_end.unlink, self._wake_loop)
            stack.enter_context(self._performer)
            stack.enter_context(self._purger)
            while not self._session_end.is_set() and not self.is_serving:
                self._load(stack)
            if self.is_serving:
                self._log.write(
                    "cell served",
                    cell=self._tenure.cell,
                    epoch=self._tenure.epoch,
                    jobs=len(self.cell.cell_state.entry_by_id),
                    endpoints=len(self.cell.cell_state.endpoint_by_id),
                )
                self._loop()

    def deliver(self, event):
        """Queues an event for the cell, and wakes the loop."""
        self._events.append(event)
        self._wake.set()

    def _wake_loop(self, _session_end):
        self._wake.set()

    def configuration_changed(self):
        """Applies a new configuration."""
        if self.is_serving:
            self._apply_configuration()

    def drains_changed(self):
        """Applies a new set of drained data centres, also while loading."""
        if self.cell is not None:
            self._apply_drains()

    # Loading

    def _load(self, stack):
        try:
            self._load_once(stack)
        except errors.UnavailableError as error:
            self._log.write(
                "cell not loaded",
                cell=self._tenure.cell,
                reason=error.detail,
            )
            self._end_if_lapsed()
            self._session_end.wait(LOAD_RETRY_MS / 1000)

    def _load_once(self, stack):
        content = self._loader.read()
        loaded_cell = cells.Cell(
            epoch=self._tenure.epoch,
            lease_ms=TASK_LEASE_MS,
            inherited_lease_ms=INHERITED_TASK_LEASE_MS,
            epoch_history=self._epoch_history,
            silent_record=content.silent_record,
            far_x=self._placement.far_x,
            max_place_wait_ms=self._placement.max_place_wait_ms,
            max_hold_ms=self._placement.max_hold_ms,
            record_limits=self._record_limits,
            unix_ms=self._unix_ms(),
        )
        self.cell = loaded_cell
        self._apply_configuration()
        if self._drained_data_centres():
            self._apply_drains()
        self._loader.deliver_all(content)
        self._drain_events()
        stack.enter_context(self._loader.following(content))
        self._writer = stack.enter_context(
            _writer.RecordWriter(
                store=self._store,
                tenure=self._tenure,
                pop_records=loaded_cell.pop_records,
                pop_silent_record=loaded_cell.pop_silent_record,
                on_stored=self._records_stored,
                on_refused=self._record_refused,
                on_delayed=self._record_delayed,
                on_silent_record_stored=self._silent_record_stored,
                on_lost=self._end,
                log=self._log,
            )
        )

    def _apply_configuration(self):
        configuration = self._configuration()
        if configuration is not None:
            queues = tuple(route.queue for route in configuration.routes)
            self.deliver(cells.AccountsChanged(configuration.accounts, queues))

    def _apply_drains(self):
        self.deliver(cells.DataCentresDrained(self._drained_data_centres()))

    def _records_stored(self, versions):
        self.deliver(cells.RecordsStored(versions))

    def _record_refused(self, job_id):
        self.deliver(cells.RecordRefused(job_id))

    def _record_delayed(self, job_id):
        self.deliver(cells.RecordDelayed(job_id))

    def _silent_record_stored(self):
        self.deliver(cells.SilentRecordStored())

    # The loop

    def _loop(self):
        while not self._session_end.is_set():
            self._wake.wait(self._tick_ms() / 1000)
            self._wake.clear()
            self._drain_events()
            if self._lease.is_valid:
                self._plan()
            elif self._tenure_lease.is_valid_or_in_grace:
                self._performer.perform_all(self.cell.poll(self._now_ms()))
            self._purger.run(self.cell)
            self._load_logger.run(self.cell)
            self._writer.wake()
            self._end_if_lapsed()

    def _plan(self):
        started_ms = self._now_ms()
        actions = self.cell.plan(
            started_ms, self._unix_ms(), self._policy_router.query_slots
        )
        self._performer.perform_all(actions)
        self.cell.note_plan_time(self._now_ms() - started_ms)

    def _tick_ms(self):
        """Returns the time until the next plan if no event arrives."""
        due_ms = self.cell.plan_due_ms
        if due_ms is None or not self._lease.is_valid:
            return TICK_MS
        return min(max(due_ms - self._now_ms(), 1), TICK_MS)

    def _drain_events(self):
        while self._events:
            event = self._events.popleft()
            actions = self.cell.handle(event, self._now_ms())
            self._performer.perform_all(actions)

    def _end(self, reason):
        if not self._session_end.is_set():
            self._log.write(
                "ownership lost", cell=self._tenure.cell, reason=reason
            )
        self._session_end.set()
        self._wake.set()

    def _end_if_lapsed(self):
        """Ends the session once the store has ended the VM's lease.

        While the store does not answer, the session continues without
        planning or starting tasks: the store may still hold the lease, and
        then no other VM can own the cell.
        """
        if self._tenure_lease.has_ended:
            self._end("the lease of this VM has ended")
