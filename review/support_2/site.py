"""A small deployment: store, runners, entry VMs and a record of it all."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from support_2 import runner as runners
from support_2 import store as stores
from support_2 import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "3hh2b9wu3fexd9dnn2ct"
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
START_TIMEOUT_S = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = """bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.hold_max_ms=10000
bounds.stop_grace_ms=400
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.far_x=2
bounds.require_fence=true
"""


class NotRunError(Exception):
    """The case could not be run."""


def route(name, prefix, service, priority=0):
    """Returns one queue of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 3_000,
        "target_latency_ms": 250,
        "priority": priority,
        "service": service,
        "max_attempts": 3,
        "stretch": 1.5,
        "no_auth": False,
    }


class _Vm:
    """One entry VM: a process of the deploy file's command."""

    def __init__(self, name, ports, path, log_path):
        self.name = name
        self.front = f"127.0.0.1:{ports[0]}"
        self.ready = f"127.0.0.1:{ports[1]}"
        self.path = path
        self.log_path = log_path
        self.process = None

    def start(self):
        """Starts the process."""
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment["SAMPHIREGATE_BOOT"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Ends the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Site:
    """The deployment; an asynchronous context manager.

    Parameters
    ----------
    record_path : pathlib.Path
        Where the record is written.
    vm_count : int
    """

    def __init__(self, record_path, vm_count=3):
        self.store = stores.Store()
        self.store_address = ""
        self.vms = []
        self.runners = []
        self.starts = []
        self.ends = []
        self._vm_count = vm_count
        self._record = open(record_path, "w", encoding="utf-8")
        self._begin_s = time.monotonic()
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self):
        self.store_address = await self.store.start()
        return self

    async def __aexit__(self, *exc_info):
        for vm in self.vms:
            vm.kill()
        for runner in self.runners:
            runner.close()
        self.store.close()
        self._record.close()
        self._folder.cleanup()

    def now_s(self):
        """Returns the seconds since the begin of the script."""
        return time.monotonic() - self._begin_s

    def note(self, what, **fields):
        """Writes one line of the record."""
        line = {"s": round(self.now_s(), 3), "what": what, **fields}
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()
        if what == "started":
            self.starts.append(line)
        elif what == "ended":
            self.ends.append(line)

    def configure(self, routes, version=7):
        """Writes the configuration, as the operator."""
        document = {
            "version": version,
            "routes": routes,
            "services": [],
            "limits": {},
            "tenants": [
                {
                    "name": "hule930",
                    "api_keys": [KEY],
                    "weight": 6,
                    "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
                }
            ],
        }
        self.store.put("op/config", stores.encode(document))
        self.note("configuration written", version=version)

    async def add_runner(self, runner_id, service, capacity, labels):
        """Starts a runner."""
        runner = runners.Runner(
            self.store, runner_id, service, capacity, labels, self.note
        )
        self.runners.append(await runner.start())
        return runner

    async def start_vms(self):
        """Starts the entry VMs, and waits until all are ready."""
        for number in range(self._vm_count):
            name = f"front-z-{number + 1}"
            ports = _free_ports(2) + _free_range()
            path = pathlib.Path(self._folder.name) / f"{name}.conf"
            path.write_text(self._settings(name, ports), encoding="utf-8")
            log_path = pathlib.Path(self._folder.name) / f"{name}.log"
            vm = _Vm(name, ports, path, log_path)
            vm.start()
            self.vms.append(vm)
            self.note("vm started", vm=name)
        end_s = time.monotonic() + START_TIMEOUT_S
        for vm in self.vms:
            while not await self.is_ready(vm):
                if time.monotonic() > end_s:
                    raise NotRunError(f"{vm.name} did not become ready")
                await asyncio.sleep(0.1)
        self.note("vms ready")

    async def is_ready(self, vm):
        """Whether an entry VM says that it is ready."""
        status, _body = await web.call(
            vm.ready, "GET", "/samphiregate/readiness"
        )
        return status == 200

    def _settings(self, name, ports):
        return (
            f"node_name={name}\n"
            "role=entry\n"
            "machine_class=front\n"
            "serves=front\n"
            "ip=127.0.0.1\n"
            "zone=z-1\n"
            "region=r-1\n"
            "zones.z-1=r-1\n"
            f"listen.front=127.0.0.1:{ports[0]}\n"
            f"listen.ready=127.0.0.1:{ports[1]}\n"
            f"port_range={ports[2]},{ports[2] + 3}\n"
            "bootstrap=true\n"
            "limits.cpu_share=0.537\n"
            "limits.cores=2\n"
            "limits.memory_mb=300\n"
            "discovery=platform\n"
            "entry=vip\n"
            "heartbeat_ms=1500\n"
            f"{BOUNDS}"
            "orders=rpc\n"
            f"platform.addr={self.store_address}\n"
            "platform.form=kv\n"
            "platform.writes_per_s=400\n"
            "platform.reads_per_s=2000\n"
            "platform.history_s=20\n"
            "platform.value_bytes=1048576\n"
            "platform.ttl_min_ms=1000\n"
        )

    # What clients do

    async def call(self, vm, method, path, document=None, deadline_ms=3_000):
        """Sends a client's request, and records it with its answer."""
        self.note("sent", vm=vm.name, method=method, path=path)
        headers = {
            "Host": HOST,
            "X-Key": KEY,
            "X-Deadline-Ms": str(deadline_ms),
        }
        sending = web.call(
            vm.front, method, path, headers=headers, document=document
        )
        try:
            status, body = await asyncio.wait_for(sending, deadline_ms / 1000)
        except asyncio.TimeoutError:
            status, body = 0, None
        self.note(
            "answered",
            vm=vm.name,
            method=method,
            path=path,
            status=status,
            body=body,
        )
        return status, body

    def owner(self):
        """Returns the entry VM that owns the cell; None without one."""
        for key in self.store.keys("cells/"):
            name = json.loads(self.store.value(key)).get("vm_id")
            for vm in self.vms:
                if vm.name == name:
                    return vm
        return None

    async def wait_for(self, condition, timeout_s, what):
        """Waits until a condition holds; raises `NotRunError`."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise NotRunError(f"{what} took over {timeout_s} s")
            await asyncio.sleep(0.02)

    def log_of(self, vm):
        """Returns what an entry VM has written so far."""
        return pathlib.Path(vm.log_path).read_text(errors="replace")


_given_ports = set()


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _free_ports(count):
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            found.append(port)
    return found


def _free_range():
    """Returns the first of four free ports in a row, in a list."""
    while True:
        (first,) = _free_ports(1)
        others = range(first, first + 4)
        if first < 65_000 and all(map(_is_free, others)):
            _given_ports.update(others)
            return [first]


def run(case, record_path):
    """Runs a case and exits.

    Parameters
    ----------
    case : coroutine function
        Takes the record's path and whether to cause the disruption; returns
        whether the rule held, and a sentence.
    record_path : pathlib.Path
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held, sentence = asyncio.run(case(record_path, trouble))
    except Exception as error:
        # An error of the script tells nothing of the rule.
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    with open(record_path, "a", encoding="utf-8") as record:
        record.write(
            json.dumps({"what": "verdict", "held": held, "sentence": sentence})
            + "\n"
        )
    print(("held: " if held else "broken: ") + sentence)
    sys.exit(HELD if held else BROKEN)
