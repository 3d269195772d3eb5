"""Metrics of an entry VM on a platform, in Prometheus' text format."""

import collections
import contextlib
import time

import prometheus_client
from prometheus_client import core as prometheus_core

PATH = "/metrics"
# A client names its method; each name would be kept as a label.
KNOWN_METHODS = frozenset({"GET", "POST", "DELETE"})
OTHER_METHOD = "other"


class VmMetrics:
    """Counts callers' requests and calls to the store, and how long each took.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
    stopping_requests_by_status : collections.Counter
        Requests that were answered after SIGTERM.
    """

    def __init__(self):
        self.stopping_requests_by_status = collections.Counter()
        self.registry = prometheus_client.CollectorRegistry()
        self._request_seconds = prometheus_client.Histogram(
            "samphiregate_request_seconds",
            "Time to answer a caller.",
            ["method", "status"],
            registry=self.registry,
        )
        self._store_seconds = prometheus_client.Histogram(
            "samphiregate_store_call_seconds",
            "Time of a call to the store.",
            ["call", "outcome"],
            registry=self.registry,
        )
        self._stopping_requests = prometheus_client.Counter(
            "samphiregate_stopping_requests",
            "Requests answered after SIGTERM.",
            ["status"],
            registry=self.registry,
        )
        self._lines = prometheus_client.Gauge(
            "samphiregate_log_lines_dropped",
            "Log lines left out so far.",
            registry=self.registry,
        )

    def watch_log(self, log):
        """Shows how many lines a log has left out."""
        self._lines.set_function(lambda: sum(log.dropped_by_kind.values()))

    def watch_vm(self, vm):
        """Shows the state of an entry VM.

        Parameters
        ----------
        vm : EntryVm
            Asked for its `VmState` each time that metrics are read.
        """
        self.registry.register(_StateCollector(vm))

    def watch_callers(self, admission):
        """Shows what callers use and which of them were turned away.

        Parameters
        ----------
        admission : Admission
            Of the callers' server.
        """
        self.registry.register(_CallersCollector(admission))

    @contextlib.contextmanager
    def time_request(self, method):
        """Times a request; set `status` of what is yielded."""
        outcome = _Outcome()
        if method not in KNOWN_METHODS:
            method = OTHER_METHOD
        started_s = time.monotonic()
        try:
            yield outcome
        finally:
            self._request_seconds.labels(method, outcome.status).observe(
                time.monotonic() - started_s
            )

    def note_stopping_request(self, status):
        """Counts a request that was answered after SIGTERM."""
        self._stopping_requests.labels(status).inc()
        self.stopping_requests_by_status[status] += 1

    def note_store_call(self, call, outcome, span_s):
        """Notes a call to the store.

        Parameters
        ----------
        call, outcome : str
        span_s : float
            How long it took, in seconds.
        """
        self._store_seconds.labels(call, outcome).observe(span_s)

    def text(self):
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)


class _Outcome:
    status = "500"


class _CallersCollector:
    """Reads the connections of callers when metrics are read."""

    def __init__(self, admission):
        self._admission = admission

    def collect(self):
        """Yields one family of metrics after the other."""
        yield prometheus_core.GaugeMetricFamily(
            "samphiregate_callers_connections",
            "Open connections of callers.",
            value=len(self._admission),
        )
        yield prometheus_core.GaugeMetricFamily(
            "samphiregate_callers_reading_bytes",
            "Bytes of requests that have not been read to their end.",
            value=self._admission.reading_bytes,
        )
        yield _family_by(
            "reason",
            {
                reason.value: count
                for reason, count in self._admission.turned_away.items()
            },
            "samphiregate_callers_turned_away",
            "Connections closed and requests refused for a limit, by reason.",
        )


