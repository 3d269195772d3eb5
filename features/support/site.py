"""A small site of real processes under load, and what must hold of it."""

import collections
import contextlib
import pathlib
import random
import tempfile

import attrs
import gevent

from samphiregate.adapters import http
from samphiregate import lists
from standins.demo import _operator
from standins import load
from standins import processes
from standins import site

SEED = 11
LISTS = "examples/lists"
DATA_CENTRES = ("north", "south")
TEAM = "kiosks"
JOB_TEAM = "calendars"
RATE = 60
WORK_MS = 20
DEADLINE_MS = 8_000
WAIT_S = 60
ENDED_STATES = frozenset(
    {"succeeded", "failed", "stopped", "checkpointed", "lapsed"}
)
VM_FLAGS = (
    *("--lease-ms", "3000", "--renew-ms", "750", "--notice-ms", "800"),
    *("--drain-ms", "20000"),
)


@attrs.frozen
class TaskRun:
    """One run of a task on a worker, in milliseconds of a common clock."""

    task: tuple
    worker_id: str
    start_ms: int
    end_ms: float


class LoadedSite(contextlib.ExitStack):
    """Two data centres of two entry VMs, with a load and a batch job."""

    def __init__(self, *, proxied=False):
        super().__init__()
        try:
            self._start(proxied)
        except BaseException:
            self.close()
            raise

    def _start(self, proxied):
        folder = self.enter_context(tempfile.TemporaryDirectory())
        self.site = self.enter_context(
            site.Site(pathlib.Path(folder), vm_flags=VM_FLAGS, proxied=proxied)
        )
        self.worker_hosts = set()
        self.runner_ids = []
        for data_centre in DATA_CENTRES:
            self._start_data_centre(data_centre)
        self.site.wait_until_live()
        first = next(iter(self.site.vms_by_id.values()))
        self.operator = _operator.Operator(
            self.site.platform_endpoint, first.http_endpoint
        )
        self.operator.run("lists", "apply", LISTS)
        self.site.wait_until_ready()
        self.key = self.operator.give_key(TEAM)
        self.job_key = self.operator.give_key(JOB_TEAM)
        self._load = None

    def start_load(self, seconds):
        """Starts sending non-idempotent requests."""
        one = load.RequestLoad(
            TEAM,
            "holds",
            self.key,
            rate=RATE,
            seconds=seconds,
            work_ms=WORK_MS,
            deadline_ms=DEADLINE_MS,
        )
        self._load = gevent.spawn(
            load.run_loads,
            [one],
            self.site.http_endpoints,
            random_state=random.Random(SEED),
        )

    def send_at_once(self, count):
        """Sends requests all at the same time; returns a `LoadResult`."""
        one = load.RequestLoad(
            TEAM, "holds", self.key, work_ms=WORK_MS, deadline_ms=60_000
        )
        return load.send_at_once(one, count, self.site.http_endpoints)

    def load_result(self):
        """Waits for the load's end and returns its `LoadResult`."""
        return self._load.get()[0]

    def submit_batch(self, tasks, run_time_ms):
        """Submits a batch job; returns its id."""
        return self.operator.submit(
            self.job_key,
            *("--class", "batch", "--tasks", str(tasks)),
            *("--cpu-millis", "500", "--memory-mib", "256"),
            *("--run-time-ms", str(run_time_ms)),
        )

    def job_state(self, job_id):
        """Returns the state of a job, asked of any entry VM that answers."""
        for endpoint in self.site.http_endpoints():
            with http.Client(endpoint, timeout_ms=15_000) as client:
                answer = client.request(
                    "GET",
                    f"/v1/jobs/{job_id}",
                    headers={"Authorization": f"Bearer {self.job_key}"},
                )
            if answer.status == 200:
                return answer.json()["state"]
        return None

    def wait_for_job(self, job_id):
        """Waits until a job has ended; returns its state."""
        states = []

        def has_ended():
            states.append(self.job_state(job_id))
            return states[-1] in ("succeeded", "failed", "cancelled")

        processes.wait_until(has_ended, WAIT_S, f"the end of {job_id}")
        return states[-1]

    def refusals_by_vm(self, key):
        """Sends one request with a key to each VM; returns the codes."""
        codes = {}
        for vm in self.site.vms_by_id.values():
            with http.Client(vm.http_endpoint) as client:
                answer = client.request(
                    "POST",
                    "/v1/queues/holds/requests",
                    body=b"{}",
                    headers={"Authorization": f"Bearer {key}"},
                )
            failed = answer.status != 200
            codes[vm.vm_id] = answer.json()["code"] if failed else "answered"
        return codes

    def executions_by_request(self):
        """Returns how often runners executed each request, by its id."""
        executions = collections.Counter()
        for endpoint in self.site.runner_endpoints_by_id.values():
            with http.Client(endpoint) as client:
                executions.update(client.request("GET", "/executed").json())
        return executions

    def task_runs(self):
        """Returns every run of a task that workers remember."""
        runs = []
        for endpoint in self._worker_host_endpoints():
            with http.Client(endpoint) as client:
                for worker in client.request("GET", "/workers").json():
                    runs += _runs_of(worker)
        return runs

    def _worker_host_endpoints(self):
        return {
            address.partition("/")[0]
            for address in self.site.worker_endpoints_by_id.values()
        }

    def _start_data_centre(self, data_centre):
        for _number in range(2):
            self.site.add_entry_vm(data_centre)
            runner_id = self.site.add_runner(
                data_centre, "booking", work_ms=WORK_MS
            )
            self.runner_ids.append(runner_id)
        self.site.add_workers(data_centre, 3)


def overlapping(runs):
    """Returns the pairs of runs of one task that overlap in time."""
    runs_by_task = collections.defaultdict(list)
    for run in runs:
        runs_by_task[run.task].append(run)
    pairs = []
    for same_task in runs_by_task.values():
        ordered = sorted(same_task, key=lambda run: run.start_ms)
        for earlier, later in zip(ordered, ordered[1:]):
            if later.start_ms < earlier.end_ms:
                pairs.append((earlier, later))
    return pairs


def limit_of(team):
    """Returns the upper limit of a team in the sample lists."""
    read = lists.read_lists(LISTS)
    return read.plans_by_name[read.teams_by_name[team].plan].max_running


def _runs_of(worker):
    starts = {}
    runs = []
    for at_ms, event, key in worker["history"]:
        attempt = tuple(key)
        if event == "start":
            starts[attempt] = at_ms
        elif event in ENDED_STATES and attempt in starts:
            runs.append(_run_of(worker, attempt, starts.pop(attempt), at_ms))
    runs += [
        _run_of(worker, attempt, start_ms, float("inf"))
        for attempt, start_ms in starts.items()
    ]
    return runs


def _run_of(worker, attempt, start_ms, end_ms):
    task = attempt[:2]
    return TaskRun(task, worker["worker_id"], start_ms, end_ms)
