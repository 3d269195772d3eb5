"""Sends one burst to a site of four data centres with eight entry VMs.

The baseline, in the same run, is the same burst straight at as many slots:
the time that the runners need if all of them are busy all the time.
"""

import resource
import tempfile
import time

import bench
from standins.demo import _operator
from standins import load
from standins import site

DATA_CENTRES = ("north", "south", "east", "west")
VMS = 2
RUNNERS = 5
SLOTS = 8
WORK_MS = 20
BURST = 10_000
QUICK_BURST = 1_000
DEADLINE_MS = 60_000
SETTLE_S = 2
OPEN_FILES = 30_000
LISTS = "examples/lists"
TEAM = "kiosks"
QUEUE = "holds"
VM_FLAGS = ("--max-connections", "4000")


def run(settings):
    """Sends the burst and counts how its requests ended.

    Parameters
    ----------
    settings : bench.Settings
        A quick run sends a tenth.

    Returns
    -------
    bench.Report
    """
    count = QUICK_BURST if settings.quick else BURST
    _allow_open_files()
    with tempfile.TemporaryDirectory() as folder:
        with site.Site(folder, vm_flags=VM_FLAGS) as running:
            key = _start(running)
            one = load.RequestLoad(
                TEAM, QUEUE, key, work_ms=WORK_MS, deadline_ms=DEADLINE_MS
            )
            started = time.monotonic()
            result = load.send_at_once(one, count, running.http_endpoints)
            seconds = time.monotonic() - started
    return bench.Report("burst", _figures(count, result, seconds))


def _figures(count, result, seconds):
    slots = len(DATA_CENTRES) * RUNNERS * SLOTS
    least_s = count * WORK_MS / 1_000 / slots
    figures = [
        bench.Figure(
            f"{count} requests at once, time to the last answer",
            seconds,
            "s",
            baseline=least_s,
            baseline_name="all slots busy all the time",
        )
    ]
    for outcome in load.Outcome:
        wanted = count if outcome is load.Outcome.ANSWERED else 0
        ended = result.counts_by_outcome[outcome]
        figures.append(
            bench.Figure(
                f"{count} requests at once, {outcome.value}",
                ended,
                "requests",
                bar=f"= {wanted}",
                met=ended == wanted,
            )
        )
    return tuple(figures)


def _start(running):
    for data_centre in DATA_CENTRES:
        for _number in range(VMS):
            running.add_entry_vm(data_centre)
        for _number in range(RUNNERS):
            running.add_runner(
                data_centre, "booking", slots=SLOTS, work_ms=WORK_MS
            )
    running.wait_until_live()
    operator = _operator.Operator(
        running.platform_endpoint, running.http_endpoints()[0]
    )
    operator.run("lists", "apply", LISTS)
    running.wait_until_ready()
    key = operator.give_key(TEAM)
    time.sleep(SETTLE_S)
    return key


def _allow_open_files():
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = OPEN_FILES if hard == resource.RLIM_INFINITY else hard
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(OPEN_FILES, wanted), hard))