class _StateCollector:
    """Reads the state of a VM when metrics are read."""

    def __init__(self, vm):
        self._vm = vm

    def collect(self):
        """Yields one family of metrics after the other."""
        state = self._vm.describe()
        for name, text, value in (
            ("lease_left_seconds", "Time left.", state.lease_left_ms / 1000),
            ("owns_cell", "1 for the cell's owner.", int(state.owns_cell)),
            ("jobs", "Jobs that the owner holds.", state.jobs),
            (
                "configuration_version",
                "In force.",
                state.configuration_version,
            ),
            (
                "configuration_age_seconds",
                "Time since the store last told of the configuration.",
                state.configuration_age_ms / 1000,
            ),
        ):
            yield prometheus_core.GaugeMetricFamily(
                f"samphiregate_{name}", text, value=value
            )
        yield _family_by(
            "reason",
            state.waiting_by_reason,
            "samphiregate_tasks_waiting",
            "Tasks that wait, by reason; told by the owner.",
        )
        yield _family_by(
            "service",
            state.unreachable_by_service,
            "samphiregate_endpoints_unreachable",
            "Endpoints that do not answer; told by the owner.",
        )
        yield _family_by(
            "reason",
            state.runs_lost_by_reason,
            "samphiregate_runs_lost",
            "Runs lost with their endpoint, by reason; told by the owner.",
        )
        yield _family_by(
            "data_centre",
            dict.fromkeys(sorted(state.drained_data_centres), 1),
            "samphiregate_data_centre_drained",
            "1 for each data centre that takes no starts.",
        )
        yield _family_by(
            "data_centre",
            state.runs_by_drained,
            "samphiregate_runs_in_drained",
            "Runs left in each drained data centre; told by the owner.",
        )
        yield _family_by(
            "outcome",
            state.place_waits_by_outcome,
            "samphiregate_place_waits",
            "Waits for a place near data or gang; told by the owner.",
        )
        yield from _preemption_families(state.preemptions)
        yield _share_family(state.account_shares)
        yield from _gap_families(state.run_gaps)


def _preemption_families(preemptions):
    """Yields the families about runs that were stopped for urgent tasks."""
    yield _family_by(
        "queue",
        preemptions.get("runs", {}),
        "samphiregate_runs_preempted",
        "Runs stopped for urgent tasks, by their queue; told by the owner.",
    )
    yield _family_by(
        "queue",
        {
            queue: core_ms / 1000
            for queue, core_ms in preemptions.get("lost_core_ms", {}).items()
        },
        "samphiregate_preempted_core_seconds",
        "Work thrown away with them, by their queue; told by the owner.",
    )


def _share_family(shares_by_service):
    """Returns the gauge of the accounts' shares of each service's room."""
    family = prometheus_core.GaugeMetricFamily(
        "samphiregate_account_room",
        "Part of a service's room: share in use, entitled, surplus.",
        labels=["service", "account", "kind"],
    )
    for service, by_account in shares_by_service.items():
        for account, by_kind in by_account.items():
            for kind, value in by_kind.items():
                family.add_metric([service, account, kind], value)
    return family


def _gap_families(gaps):
    """Yields the families about long-running tasks without a run."""
    yield prometheus_core.GaugeMetricFamily(
        "samphiregate_tasks_without_run",
        "Long-running tasks without a run; told by the owner.",
        value=gaps.get("without_run", 0),
    )
    yield prometheus_core.GaugeMetricFamily(
        "samphiregate_tasks_unconfirmed",
        "Long-running tasks whose run no endpoint has confirmed yet.",
        value=gaps.get("unconfirmed", 0),
    )
    yield prometheus_core.GaugeMetricFamily(
        "samphiregate_tasks_without_run_oldest_seconds",
        "Time that the oldest of them has been without a run.",
        value=gaps.get("oldest_ms", 0) / 1000,
    )
    yield prometheus_core.SummaryMetricFamily(
        "samphiregate_task_restart_seconds",
        "Time that interrupted long-running tasks were without a run.",
        count_value=gaps.get("restarted", 0),
        sum_value=gaps.get("restart_ms", 0) / 1000,
    )


def _family_by(label, count_by_value, name, text):
    """Returns a family of gauges, one for each value of a label."""
    family = prometheus_core.GaugeMetricFamily(name, text, labels=[label])
    for value, count in count_by_value.items():
        family.add_metric([value], count)
    return family
