"""Starts the stand-ins and entry VMs of a small site, and registers them."""

import contextlib
import signal

import attrs

from samphiregate.adapters import http
from samphiregate.core import model
from samphiregate import errors
from standins import processes
from standins import proxy

SECRET = "a secret for stand-in sites"
READY_TIMEOUT_S = 30
FLEET_LAG_MS = 300
LOG_TAIL = 2_000
WORKER_CAPACITY = model.Resources(32_000, 65_536, 0)
ACCELERATED_CAPACITY = model.Resources(64_000, 131_072, 8)


@attrs.frozen
class EntryVmEndpoints:
    """The ``ip:port`` of each server of an entry VM, and of its proxies.

    Parameters
    ----------
    http, peer : str
        Where the daemon listens.
    platform : str
        Where it finds the platform.
    local_peer, remote_peer : str
        Peer endpoint as shown to its own data centre and to others; empty
        without proxies.
    """

    http: str
    peer: str
    platform: str
    local_peer: str = ""
    remote_peer: str = ""


@attrs.frozen
class VmProxies:
    """Proxies in front of one VM's peer endpoint and of its platform."""

    local: proxy.FaultProxy
    remote: proxy.FaultProxy
    platform: proxy.FaultProxy


@attrs.frozen
class EntryVm:
    """A running entry VM.

    Parameters
    ----------
    vm_id : str
        Its id in the fleet list.
    endpoints : EntryVmEndpoints
        Its addresses.
    process : Process
        The daemon.
    """

    vm_id: str
    data_centre: str
    endpoints: EntryVmEndpoints
    process: processes.Process

    @property
    def http_endpoint(self):
        """``ip:port`` for callers."""
        return self.endpoints.http


