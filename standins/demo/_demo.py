"""The demo: set up, load, report, stop."""

import pathlib
import random
import sys
import tempfile
import time

import attrs
import gevent

from samphiregate.core import model
from standins.demo import _operator
from standins.demo import _report
from standins.demo import _watch
from standins import load
from standins import site

SEED = 7
DATA_CENTRES = ("north", "south")
LISTS = "examples/lists"
LOAD_S = 12
WORK_MS = 20
JOB_TIMEOUT_S = 40
VM_FLAGS = ("--lease-ms", "6000", "--renew-ms", "1500", "--notice-ms", "500")


@attrs.frozen
class DemoJob:
    """A job of the demo: its team, class and size."""

    team: str
    work_class: model.WorkClass
    task_count: int
    cpu_millis: int
    memory_mib: int
    accelerators: int = 0
    run_time_ms: int = 0

    def flags(self):
        """Returns the flags of ``samphiregate job submit``."""
        return (
            *("--class", self.work_class.value),
            *("--tasks", str(self.task_count)),
            *("--cpu-millis", str(self.cpu_millis)),
            *("--memory-mib", str(self.memory_mib)),
            *("--accelerators", str(self.accelerators)),
            *("--run-time-ms", str(self.run_time_ms)),
        )


SERVICE = DemoJob("noticeboards", model.WorkClass.SERVICE, 3, 1_000, 512)
FINITE_JOBS = (
    DemoJob("calendars", model.WorkClass.BATCH, 200, 500, 256, 0, 500),
    DemoJob("rangers", model.WorkClass.GANG, 4, 8_000, 8_192, 4, 2_000),
)


def main():
    """Runs the demo.

    Returns
    -------
    int
        0 if all went as it should.
    """
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        with site.Site(folder, vm_flags=VM_FLAGS) as running:
            report = _run(running)
            _say("stopping everything gracefully")
            statuses = running.stop_all()
        unclean = {name: code for name, code in statuses.items() if code}
        for name in unclean:
            print(pathlib.Path(folder, f"{name}.log").read_text()[-2_000:])
    report.show()
    seconds = time.monotonic() - started
    print(f"\n{len(statuses)} processes stopped, {seconds:.0f} s in all.")
    if unclean:
        print(f"not stopped cleanly: {unclean}")
    return 1 if unclean or report.problems() else 0


def _run(running):
    _say("starting the stand-ins and four entry VMs")
    _start(running)
    first = next(iter(running.vms_by_id.values()))
    operator = _operator.Operator(
        running.platform_endpoint, first.http_endpoint
    )
    _say("applying the lists and giving keys")
    operator.run("lists", "apply", LISTS)
    running.wait_until_ready()
    teams = ("kiosks", "photos", "noticeboards", "calendars", "rangers")
    keys_by_team = {team: operator.give_key(team) for team in teams}
    report = _report.Report()
    report.take_plans(LISTS)
    with _watch.UsageWatch(running) as watch:
        service_id = operator.submit(
            keys_by_team[SERVICE.team], *SERVICE.flags()
        )
        jobs = [
            gevent.spawn(_run_job, operator, keys_by_team[job.team], job)
            for job in FINITE_JOBS
        ]
        report.results = load.run_loads(
            _loads(keys_by_team),
            running.http_endpoints,
            random_state=random.Random(SEED),
            on_progress=_show_progress,
        )
        print()
        _say("waiting for the jobs")
        report.jobs = [job.get() for job in jobs]
        report.jobs.append(
            _end_service(operator, keys_by_team[SERVICE.team], service_id)
        )
        report.peak_by_team = watch.peak_by_team
    report.take_waits(running)
    return report


def _start(running):
    for data_centre in DATA_CENTRES:
        for _number in range(2):
            running.add_entry_vm(data_centre)
            running.add_runner(data_centre, "booking", work_ms=WORK_MS)
        running.add_runner(data_centre, "imaging", work_ms=WORK_MS)
        running.add_workers(data_centre, 4)
        running.add_workers(data_centre, 2, capacity=site.ACCELERATED_CAPACITY)
    running.wait_until_live()


def _loads(keys_by_team):
    common = {"seconds": LOAD_S, "work_ms": WORK_MS, "deadline_ms": 5_000}
    return [
        load.RequestLoad(
            "kiosks", "holds", keys_by_team["kiosks"], rate=200, **common
        ),
        load.RequestLoad("-", "notices", rate=50, **common),
        load.RequestLoad(
            "photos",
            "photo-checks",
            keys_by_team["photos"],
            rate=60,
            idempotent=True,
            body_bytes=4_096,
            **common,
        ),
    ]


def _run_job(operator, key, job):
    started = time.monotonic()
    job_id = operator.submit(key, *job.flags())
    operator.run(
        *("job", "wait", job_id, "--wait-ms", str(JOB_TIMEOUT_S * 1_000)),
        key=key,
    )
    shown = operator.run_json("job", "show", job_id, key=key)
    seconds = time.monotonic() - started
    return _report.JobResult(job, shown["state"], shown, seconds)


def _end_service(operator, key, job_id):
    shown = operator.run_json("job", "show", job_id, key=key)
    operator.run("job", "cancel", job_id, key=key)
    return _report.JobResult(SERVICE, shown["state"], shown, 0.0)


def _show_progress(results):
    parts = [
        f"{result.load.team} {answered}/{result.sent}"
        for result in results
        for answered in [result.counts_by_outcome[load.Outcome.ANSWERED]]
    ]
    sys.stdout.write("\ranswered: " + ", ".join(parts) + "   ")
    sys.stdout.flush()


def _say(text):
    print(f"demo: {text}.", flush=True)
