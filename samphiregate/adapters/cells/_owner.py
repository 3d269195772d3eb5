"""Runs a cell on the VM that owns it."""

import collections
import contextlib
import functools

import gevent
import gevent.event
from gevent import pool

from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _watched_prefix
from samphiregate.adapters.cells import _writer
from samphiregate.core import cells
from samphiregate import errors

TICK_MS = 100
WATCH_WAIT_MS = 2_000
TASK_LEASE_MS = 5_000  # of an endpoint's tasks, renewed by each start or poll
# Polls and stops continue for this long after the VM's lease has lapsed.
LAPSED_LEASE_GRACE_MS = 2_000
CALL_SLACK_MS = 200  # for a call in transit when the grace period ends
# Upper bound on how long runs of an earlier owner continue after its VM's
# lease has lapsed: it may poll until the grace period ends, and each poll
# renews the lease of the endpoint's tasks.
INHERITED_TASK_LEASE_MS = (
    LAPSED_LEASE_GRACE_MS + cells.max_lease_ms(TASK_LEASE_MS) + CALL_SLACK_MS
)
LOAD_RETRY_MS = 100
ENDED_JOB_RETENTION_MS = 180_000
PURGE_INTERVAL_MS = 10_000
LOAD_LOG_INTERVAL_MS = 1_000
MAX_PURGED_JOBS = 9  # per transaction; each job has three keys


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
    session_end : gevent.event.Event
        Set when the session must end: the ownership was lost, or the VM
        stops.
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
        session_end,
        now_ms,
        unix_ms,
        log,
    ):
        self.cell = None
        self._tenure = tenure
        self._store = store
        self._decoders = decoders
        self._endpoints = endpoints
        self._policy_router = policy_router
        self._lease = lease
        self._configuration = configuration
        self._session_end = session_end
        self._now_ms = now_ms
        self._unix_ms = unix_ms
        self._log = log
        self._events = collections.deque()
        self._wake = gevent.event.Event()
        self._calls = pool.Group()
        self._writer = None
        self._next_purge_ms = 0
        self._next_load_log_ms = 0

    @property
    def is_serving(self):
        """Whether the cell's state was loaded."""
        return self._writer is not None

    @property
    def is_current(self):
        """Whether its state may be reported: no other VM can own the cell."""
        return self.is_serving and self._has_valid_lease()

    def serve(self):
        """Loads and runs the cell until the session ends."""
        try:
            with contextlib.ExitStack() as stack:
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
        finally:
            self._calls.kill(block=False)

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
        cell_name = self._tenure.cell
        endpoint_items, endpoints_revision = self._store.list(
            self._decoders.endpoints_prefix
        )
        work_items, work_revision = self._store.list(
            _keys.work_prefix(cell_name)
        )
        record_items, _revision = self._store.list(
            _keys.records_prefix(cell_name)
        )
        loaded_cell = cells.Cell(
            epoch=self._tenure.epoch,
            lease_ms=TASK_LEASE_MS,
            inherited_lease_ms=INHERITED_TASK_LEASE_MS,
        )
        self.cell = loaded_cell
        self._apply_configuration()
        for item in endpoint_items:
            self._endpoint_changed(
                _ports.StoreChange(item.key, item.revision, item)
            )
        self._apply_work(work_items, record_items)
        self._drain_events()
        self._follow(
            stack,
            self._decoders.endpoints_prefix,
            self._endpoint_changed,
            (endpoint_items, endpoints_revision),
        )
        self._follow(
            stack,
            _keys.work_prefix(cell_name),
            self._work_changed,
            (work_items, work_revision),
        )
        self._writer = stack.enter_context(
            _writer.RecordWriter(
                store=self._store,
                tenure=self._tenure,
                pop_records=loaded_cell.pop_records,
                on_stored=self._records_stored,
                on_lost=self._end,
                log=self._log,
            )
        )

    def _follow(self, stack, prefix, on_change, listed):
        watched_prefix = _watched_prefix.WatchedPrefix(
            store=self._store,
            prefix=prefix,
            on_change=on_change,
            now_ms=self._now_ms,
            wait_ms=WATCH_WAIT_MS,
            log=self._log,
        )
        watched_prefix.start_from(*listed)
        stack.enter_context(watched_prefix)

    def _apply_work(self, work_items, record_items):
        record_by_id = {}
        for item in record_items:
            job_id = item.key.rpartition("/")[2]
            try:
                record_by_id[job_id] = cells.decode(
                    item.value, cells.JobRecord
                )
            except errors.BadInputError as error:
                self._log.write(
                    "record unreadable",
                    request=job_id,
                    reason=error.detail,
                )
        cancelled = []
        for item in work_items:
            if _is_cancel(item.key):
                cancelled.append(item)
            else:
                self._apply_job(item, record_by_id)
        for item in cancelled:
            self.deliver(cells.JobCancelled(_job_id(item.key)))

    def _apply_job(self, item, record_by_id):
        try:
            job = cells.decode(item.value, cells.Job)
        except errors.BadInputError as error:
            self._log.write(
                "job unreadable", key=item.key, reason=error.detail
            )
            return
        record = record_by_id.get(job.job_id)
        self.deliver(cells.JobStored(job, record))

    # Changes in the store

    def _endpoint_changed(self, change):
        if change.item is None:
            endpoint_id = change.key.removeprefix(
                self._decoders.endpoints_prefix
            )
            self.deliver(cells.EndpointDeregistered(endpoint_id))
            return
        try:
            event = self._decoders.endpoint(change.key, change.item.value)
        except errors.BadInputError as error:
            self._log.write(
                "endpoint entry unreadable",
                key=change.key,
                reason=error.detail,
            )
            return
        self.deliver(event)

    def _work_changed(self, change):
        if change.item is None:
            if not _is_cancel(change.key):
                self.deliver(cells.JobRemoved(_job_id(change.key)))
        elif _is_cancel(change.key):
            self.deliver(cells.JobCancelled(_job_id(change.key)))
        else:
            self._apply_job(change.item, {})

    def configuration_changed(self):
        """Applies a new configuration."""
        if self.is_serving:
            self._apply_configuration()

    def _apply_configuration(self):
        configuration = self._configuration()
        if configuration is not None:
            queues = tuple(route.queue for route in configuration.routes)
            self.deliver(cells.AccountsChanged(configuration.accounts, queues))

    def _records_stored(self, versions):
        self.deliver(cells.RecordsStored(versions))

    # The loop

    def deliver(self, event):
        """Queues an event for the cell, and wakes the loop."""
        self._events.append(event)
        self._wake.set()

    def _loop(self):
        while not self._session_end.is_set():
            self._wake.wait(self._tick_ms() / 1000)
            self._wake.clear()
            self._drain_events()
            if self._lease.is_valid:
                actions = self.cell.plan(
                    self._now_ms(),
                    self._unix_ms(),
                    self._policy_router.query_slots,
                )
                self._perform_all(actions)
            self._purge_expired()
            self._log_load()
            self._writer.wake()
            self._end_if_lapsed()

    def _tick_ms(self):
        """Returns the time until the next plan if no event arrives."""
        due_ms = self.cell.plan_due_ms
        if due_ms is None or not self._lease.is_valid:
            return TICK_MS
        return min(max(due_ms - self._now_ms(), 1), TICK_MS)

    def _drain_events(self):
        while self._events:
            event = self._events.popleft()
            self._perform_all(self.cell.handle(event, self._now_ms()))

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
        if self._lease.lease_id != self._tenure.lease_id:
            self._end("the lease of this VM has ended")

    def _has_lease_or_grace(self):
        return (
            not self._session_end.is_set()
            and self._lease.lease_id == self._tenure.lease_id
            and self._now_ms()
            < self._lease.valid_until_ms + LAPSED_LEASE_GRACE_MS
        )

    def _has_valid_lease(self):
        return (
            not self._session_end.is_set()
            and self._lease.lease_id == self._tenure.lease_id
            and self._lease.is_valid
        )

    # Actions

    def _perform_all(self, actions):
        for action in actions:
            self._perform(action)

    @functools.singledispatchmethod
    def _perform(self, action):
        raise TypeError(f"expected an action of core.cells, not {action!r}")

    @_perform.register
    def _(self, action: cells.LogDecision):
        fields = dict(action.fields)
        if action.job_id:
            fields["request"] = action.job_id
        self._log.write(action.event, **fields)

    @_perform.register
    def _(self, action: cells.StepDown):
        self._end(f"endpoint {action.endpoint_id} reported a higher epoch")

    @_perform.register
    def _(self, action: cells.StartTask):
        self._calls.spawn(self._start, action)

    @_perform.register
    def _(self, action: cells.StopTask):
        self._calls.spawn(self._stop, action)

    @_perform.register
    def _(self, action: cells.PollEndpoint):
        self._calls.spawn(self._poll, action)

    @_perform.register
    def _(self, action: cells.QueryPolicy):
        self._calls.spawn(self._query_policy, action)

    def _deliver_result(self, call, failure):
        """Delivers the event that `call` returns, `failure` if it raises."""
        try:
            event = call()
        except Exception as error:
            self._log.write("order failed", reason=repr(error))
            event = failure
        self.deliver(event)

    def _start(self, action):
        answered = functools.partial(
            cells.StartAnswered,
            action.task_id,
            action.run,
            action.endpoint_id,
        )
        if not self._has_valid_lease():
            self.deliver(answered(cells.StartOutcome.NOT_STARTED))
            return
        epoch = self._tenure.epoch
        self._deliver_result(
            lambda: answered(self._endpoints.start(action, epoch)),
            answered(cells.StartOutcome.UNKNOWN),
        )

    def _stop(self, action):
        answered = functools.partial(
            cells.StopAnswered, action.task_id, action.run, action.endpoint_id
        )
        if not self._has_lease_or_grace():
            self.deliver(answered(False))
            return
        epoch = self._tenure.epoch
        self._deliver_result(
            lambda: answered(self._endpoints.stop(action, epoch)),
            answered(False),
        )

    def _poll(self, action):
        failed = cells.PollFailed(action.endpoint_id)
        if not self._has_lease_or_grace():
            self.deliver(failed)
            return
        epoch = self._tenure.epoch
        sent_ms = self._now_ms()
        self._deliver_result(
            lambda: self._endpoints.poll(action, epoch, sent_ms), failed
        )

    def _query_policy(self, action):
        failed = cells.PolicyQueryFailed(
            action.job_id, action.occurrence, action.step
        )
        self._deliver_result(lambda: self._policy_router.query(action), failed)

    # Periodic work

    def _log_load(self):
        now_ms = self._now_ms()
        if now_ms >= self._next_load_log_ms:
            self._next_load_log_ms = now_ms + LOAD_LOG_INTERVAL_MS
            self._log.write("cell load", **self.cell.load())

    def _purge_expired(self):
        now_ms = self._now_ms()
        if now_ms < self._next_purge_ms:
            return
        self._next_purge_ms = now_ms + PURGE_INTERVAL_MS
        expired = self.cell.expired_jobs(
            self._unix_ms(), ENDED_JOB_RETENTION_MS
        )
        if expired:
            self._calls.spawn(self._purge, expired[:MAX_PURGED_JOBS])

    def _purge(self, job_ids):
        cell = self._tenure.cell
        removals = [
            key
            for job_id in job_ids
            for key in (
                _keys.job(cell, job_id),
                _keys.cancel(cell, job_id),
                _keys.record(cell, job_id),
            )
        ]
        try:
            self._store.commit(
                expected=self._tenure.guard, writes=(), removals=removals
            )
        except errors.SamphiregateError as error:
            self._log.write("jobs not forgotten", reason=error.detail)


def _is_cancel(key):
    return key.split("/")[-2] == "cancel"


def _job_id(key):
    return key.rpartition("/")[2]