class Site(processes.ProcessGroup):
    """A platform, entry VMs, runners and workers; a context manager.

    Parameters
    ----------
    log_folder : pathlib.Path
        Folder for one log file a process.
    vm_flags : sequence of str
        Further flags of each entry VM.
    fleet_lag_ms : int
        Lag of the platform's list of machines.
    proxied : bool
        Whether a fault-injecting proxy stands before each VM's peer
        endpoint, one for each side of a cut between data centres, and
        between it and the platform.

    Attributes
    ----------
    proxies_by_vm : dict
        `VmProxies` by id of the entry VM.
    """

    def __init__(
        self,
        log_folder,
        *,
        vm_flags=(),
        fleet_lag_ms=FLEET_LAG_MS,
        proxied=False,
    ):
        super().__init__(log_folder)
        self.proxied = proxied
        self.proxies_by_vm = {}
        self._proxies = contextlib.ExitStack()
        self.vm_flags = tuple(vm_flags)
        self.fleet_lag_ms = fleet_lag_ms
        self.platform_endpoint = processes.free_endpoint()
        self.vms_by_id = {}
        self.worker_endpoints_by_id = {}
        self.runner_endpoints_by_id = {}
        self._started = 0

    def __enter__(self):
        super().__enter__()
        try:
            self._start_platform()
        except BaseException:
            self.stop_all()
            raise
        return self

    def stop_all(self):
        """Stops the newest first; returns exit statuses by name."""
        statuses = super().stop_all()
        self._proxies.close()
        return statuses

    def add_entry_vm(self, data_centre, *flags):
        """Starts and registers an entry VM; returns an `EntryVm`."""
        vm_id = self._next_name(f"{data_centre}-vm")
        endpoints = EntryVmEndpoints(
            http=processes.free_endpoint(),
            peer=processes.free_endpoint(),
            platform=self.platform_endpoint,
        )
        if self.proxied:
            endpoints = self._put_proxies(vm_id, endpoints)
        process = self.start(
            vm_id,
            "samphiregate.daemon",
            *("--vm-id", vm_id, "--data-centre", data_centre),
            *("--platform", endpoints.platform),
            *("--secret", SECRET),
            *("--http-listen", endpoints.http),
            *("--peer-listen", endpoints.peer),
            *("--fleet-poll-ms", "500"),
            *self.vm_flags,
            *flags,
        )
        vm = EntryVm(vm_id, data_centre, endpoints, process)
        self.vms_by_id[vm_id] = vm
        self._register_entry_vm(vm)
        return vm

    def add_runner(self, data_centre, service, *, slots=8, work_ms=20):
        """Starts and registers a runner; returns its id."""
        runner_id = self._next_name(f"{data_centre}-{service}")
        endpoint = processes.free_endpoint()
        self.start(
            runner_id,
            "standins.runner",
            *("--endpoint", endpoint, "--slots", str(slots)),
            *("--work-ms", str(work_ms)),
        )
        self.runner_endpoints_by_id[runner_id] = endpoint
        rack = f"{data_centre}-rack-{self._started % 4}"
        info = model.RunnerInfo(
            runner_id, service, data_centre, rack, endpoint, slots
        )
        self._register("runners", info)
        return runner_id

    def add_workers(
        self, data_centre, count, *, capacity=WORKER_CAPACITY, flags=()
    ):
        """Starts one process that hosts workers; returns their ids."""
        host = self._next_name(f"{data_centre}-workers")
        endpoint = processes.free_endpoint()
        worker_ids = [f"{host}-{number}" for number in range(count)]
        self.start(
            host,
            "standins.worker",
            *("--endpoint", endpoint, "--prefix", host),
            *("--workers", str(count)),
            *("--cpu-millis", str(capacity.cpu_millis)),
            *("--memory-mib", str(capacity.memory_mib)),
            *("--accelerators", str(capacity.accelerators)),
            *flags,
        )
        for number, worker_id in enumerate(worker_ids):
            address = f"{endpoint}/workers/{worker_id}"
            self.worker_endpoints_by_id[worker_id] = address
            rack = f"{data_centre}-rack-{number % 4}"
            info = model.WorkerInfo(
                worker_id, data_centre, rack, address, capacity
            )
            self._register("workers", info)
        return worker_ids

    def stop_entry_vm(self, vm_id):
        """Announces that a VM leaves, stops it, and returns its status."""
        vm = self.vms_by_id[vm_id]
        self._register_entry_vm(vm, leaving=True)
        vm.process.signal(signal.SIGTERM)
        status = vm.process.wait()
        self.forget_entry_vm(vm_id)
        return status

    def kill_entry_vm(self, vm_id):
        """Ends a VM without notice."""
        vm = self.vms_by_id[vm_id]
        vm.process.signal(signal.SIGKILL)
        vm.process.wait()
        self.forget_entry_vm(vm_id)

    def forget_entry_vm(self, vm_id):
        """Takes a VM off the platform's list."""
        del self.vms_by_id[vm_id]
        self.processes_by_name.pop(vm_id, None)
        self._platform.request("DELETE", f"/fleet/entry-vms/{vm_id}")

    def http_endpoints(self):
        """Returns the ``ip:port`` of every entry VM for callers."""
        return [vm.http_endpoint for vm in self.vms_by_id.values()]

    def wait_until_live(self):
        """Waits until every entry VM answers callers."""
        for vm in self.vms_by_id.values():
            processes.wait_until(
                lambda vm=vm: self.is_live(vm),
                READY_TIMEOUT_S,
                f"the start of {vm.vm_id}",
            )

    def wait_until_ready(self):
        """Waits until every entry VM says that it is ready."""
        for vm in self.vms_by_id.values():
            processes.wait_until(
                lambda vm=vm: self.is_ready(vm),
                READY_TIMEOUT_S,
                f"readiness of {vm.vm_id}",
            )

    def is_live(self, vm):
        """Returns whether an entry VM answers callers; see `is_ready`."""
        self._check_runs(vm)
        return self.ask(vm, "/live") is not None

    def is_ready(self, vm):
        """Returns whether an entry VM says that it is ready.

        Raises
        ------
        StartError
            If its process has ended.
        """
        self._check_runs(vm)
        answer = self.ask(vm, "/ready")
        return answer is not None and answer.status == 200

    def _check_runs(self, vm):
        if vm.process.exit_status is not None:
            log = self.log_of(vm.vm_id)[-LOG_TAIL:]
            raise processes.StartError(f"{vm.vm_id} ended: {log}")

    def ask(self, vm, path):
        """Gets a path of an entry VM; returns None if it cannot be had."""
        try:
            with http.Client(vm.http_endpoint) as client:
                return client.request("GET", path)
        except errors.UnavailableError:
            return None

    def set_platform_faults(self, **faults):
        """Has the platform fail, or recover, as `Faults` tells."""
        self._platform.request_json("POST", "/faults", faults)

    def read_key(self, key):
        """Returns the store's value of a key."""
        return self._platform.request("GET", f"/kv/{key}").body

    def _start_platform(self):
        self.start(
            "platform",
            "standins.platform",
            *("--endpoint", self.platform_endpoint),
            *("--fleet-lag-ms", str(self.fleet_lag_ms)),
        )
        self._platform = http.Client(self.platform_endpoint)
        processes.wait_until(
            self._platform_answers, READY_TIMEOUT_S, "the platform's start"
        )

    def _platform_answers(self):
        try:
            return self._platform.request("GET", "/counts").status == 200
        except errors.UnavailableError:
            return False

    def _put_proxies(self, vm_id, endpoints):
        proxies = VmProxies(
            *(
                self._proxies.enter_context(proxy.FaultProxy(target))
                for target in (
                    endpoints.peer,
                    endpoints.peer,
                    endpoints.platform,
                )
            )
        )
        self.proxies_by_vm[vm_id] = proxies
        return attrs.evolve(
            endpoints,
            local_peer=proxies.local.endpoint,
            remote_peer=proxies.remote.endpoint,
            platform=proxies.platform.endpoint,
        )

    def _register_entry_vm(self, vm, leaving=False):
        endpoints = vm.endpoints
        info = model.EntryVmInfo(
            vm.vm_id,
            vm.data_centre,
            endpoints.local_peer or endpoints.peer,
            endpoints.http,
            leaving=leaving,
        )
        extra = {}
        if endpoints.remote_peer:
            extra["remote_peer_endpoint"] = endpoints.remote_peer
        self._register("entry-vms", info, **extra)

    def _register(self, kind, info, **extra):
        answer = self._platform.request_json(
            "POST", f"/fleet/{kind}", {**attrs.asdict(info), **extra}
        )
        if answer.status != 200:
            raise processes.StartError(f"the list refused {info}")

    def _next_name(self, prefix):
        self._started += 1
        return f"{prefix}-{self._started}"
