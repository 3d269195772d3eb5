"""One running entry VM: its machines, adapters and life cycle."""

import contextlib
import random

from absl import logging
import gevent

from samphiregate.adapters import edge
from samphiregate.adapters import peers
from samphiregate.adapters import platform
from samphiregate.adapters import runners
from samphiregate.adapters import workers as worker_exchanges
from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import jobs
from samphiregate.core import requests
from samphiregate.core import store
from samphiregate.core import workers
from samphiregate.daemon import _loop
from samphiregate.daemon import _machines
from samphiregate.daemon import _status
from samphiregate import metrics
from samphiregate import timers

DRAIN_POLL_S = 0.05
MS_PER_SECOND = 1_000
CERTIFICATE_PERIOD_MS = 10_000
EXCHANGE_TIMEOUT_MS = 2_000
EXCHANGES_PER_LEASE = 4


class Node(contextlib.ExitStack):
    """An entry VM that runs for as long as its context is open.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        self.metrics = metrics.Metrics(statsd_endpoint=settings.statsd)
        self.timers = timers.TimerService(on_error=_log_error)
        self.machines = _machines.build(settings)
        self.loop = _loop.EventLoop(
            machine=self.machines.entry_vm, now_ms=self.timers.now_ms
        )

    def __enter__(self):
        super().__enter__()
        self.enter_context(self.timers)
        self._start_peers()
        self._start_runners()
        self._start_workers()
        self._start_edge()
        self._start_platform()
        tick = self.timers.every(self.settings.tick_ms, self._tick)
        self.enter_context(tick)
        return self

    def drain(self):
        """Stops gracefully.

        Returns
        -------
        bool
            Whether all work ended or was handed over in time.
        """
        end_ms = self.timers.now_ms() + self.settings.drain_ms
        self._edge.start_draining()
        gevent.sleep(self.settings.notice_ms / MS_PER_SECOND)
        self.loop.deliver(base.StopRequested())
        left_ms = max(end_ms - self.timers.now_ms(), 0)
        finished = self._edge.finish(left_ms)
        while not self._is_idle():
            if self.timers.now_ms() > end_ms:
                return False
            gevent.sleep(DRAIN_POLL_S)
        return finished

    @property
    def http_endpoint(self):
        """The ``ip:port`` that callers connect to."""
        return self._edge.endpoint

    def status(self):
        """Returns the document of ``GET /v1/status``."""
        return _status.document(self)

    def peer_bytes(self):
        """Returns bytes sent to and received from entry VMs so far."""
        return self._hub.bytes_counted()

    def is_ready(self):
        """Returns whether this entry VM can serve requests."""
        replica = self.machines.configuration
        return replica.settled and replica.configuration.revision > 0

    def _is_idle(self):
        busy = self.machines.runner_owner.in_flight
        return not busy and self._hub.is_drained and self._has_handed_over()

    def _has_handed_over(self):
        if not self.machines.ownership.owned_shards:
            return True
        others = self.machines.membership.present_ids(
            self.settings.data_centre
        )
        return not set(others) - {self.settings.vm_id}

    def _tick(self, _now_ms):
        self.loop.deliver(base.Tick())

    def _start_peers(self):
        settings = self.settings
        self._hub = peers.PeerHub(
            vm_id=settings.vm_id,
            listen=settings.peer_listen,
            secret=settings.secret.encode(),
            deliver=self.loop.deliver,
            timers=self.timers,
            metrics=self.metrics,
        )
        self.loop.perform_with(self._send_to_peer, base.SendToPeer)
        self.enter_context(self._hub)

    def _send_to_peer(self, action):
        self._hub.send(action.recipient, action.message)

    def _start_runners(self):
        self._runners = runners.RunnerPool(submit=self.loop.deliver)
        self.loop.perform_with(
            self._runners.perform,
            requests.SendToRunner,
            requests.ProbeRunner,
        )
        self.enter_context(self._runners)

    def _start_workers(self):
        exchanges = worker_exchanges.WorkerExchanges(
            deliver=self.loop.deliver,
            timeout_ms=min(
                EXCHANGE_TIMEOUT_MS,
                self.settings.lease_ms // EXCHANGES_PER_LEASE,
            ),
        )
        self.loop.perform_with(exchanges.perform, workers.ExchangeWithWorker)
        self.loop.perform_with(self._note_start, jobs.TaskStarted)
        self.loop.perform_with(self._note_end, jobs.TaskFinished)
        self.enter_context(exchanges)

    def _note_start(self, action):
        self.metrics.observe_wait(
            action.team, action.work_class, action.wait_ms
        )

    def _note_end(self, action):
        self.metrics.observe_run(action.team, action.work_class, action.run_ms)

    def _start_edge(self):
        settings = self.settings
        self._edge = edge.EdgeServer(
            endpoint=settings.http_listen,
            submit=self.loop.deliver,
            vm_id=settings.vm_id,
            configuration_replica=self.machines.configuration,
            metrics=self.metrics,
            status=self.status,
            ready=self.is_ready,
            operator_networks=settings.networks(),
            certificate_file=settings.tls_certificate,
            key_file=settings.tls_key,
            most_connections=settings.max_connections,
            most_body_bytes=settings.max_body_bytes,
            longest_deadline_ms=settings.longest_deadline_ms,
        )
        self.loop.perform_with(
            self._edge.perform, requests.AnswerCaller, jobs.JobAnswer
        )
        self.enter_context(self._edge)
        self.enter_context(
            self.timers.every(CERTIFICATE_PERIOD_MS, self._refresh_certificate)
        )

    def _refresh_certificate(self, _now_ms):
        if not self._edge.refresh_certificate():
            logging.error("edge: the new certificate cannot be used.")

    def _start_platform(self):
        self._platform = platform.PlatformClient(
            endpoint=self.settings.platform,
            deliver=self._deliver_from_platform,
            timers=self.timers,
            random_state=random.Random(self.settings.seed),
            data_centre=self.settings.data_centre,
            fleet_interval_ms=self.settings.fleet_poll_ms,
        )
        self.loop.perform_with(
            self._platform.perform,
            store.ReadKey,
            store.CompareAndSwap,
            store.WatchKey,
        )
        self.enter_context(self._platform)

    def _deliver_from_platform(self, event):
        if isinstance(event, fleet.FleetListed):
            self._hub.update_endpoints(
                {
                    entry_vm.vm_id: entry_vm.peer_endpoint
                    for entry_vm in event.entry_vms_by_id.values()
                    if entry_vm.vm_id != self.settings.vm_id
                }
            )
        self.loop.deliver(event)


def _log_error(error):
    logging.error("timers: a callback failed.", exc_info=error)
