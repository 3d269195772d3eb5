"""An entry VM of the platform in a process of its own, with its store."""

import base64
import contextlib
import pathlib
import tempfile

import orjson

from samphiregate.adapters import http
from standins import processes
from standins import store as standin

WAIT_S = 60  # upper bound, not an expected time
STARTED = '"started"'
READINESS_PATH = "/samphiregate/readiness"
SETTINGS = """\
node_name=front-a-1
ip={ip}
zone=a
listen.front={front}
listen.ready={ready}
port_range={port},{last_port}
platform.addr={store}
"""
PORT_COUNT = 2


class VmProcess(contextlib.ExitStack):
    """The processes of an entry VM and its store; a context manager.

    Parameters
    ----------
    settings : dict
        Further fields of its settings file, by name.
    delay_s : callable
        Returns how long the store's next call takes.

    Attributes
    ----------
    address_by_port : dict
        ``ip:port`` by "front", "ready", "peers" and "metrics".
    """

    def __init__(self, *, settings, delay_s=lambda: 0):
        super().__init__()
        self.address_by_port = {}
        self.process = None
        self._settings = settings
        self._delay_s = delay_s
        self._values = None
        self._log_path = None

    def start_process(self, version):
        """Starts the store, with a configuration, and the entry VM."""
        folder = pathlib.Path(
            self.enter_context(tempfile.TemporaryDirectory())
        )
        path = folder / "settings"
        path.write_text(self._settings_text(self._start_store(version)))
        group = self.enter_context(processes.ProcessGroup(folder))
        self.process = group.start("vm", "standins.traced_platform", str(path))
        self._log_path = folder / "vm.log"

    def wait_ready(self):
        """Waits until the entry VM says that it is ready."""
        processes.wait_until(self.is_ready, WAIT_S, "start of the VM")

    def wait_started(self):
        """Waits until the entry VM has written that it started."""
        processes.wait_until(
            lambda: STARTED in self.log_text(), WAIT_S, "start of the VM"
        )

    def is_ready(self):
        """Whether the entry VM answers that it is ready."""
        try:
            with http.Client(self.address_by_port["ready"]) as client:
                answer = client.request("GET", READINESS_PATH)
        except Exception:
            return False
        return answer.status == 200

    def log_text(self):
        """Returns what the entry VM has written so far."""
        return self._log_path.read_text(errors="replace")

    def configure(self, version):
        """Writes a configuration: one queue, open to all."""
        route = {
            "name": "q",
            "host": "h",
            "prefix": "/q/",
            "service": "svc",
            "no_auth": True,
        }
        value = orjson.dumps({"version": version, "routes": [route]})
        self._values.set("op/config", base64.b64encode(value).decode())

    def _start_store(self, version):
        application = standin.Application(standin.Values(), self._delay_s)
        self._values = application.values
        self.configure(version)
        server = http.NoDelayServer("127.0.0.1:0", application)
        server.start()
        self.callback(server.stop, timeout=0)
        return f"127.0.0.1:{server.server_port}"

    def _settings_text(self, store):
        first = processes.free_endpoints(PORT_COUNT)
        ip, _colon, port = first.partition(":")
        last_port = int(port) + PORT_COUNT - 1
        self.address_by_port = {
            "front": processes.free_endpoint(),
            "ready": processes.free_endpoint(),
            "peers": first,
            "metrics": f"{ip}:{last_port}",
        }
        text = SETTINGS.format(
            ip=ip,
            front=self.address_by_port["front"],
            ready=self.address_by_port["ready"],
            port=port,
            last_port=last_port,
            store=store,
        )
        lines = [f"{name}={value}" for name, value in self._settings.items()]
        return "\n".join([text, *lines, ""])
