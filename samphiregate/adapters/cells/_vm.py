"""Assembles what an entry VM runs on a platform."""

import contextlib
import functools

import attrs

from samphiregate.adapters.cells import _clock
from samphiregate.adapters.cells import _configuration
from samphiregate.adapters.cells import _drain_requests
from samphiregate.adapters.cells import _giving_way
from samphiregate.adapters.cells import _job_service
from samphiregate.adapters.cells import _lease
from samphiregate.adapters.cells import _owner
from samphiregate.adapters.cells import _owner_monitor
from samphiregate.adapters.cells import _owner_notices
from samphiregate.adapters.cells import _owner_record
from samphiregate.adapters.cells import _ownership
from samphiregate.adapters.cells import _peer_calls
from samphiregate.adapters.cells import _policy_queries
from samphiregate.adapters.cells import _relay
from samphiregate.adapters.cells import _vm_records
from samphiregate.adapters.cells import _vm_state
from samphiregate.adapters.cells import _watched_prefix
from samphiregate.adapters import http
from samphiregate.core import cells
from samphiregate import errors

CELL = "all"  # one cell, so one owner, for all services
# How long one watch call waits, and so how long a dead connection goes
# undetected.
OPERATIONS_WAIT_MS = 1_000
POLICY_TIMEOUT_MS = 5_000


@attrs.frozen
class Ports:
    """What an entry VM needs from the platform; see `_ports`."""

    store: object
    decoders: object
    endpoints: object
    policy: object


