"""The command line as a process, and a small entry VM for it to ask."""

import contextlib
import io
import os
import subprocess
import sys
from unittest import mock

import attrs
import orjson

from samphiregate.adapters import http
from samphiregate import cli
from samphiregate.core import configuration as configurations

PREFIX = "SAMPHIREGATE_"
RUN_TIMEOUT_S = 60
PROBLEM = [("Content-Type", "application/problem+json")]


class PlatformProcess:
    """The stand-in of the platform as a process; a context manager."""

    def __enter__(self):
        self._process = subprocess.Popen(
            [sys.executable, "-m", "standins.platform", "--fleet-lag-ms=0"],
            stdout=subprocess.PIPE,
            text=True,
        )
        line = self._process.stdout.readline()
        self.endpoint = line.split()[-1]
        self._client = http.Client(self.endpoint)
        return self

    def __exit__(self, *exc_info):
        self._client.close()
        self._process.terminate()
        self._process.wait(RUN_TIMEOUT_S)
        self._process.stdout.close()

    def set_faults(self, **faults):
        """Tells the stand-in to fail."""
        answer = self._client.request_json("POST", "/faults", faults)
        assert answer.status == 200, answer

    def list_entry_vm(self, vm_id, endpoint):
        """Puts an entry VM into the fleet list."""
        document = {
            "vm_id": vm_id,
            "data_centre": "dc",
            "peer_endpoint": "127.0.0.1:1",
            "http_endpoint": endpoint,
        }
        self._client.request_json("POST", "/fleet/entry-vms", document)

    def revision(self):
        """Returns the revision that the store holds."""
        answer = self._client.request("GET", f"/kv/{configurations.HEAD_KEY}")
        if answer.status != 200:
            return 0
        return configurations.decode_head(answer.body).revision


class FakeEntry:
    """Answers as an entry VM does; a context manager.

    Parameters
    ----------
    revision : callable
        Returns the revision in force.
    """

    def __init__(self, revision):
        self.revision = revision
        self.refusal = None
        self.answer = {}
        self.calls = []
        self._server = http.NoDelayServer("127.0.0.1:0", self._serve)

    def __enter__(self):
        self._server.start()
        self.endpoint = f"127.0.0.1:{self._server.server_port}"
        return self

    def __exit__(self, *exc_info):
        self._server.stop(timeout=0)

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.calls.append((environ, body))
        if self.refusal is not None:
            status, document = self.refusal
            start_response(f"{status} Refused", PROBLEM)
            return [orjson.dumps(document)]
        document = self.answer
        if environ["PATH_INFO"] == "/v1/status":
            document = {"revision": self.revision()}
        kind = [
            ("Content-Type", "application/json"),
            ("Samphiregate-Request-Id", "request-1"),
        ]
        start_response("200 OK", kind)
        return [orjson.dumps(document)]


@attrs.frozen
class Done:
    """How a command ended, and what it wrote."""

    returncode: int
    stdout: str
    stderr: str


def run_process(arguments, **variables):
    """Runs the command line as a process and returns how it ended."""
    finished = subprocess.run(
        [sys.executable, "-m", "samphiregate.cli", *arguments],
        env=_environment(variables),
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )
    return Done(finished.returncode, finished.stdout, finished.stderr)


def run_here(arguments, **variables):
    """Runs the command line in this process and returns how it ended."""
    output = io.TextIOWrapper(io.BytesIO(), write_through=True)
    remarks = io.StringIO()
    with (
        mock.patch.dict(os.environ, _environment(variables), clear=True),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(remarks),
    ):
        try:
            exit_code = cli.main(arguments)
        except SystemExit as ended:
            exit_code = ended.code or 0
    written = output.buffer.getvalue().decode()
    return Done(exit_code, written, remarks.getvalue())


def _environment(variables):
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(PREFIX)
    }
    return kept | {PREFIX + name: text for name, text in variables.items()}
