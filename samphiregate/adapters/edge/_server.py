"""The server of the callers' API: its parts, its start and its stop."""

import functools

from samphiregate.adapters.edge import _access
from samphiregate.adapters.edge import _application
from samphiregate.adapters.edge import _calls
from samphiregate.adapters.edge import _jobs_api
from samphiregate.adapters.edge import _listener
from samphiregate.adapters.edge import _requests_api
from samphiregate.adapters.edge import _status_api
from samphiregate.adapters import http
from samphiregate.core import jobs
from samphiregate.core import requests


class EdgeServer:
    """Serves callers over HTTP; a context manager.

    Each call is handed to the state machines as an event by `submit`, and
    waits for the action that answers it, which `perform` takes.

    Parameters
    ----------
    endpoint : str
        ``ip:port`` to listen on; port 0 takes a free one.
    submit : callable
        Takes each event.
    vm_id : str
        Id of this entry VM, the first part of every request's id.
    configuration_replica : ConfigurationReplica
        Queues, plans and keys in force.
    metrics : Metrics
        Where waits and run times are recorded.
    status : callable
        Returns the document of ``GET /v1/status``.
    ready : callable
        Returns whether the entry VM can serve requests.
    operator_networks : tuple of str
        Networks whose callers see the state of every team.
    certificate_file, key_file : str
        PEM files for TLS; empty for plain HTTP.
    most_connections : int
        Connections at a time.
    most_body_bytes : int
        Longest body of a request.
    most_reading_bytes : int
        Bytes of all requests that are being read.
    longest_deadline_ms : int
        Longest time that a caller may give a request.
    body_timeout_ms : int
        Longest time for reading one body.
    """

    def __init__(
        self,
        *,
        endpoint,
        submit,
        vm_id,
        configuration_replica,
        metrics,
        status,
        ready=lambda: True,
        operator_networks=("127.0.0.0/8",),
        certificate_file="",
        key_file="",
        most_connections=2_000,
        most_body_bytes=1 << 20,
        most_reading_bytes=8 << 20,
        longest_deadline_ms=60_000,
        body_timeout_ms=10_000,
    ):
        self._ready = ready
        self._draining = False
        self._calls = _calls.Calls(submit=submit, vm_id=vm_id)
        limits = http.ServerLimits(
            max_connections=most_connections,
            max_body_bytes=most_body_bytes,
            max_reading_bytes=most_reading_bytes,
            body_timeout_ms=body_timeout_ms,
        )
        self._certificate = None
        if certificate_file:
            self._certificate = _listener.Certificate(
                certificate_file, key_file
            )
        access = _access.Access(
            configuration_replica=configuration_replica,
            operator_networks=operator_networks,
        )
        self._admission = http.Admission(limits)
        bodies = http.BodyReader(limits, self._admission.note)
        application = _application.EdgeApplication(
            requests_api=_requests_api.RequestsApi(
                access=access,
                bodies=bodies,
                calls=self._calls,
                configuration_replica=configuration_replica,
                metrics=metrics,
                longest_deadline_ms=longest_deadline_ms,
            ),
            jobs_api=_jobs_api.JobsApi(
                access=access, bodies=bodies, calls=self._calls
            ),
            status_api=_status_api.StatusApi(
                access=access,
                metrics=metrics,
                status=status,
                ready=self.is_ready,
            ),
            closing=lambda: self._draining,
        )
        self._listener = _listener.Listener(
            endpoint,
            application,
            limits=limits,
            admission=self._admission,
            context=self._certificate and self._certificate.context,
        )

    def __enter__(self):
        self._listener.start()
        return self

    def __exit__(self, *exc_info):
        self._listener.stop(timeout=0)

    @property
    def endpoint(self):
        """``ip:port`` that it listens on."""
        return f"{self._listener.server_host}:{self._listener.server_port}"

    @property
    def in_flight(self):
        """Number of calls that wait for their answer."""
        return len(self._calls)

    def describe(self):
        """Returns counts of connections and calls, as plain values."""
        return {
            "calls": len(self._calls),
            "connections": len(self._admission),
            "idle_connections": self._admission.idle_count,
            "bytes_being_read": self._admission.reading_bytes,
            "turned_away": {
                reason.value: count
                for reason, count in self._admission.turned_away.items()
            },
        }

    @functools.singledispatchmethod
    def perform(self, action):
        """Takes an action that answers a call; others are ignored."""

    @perform.register
    def _(self, action: requests.AnswerCaller):
        self._calls.deliver(action.request_id, action)

    @perform.register
    def _(self, action: jobs.JobAnswer):
        self._calls.deliver(action.call_id, action)

    def is_ready(self):
        """Returns whether the balancer should send requests here."""
        return not self._draining and self._ready()

    def refresh_certificate(self):
        """Reads the certificate again if its files changed.

        Returns
        -------
        bool
            False if the new ones can't be used; the old ones stay in use.
        """
        return self._certificate is None or self._certificate.refresh()

    def start_draining(self):
        """Turns `ready` off and closes connections after their answer.

        Calls are still served, so that the balancer has time to notice.
        """
        self._draining = True

    def finish(self, timeout_ms):
        """Takes no more connections and waits for those that are open.

        Parameters
        ----------
        timeout_ms : int
            Longest wait.

        Returns
        -------
        bool
            Whether every call was answered.
        """
        self._draining = True
        self._listener.close()
        self._admission.close_idle()
        return self._admission.wait_empty(timeout_ms)
