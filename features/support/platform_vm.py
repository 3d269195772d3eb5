"""An entry VM on the platform with its callers' interface, without a store."""

import pathlib
import sys

import orjson

from features.support import cells_store
from samphiregate.adapters.cells import _configuration
from samphiregate.adapters import http
from samphiregate import metrics

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.append(str(ROOT / "platform"))

from samphiregate_platform import callers  # noqa: E402
from samphiregate_platform import documents  # noqa: E402

REGISTRATION = {
    "service": "svc",
    "addr": "127.0.0.1:5",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
    "sequence": 4,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "keyed",
            "host": "h",
            "prefix": "/q/",
            "service": "svc",
            "no_auth": False,
        },
        {
            "name": "open",
            "host": "h",
            "prefix": "/open/",
            "service": "svc",
            "no_auth": True,
        },
    ],
    "services": [],
    "tenants": [
        {"name": "team", "api_keys": ["secret"], "weight": 1, "cap": {}}
    ],
}


class Vm:
    """The parts of an entry VM that `CallersApi` uses."""

    def __init__(self):
        self.accepts_requests = True
        log = cells_store.FakeLog()
        self.configuration = _configuration.ConfigurationHolder(
            decode=documents.configuration, on_change=lambda: None, log=log
        )
        now_ms = cells_store.SteppingClock().now_ms
        relay = cells_store.make_relay(cells_store.MemoryStore(), now_ms)
        self.job_service = cells_store.make_job_service(relay, now_ms)


def make_vm():
    """Returns a VM with queues that require a key and that do not."""
    vm = Vm()
    vm.configuration.current = documents.configuration(
        orjson.dumps(CONFIGURATION)
    )
    vm.configuration._routes_by_host = _configuration._by_host(
        vm.configuration.current.routes
    )
    return vm


def make_api(vm):
    """Returns the callers' interface of a VM."""
    return callers.CallersApi(
        vm=vm,
        log=cells_store.FakeLog(),
        metrics=metrics.VmMetrics(),
        is_stopping=lambda: False,
        bodies=http.BodyReader(http.ProcessLimits().callers),
    )
