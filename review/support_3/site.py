"""A small deployment: entry VMs in processes of their own, and stand-ins."""

import base64
import contextlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import gevent
from gevent import socket
import orjson

from review.support_3 import runner
from samphiregate.adapters import http
from standins import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PASSED_ON = ("PATH", "HOME", "LANG")
PORT_COUNT = 16
LOWEST_PORT, HIGHEST_PORT = 20_000, 32_000
READY_WAIT_S = 30
DEADLINE_MS = 3_000
HOST = "h.example"
SETTINGS = """\
node_name=front-{number}
role=entry
machine_class=front
serves=front
ip=127.0.0.1
zone=a
region=r
zones.a=r
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
port_range={first},{last}
seeds=
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
heartbeat_ms=1500
bounds.grace_s=6
bounds.hold_max_ms=10000
bounds.stop_grace_ms=200
bounds.far_x=2
orders=rpc
platform.addr={store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


def route(name, service, **fields):
    """Returns a route of a configuration; its prefix is ``/name/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": service,
        "no_auth": True,
        "priority": 1,
        "max_attempts": 4,
        "stretch": 4.0,
        "target_latency_ms": 3_000,
        **fields,
    }


class Vm:
    """One entry VM, started as the deploy file says.

    Parameters
    ----------
    number : int
    store_address : str
    folder : pathlib.Path
        For its settings and its log.
    """

    def __init__(self, number, store_address, folder):
        ports = _free_ports(PORT_COUNT + 2)
        self.front = f"127.0.0.1:{ports}"
        self.ready = f"127.0.0.1:{ports + 1}"
        self.log_path = folder / f"vm-{number}.log"
        self.process = None
        self._settings_path = folder / f"vm-{number}.conf"
        self._settings_path.write_text(
            SETTINGS.format(
                number=number,
                front=ports,
                ready=ports + 1,
                first=ports + 2,
                last=ports + 1 + PORT_COUNT,
                store=store_address,
            )
        )

    def start(self):
        """Starts the process."""
        environment = {
            name: os.environ[name] for name in PASSED_ON if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SAMPHIREGATE_BOOT"] = str(self._settings_path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends a signal to the process."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def is_ready(self):
        """Whether it answers that it is ready."""
        return call(self.ready, "GET", "/samphiregate/readiness")[0] == 200

    def owns(self):
        """Whether its log says that it serves the cell."""
        text = self.log_path.read_text(errors="replace")
        return text.count('"cell served"') > text.count('"cell left"')


class Site(contextlib.ExitStack):
    """The store, runners and entry VMs of one case; a context manager.

    Parameters
    ----------
    folder : pathlib.Path
        Where ``record.txt`` is written.
    routes : list of dict
    vm_count : int
    """

    def __init__(self, folder, routes, vm_count=2):
        super().__init__()
        self.values = store.Values()
        self.runners = []
        self.vms = []
        self.work_by_job = {}
        self._routes = routes
        self._vm_count = vm_count
        self._folder = folder
        self._began_s = time.monotonic()
        self._record_file = None

    def __enter__(self):
        super().__enter__()
        path = self._folder / "record.txt"
        self._record_file = self.enter_context(open(path, "w"))
        self.configure(1)
        server = http.NoDelayServer(
            "127.0.0.1:0", store.Application(self.values), error_log=None
        )
        server.start()
        self.callback(server.stop, timeout=0)
        self._store_address = f"127.0.0.1:{server.server_port}"
        return self

    @property
    def now_s(self):
        """Seconds since the case began."""
        return time.monotonic() - self._began_s

    def record(self, *words):
        """Writes a line of the record."""
        line = " ".join(str(word) for word in words)
        print(f"{self.now_s:8.3f} {line}", file=self._record_file, flush=True)

    def configure(self, version, routes=None, tenants=()):
        """Writes a configuration, as the operator does."""
        document = {
            "version": version,
            "routes": routes or self._routes,
            "services": [],
            "limits": {},
            "tenants": list(tenants),
        }
        value = base64.b64encode(orjson.dumps(document)).decode()
        self.values.set("op/config", value)
        self.record("configuration", version)

    def add_runner(self, runner_id, **fields):
        """Starts a runner; returns it."""
        one = runner.Runner(
            runner_id,
            values=self.values,
            find_work=self._find_work,
            record=self.record,
            **fields,
        )
        self.runners.append(self.enter_context(one))
        return one

    def start_vms(self):
        """Starts the entry VMs, and waits until they are ready."""
        folder = pathlib.Path(
            self.enter_context(tempfile.TemporaryDirectory())
        )
        for number in range(self._vm_count):
            vm = Vm(number, self._store_address, folder)
            self.vms.append(vm)
            vm.start()
            self.callback(_end_process, vm.process)
        for vm in self.vms:
            if not wait_until(vm.is_ready, READY_WAIT_S):
                raise NotRunError("a VM did not get ready")
        self.record("VMs are ready")

    def submit(self, queue, job_id, steps, work_s, *, vm=None, **fields):
        """Hands a job in whose tasks take `work_s`; returns the status."""
        saves = any(step.get("checkpoints") for step in steps)
        self.work_by_job[job_id] = runner.Work(work_s, saves=saves)
        document = {"spec": "text", "steps": steps, **fields}
        status, _body = self.ask(
            "POST", f"/{queue}/{job_id}", orjson.dumps(document), vm=vm
        )
        return status

    def state(self, queue, job_id, vm=None):
        """Returns the state that a caller gets, or the status."""
        status, body = self.ask("GET", f"/{queue}/{job_id}", vm=vm)
        return orjson.loads(body)["state"] if status == 200 else status

    def waiting(self, queue, vm=None):
        """Returns the number of waiting jobs that a caller gets."""
        status, body = self.ask("GET", f"/{queue}/", vm=vm)
        return orjson.loads(body)["waiting"] if status == 200 else None

    def ask(self, method, path, body=b"", vm=None):
        """Sends a caller's request; returns status and body."""
        vm = vm or self.vms[-1]
        status, answer = call(vm.front, method, path, body)
        self.record(method, path, "->", status, answer.decode())
        return status, answer

    def _find_work(self, task):
        return self.work_by_job[task.partition(".")[0]]


class NotRunError(Exception):
    """The case could not be run."""


def call(address, method, path, body=b"", timeout_ms=DEADLINE_MS):
    """Sends one request; returns status and body, or 0 without an answer."""
    headers = {"Host": HOST, "X-Deadline-Ms": str(timeout_ms)}
    if body:
        headers["Content-Type"] = "application/json"
    try:
        with http.Client(address, timeout_ms=timeout_ms) as client:
            answer = client.request(method, path, body=body, headers=headers)
    except Exception:
        return 0, b""
    return answer.status, answer.body


def wait_until(condition, wait_s):
    """Polls until `condition()` is true; returns whether it was."""
    end_s = time.monotonic() + wait_s
    while time.monotonic() < end_s:
        if condition():
            return True
        gevent.sleep(0.02)
    return False


def run(case):
    """Runs a case and exits as the issue says; `case` returns if it held.

    Parameters
    ----------
    case : callable
        Takes whether there is trouble; returns whether the rule held.
    """
    try:
        held = case(os.environ.get("TROUBLE", "1") != "0")
    except NotRunError as error:
        print(f"not run: {error}")
        sys.exit(2)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)


def _free_ports(count):
    """Returns the first of some free ports in a row."""
    first = LOWEST_PORT + os.getpid() * 97 % 8_000
    first += _free_ports.given
    while first < HIGHEST_PORT:
        if all(_is_free(first + number) for number in range(count)):
            _free_ports.given += count
            return first
        first += count
    raise NotRunError("no free ports")


_free_ports.given = 0


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _end_process(process):
    if process.poll() is None:
        process.kill()
        process.wait()