class EntryVm:
    """Serves callers, and takes the cell while no other VM owns it.

    A context manager.

    Parameters
    ----------
    vm_id : str
    peer_address : str
        ``ip:port`` for requests of other VMs.
    capacity : float
        Of the VM's processor, in cores; 0 if unknown.
    ports : Ports
    random_state : random.Random
    log : DecisionLog
    placement : PlacementSettings
    record_limits : RecordLimits
    peer_limits : ServerLimits
        Limits of what other VMs send.

    Attributes
    ----------
    configuration : ConfigurationHolder
    drain_requests : DrainRequests
    job_service : JobService
    accepts_requests : bool
        Whether callers' requests are served; if not, reject them at once.
    """

    def __init__(
        self,
        *,
        vm_id,
        peer_address,
        capacity,
        ports,
        random_state,
        log,
        placement=_owner.PlacementSettings(),
        record_limits=cells.RecordLimits(),
        peer_limits=http.ProcessLimits().peers,
    ):
        self._vm_id = vm_id
        self._peer_address = peer_address
        self._ports = ports
        self._placement = placement
        self._record_limits = record_limits
        self._random = random_state
        self._log = log
        self._stack = contextlib.ExitStack()
        self._session = None
        self._ownership = None
        self._stopping = False
        self.accepts_requests = True
        self._instance = f"{random_state.getrandbits(64):016x}"
        self._peer_limits = peer_limits
        self._peers = _peer_calls.PeerCalls(
            answer=self._answer, bodies=http.BodyReader(peer_limits)
        )
        self.configuration = _configuration.ConfigurationHolder(
            decode=ports.decoders.configuration,
            on_change=self._configuration_changed,
            log=log,
        )
        self._lease = _lease.LeaseRenewer(
            store=ports.store,
            record=_lease.VmRecord(vm_id, peer_address, capacity),
            # `_relay` is created below.
            on_renewal=lambda succeeded: self._relay.record_renewal(succeeded),
            now_ms=_clock.steady_ms,
            log=log,
        )
        self._owner_view = _owner_record.OwnerView(
            cell=CELL,
            watch_prefix=self._make_watched_prefix,
            on_change=self._owner_changed,
            now_ms=_clock.steady_ms,
            log=log,
        )
        self._owner_monitor = _owner_monitor.OwnerMonitor(
            cell=CELL,
            vm_id=vm_id,
            address=peer_address,
            instance=self._instance,
            store=ports.store,
            peers=self._peers,
            view=self._owner_view,
            lease=self._lease,
            is_monitor=self._is_monitor,
            log=log,
        )
        self._vm_records = _vm_records.VmRecords(
            vm_id=vm_id,
            capacity=capacity,
            watch_prefix=self._make_watched_prefix,
            log=log,
        )
        self.drain_requests = _drain_requests.DrainRequests(
            cell=CELL,
            decode_key=ports.decoders.drained_data_centre,
            on_change=self._drains_changed,
            log=log,
        )
        self._watched_operations = self._make_watched_prefix(
            ports.decoders.operations_prefix,
            self._operation_changed,
            OPERATIONS_WAIT_MS,
            on_read=self.drain_requests.read_upto,
        )
        self._relay = _relay.StoreRelay(
            store=ports.store,
            peers=self._peers,
            other_addresses=self._other_addresses,
            now_ms=_clock.steady_ms,
            log=log,
        )
        self._notices = _owner_notices.OwnerNotices(
            cell=CELL,
            peers=self._peers,
            owner_address=lambda: self._owner_view.address,
            deliver=self._deliver_local,
            log=log,
        )
        self.job_service = _job_service.JobService(
            cell=CELL,
            relay=self._relay,
            peers=self._peers,
            local_cell=self._local_cell,
            owner_address=lambda: self._owner_view.address,
            notices=self._notices,
            record_limits=record_limits,
            now_ms=_clock.steady_ms,
            unix_ms=_clock.unix_ms,
            log=log,
        )

    def __enter__(self):
        server = http.BoundedServer(
            self._peer_address,
            self._peers.application,
            limits=self._peer_limits,
        )
        server.start()
        self._stack.callback(server.stop, timeout=0)
        self._stack.enter_context(self._peers)
        self._stack.enter_context(self._watched_operations)
        self._stack.enter_context(self._owner_view)
        self._stack.enter_context(self._vm_records)
        self._stack.enter_context(self._lease)
        self._ownership = _ownership.Ownership(
            cell=CELL,
            vm_id=self._vm_id,
            address=self._peer_address,
            store=self._ports.store,
            lease=self._lease,
            owner_item=lambda: self._owner_view.item,
            may_own=self._may_own,
            serve=self._serve,
            yield_ms=lambda: self._vm_records.yield_ms,
            instance=self._instance,
            random_state=self._random,
            now_ms=_clock.steady_ms,
            log=self._log,
        )
        self._stack.enter_context(self._ownership)
        self._stack.enter_context(self._owner_monitor)
        self._stack.enter_context(
            _giving_way.GivingWay(
                ownership=self._ownership,
                is_weak=lambda: self._vm_records.is_weak,
                now_ms=_clock.steady_ms,
                log=self._log,
            )
        )
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    @property
    def is_ready(self):
        """Whether this VM can serve callers."""
        return (
            not self._stopping
            and self.configuration.current is not None
            and self._lease.is_valid
        )

    def describe(self):
        """Returns the `VmState`."""
        return _vm_state.describe(
            cell=self._local_cell(),
            lease_until_ms=self._lease.valid_until_ms,
            configuration=self.configuration.current,
            configuration_sync_ms=self._watched_operations.last_sync_ms,
            now_ms=_clock.steady_ms(),
            drained_data_centres=self.drain_requests.data_centres,
        )

    def hand_over(self):
        """Gives up the cell and the lease; this VM is no longer ready.

        Another VM can then acquire the cell at once.
        """
        self._stopping = True
        self._ownership.__exit__()
        self._lease.__exit__()

    def stop_accepting(self):
        """Lets callers' requests be rejected from now on."""
        self.accepts_requests = False

    def _make_watched_prefix(
        self, prefix, on_change, wait_ms, pause_ms=0, on_read=None
    ):
        return _watched_prefix.WatchedPrefix(
            store=self._ports.store,
            prefix=prefix,
            on_change=on_change,
            now_ms=_clock.steady_ms,
            wait_ms=wait_ms,
            pause_ms=pause_ms,
            on_read=on_read,
            log=self._log,
        )

    # Ownership

    def _may_own(self):
        return (
            not self._stopping
            and self._owner_view.is_synced
            and self.configuration.current is not None
        )

    def _owner_changed(self, change):
        if self._ownership is not None:
            self._ownership.owner_changed(change)
        self._owner_monitor.owner_changed()
        for request in self.drain_requests.known:
            self._tell_owner_of_drain(request)

    def _other_addresses(self):
        """Returns the addresses of the other VMs, the owner's first."""
        owner = self._owner_view.address
        others = sorted(
            set(self._vm_records.address_by_vm.values())
            - {self._peer_address, owner}
        )
        if owner is None or owner == self._peer_address:
            return others
        return [owner, *others]

    def _serve(self, tenure, session_end):
        _owner_record.record_epoch(
            self._owner_view.epoch_history,
            epoch=tenure.epoch,
            after_revoked=tenure.after_revoked,
            now_ms=_clock.steady_ms(),
        )
        policy_router = _policy_queries.PolicyQueryRouter(
            vm_id=self._vm_id,
            policy=self._ports.policy,
            peers=self._peers,
            address_by_vm=lambda: self._vm_records.address_by_vm,
            now_ms=_clock.steady_ms,
            log=self._log,
        )
        self._session = _owner.OwnerSession(
            tenure=tenure,
            store=self._ports.store,
            decoders=self._ports.decoders,
            endpoints=self._ports.endpoints,
            policy_router=policy_router,
            lease=self._lease,
            configuration=lambda: self.configuration.current,
            drained_data_centres=lambda: self.drain_requests.data_centres,
            session_end=session_end,
            epoch_history=self._owner_view.epoch_history,
            placement=self._placement,
            record_limits=self._record_limits,
            now_ms=_clock.steady_ms,
            unix_ms=_clock.unix_ms,
            log=self._log,
        )
        try:
            self._session.serve()
        finally:
            self._session = None

    def _is_monitor(self, owner):
        return not self._stopping and self._vm_records.is_monitor(owner)

    def _local_cell(self):
        session = self._session
        if session is None or not session.is_current:
            return None
        return session.cell

    def _deliver_local(self, event):
        """Delivers an event if this VM serves the cell; returns whether."""
        if self._local_cell() is None:
            return False
        self._session.deliver(event)
        return True

    # What operators request

    def _operation_changed(self, change):
        """Applies a change of a key that operators write."""
        if change.key == self._ports.decoders.configuration_key:
            self.configuration.apply_change(change)
            return
        request = self.drain_requests.apply_change(change)
        if request is not None:
            self._tell_owner_of_drain(request)

    def _drains_changed(self):
        if self._session is not None:
            self._session.drains_changed()

    def _tell_owner_of_drain(self, request):
        """Tells the owner if this VM monitors it; its watch may be silent."""
        owner = self._owner_view.record
        if owner is not None and self._is_monitor(owner):
            self._notices.tell(self.drain_requests.to_notice(request))

    def _configuration_changed(self):
        if self._session is not None:
            self._session.configuration_changed()

    # Requests of other VMs

    @functools.singledispatchmethod
    def _answer(self, message):
        raise errors.BadInputError(
            f"expected a request, not {type(message).__name__}"
        )

    @_answer.register
    def _(self, message: cells.AskJobState):
        return self.job_service.answer_state(message)

    @_answer.register
    def _(self, message: cells.AskWaiting):
        return self.job_service.answer_waiting(message)

    @_answer.register
    def _(self, message: cells.RelayWrite):
        return self._relay.answer_write(message)

    @_answer.register
    def _(self, message: cells.RelayRead):
        return self._relay.answer_read(message)

    @_answer.register
    def _(self, message: cells.JobWasStored):
        return self._notices.answer_stored(message)

    @_answer.register
    def _(self, message: cells.JobWasCancelled):
        return self._notices.answer_cancelled(message)

    @_answer.register
    def _(self, message: cells.DrainWasRequested):
        return self.drain_requests.answer_notice(message)

    @_answer.register
    def _(self, message: cells.AskInstance):
        return self._owner_monitor.answer(message)

    @_answer.register
    def _(self, message: cells.RelayAdvice):
        tickets, valid_ms = self._ports.policy.request_tickets(
            message.job_id,
            message.occurrence,
            message.step,
            message.endpoint_ids,
            min(message.timeout_ms, POLICY_TIMEOUT_MS),
        )
        return cells.AdviceIs(tuple(tickets.items()), valid_ms)
