"""Slopes of real processes on loopback."""

import contextlib
import os
import pathlib
import random
import tempfile
import time

import attrs
import gevent
import orjson

from bench.capacity import _slopes
from samphiregate.adapters import http
from samphiregate.core import model
from standins.demo import _operator
from standins import load
from standins import processes
from standins import site

KIB_PER_MIB = 1_024
MS_PER_SECOND = 1_000
LISTS = "bench/capacity/lists"
SETTLE_S = 6
WINDOW_S = 8
WAIT_S = 60
POLL_S = 0.005
WORKERS = 64
SHARDS = 64
TEAM = "bench"
WORKER_CAPACITY = model.Resources(64_000, 131_072, 0)
VM_FLAGS = ("--notice-ms", "100")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """Counters of one process.

    Parameters
    ----------
    resident_mib : float
        Resident memory, MiB.
    cpu_s : float
        Processor time so far, seconds.
    """

    resident_mib: float
    cpu_s: float


def usage_of(pid):
    """Reads the counters of a process from ``/proc``."""
    folder = pathlib.Path("/proc", str(pid))
    fields = folder.joinpath("stat").read_text().rpartition(")")[2].split()
    status = folder.joinpath("status").read_text().splitlines()
    rss = next(line for line in status if line.startswith("VmRSS"))
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    return Usage(int(rss.split()[1]) / KIB_PER_MIB, cpu_s)


@contextlib.contextmanager
def running_site(*, vms, centres=1, workers=0, runners=0):
    """Runs a site whose configuration is in force; yields it."""
    with tempfile.TemporaryDirectory() as folder:
        with site.Site(folder, vm_flags=VM_FLAGS) as running:
            names = [f"dc-{number}" for number in range(centres)]
            for number in range(vms):
                running.add_entry_vm(names[number % centres])
            for name in names:
                if workers:
                    running.add_workers(
                        name, workers, capacity=WORKER_CAPACITY
                    )
                for _runner in range(runners):
                    running.add_runner(name, "booking", slots=64, work_ms=1)
            first = next(iter(running.vms_by_id.values()))
            operator = _operator.Operator(
                running.platform_endpoint, first.http_endpoint
            )
            operator.run("lists", "apply", LISTS)
            running.wait_until_ready()
            processes.wait_until(
                lambda: owned_shards(running) >= SHARDS * centres,
                WAIT_S,
                "ownership of every shard",
            )
            yield running, operator


def status_of(running, vm):
    """Returns the status of an entry VM, or None."""
    answer = running.ask(vm, "/v1/status")
    return None if answer is None else orjson.loads(answer.body)


def owned_shards(running):
    """Returns how many shards the running entry VMs own together."""
    documents = [status_of(running, vm) for vm in running.vms_by_id.values()]
    return sum(len(one["owned_shards"]) for one in documents if one)


@attrs.frozen
class Window:
    """What entry VMs used in a span, as a mean over the VMs."""

    resident_mib: float
    cpu_percent: float
    peer_bytes_s: float
    store_calls_s: float


def watch(running, span_s=WINDOW_S):
    """Watches the entry VMs for a span and returns a `Window`."""
    before = _counters(running)
    began = time.monotonic()
    gevent.sleep(span_s)
    after = _counters(running)
    seconds = time.monotonic() - began
    count = len(running.vms_by_id)
    return Window(
        resident_mib=after["resident"] / count,
        cpu_percent=100 * (after["cpu"] - before["cpu"]) / seconds / count,
        peer_bytes_s=(after["bytes"] - before["bytes"]) / seconds / count,
        store_calls_s=(after["calls"] - before["calls"]) / seconds,
    )


def _counters(running):
    vms = list(running.vms_by_id.values())
    usages = [usage_of(vm.process.pid) for vm in vms]
    counts = [status_of(running, vm)["counts"] for vm in vms]
    calls = _store_counts(running)
    return {
        "resident": sum(one.resident_mib for one in usages),
        "cpu": sum(one.cpu_s for one in usages),
        "bytes": sum(
            one["peers.bytes_sent"] + one["peers.bytes_received"]
            for one in counts
        ),
        "calls": calls["reads"] + calls["writes"] + calls["watches"],
    }


def _store_counts(running):
    with http.Client(running.platform_endpoint) as client:
        return client.request("GET", "/counts").json()


def slopes(settings):
    """Yields all slopes of this module."""
    yield from _by_workers(settings)
    yield from _requests(settings, vms=1)
    if settings.quick:
        return
    yield from _changes_and_takeover(settings)
    yield from _starts(settings)
    yield from _by_tasks(settings)
    yield from _by_vms(settings)
    yield from _requests(settings, vms=4)


def _span_s(settings):
    return 2 if settings.quick else WINDOW_S


def _settle_s(settings):
    return 2 if settings.quick else SETTLE_S


def _by_workers(settings):
    sizes = (0, 64) if settings.quick else (0, 170, 1_000)
    rows = []
    for size in sizes:
        with running_site(vms=1, workers=size) as (running, _operator):
            gevent.sleep(_settle_s(settings))
            rows.append((size, watch(running, _span_s(settings))))
    return [
        _column("daemon idle, MiB resident", "owned workers", rows, 0),
        _column("daemon idle, % of a core", "owned workers", rows, 1),
    ]


def _column(name, size, rows, index):
    pairs = [(x, attrs.astuple(row)[index]) for x, row in rows]
    return _slopes.fit(name, size, pairs)


def _by_tasks(settings):
    sizes = (100,) if settings.quick else (300, 1_000)
    rows = []
    with running_site(vms=1, workers=WORKERS) as (running, operator):
        gevent.sleep(_settle_s(settings))
        key = operator.give_key(TEAM)
        rows.append((0, watch(running, _span_s(settings))))
        total = 0
        for size in sizes:
            _submit(operator, key, size - total, "service", 0)
            total = size
            gevent.sleep(_settle_s(settings))
            rows.append((size, watch(running, _span_s(settings))))
    size_name = "services' tasks on 64 workers"
    return [
        _column("daemon with tasks, MiB resident", size_name, rows, 0),
        _column("daemon with tasks, % of a core", size_name, rows, 1),
    ]


def _submit(operator, key, tasks, work_class, run_time_ms):
    return operator.submit(
        key,
        *("--class", work_class, "--tasks", str(tasks)),
        *("--cpu-millis", "100", "--memory-mib", "64"),
        *("--accelerators", "0", "--run-time-ms", str(run_time_ms)),
    )


def _by_vms(settings):
    sizes = (2,) if settings.quick else (1, 2, 4)
    rows = []
    for size in sizes:
        with running_site(vms=size) as (running, _operator):
            gevent.sleep(2 * _settle_s(settings))
            rows.append((size, watch(running, _span_s(settings))))
    size_name = "entry VMs of one data centre"
    return [
        _column("daemons idle, % of a core each", size_name, rows, 1),
        _column("daemons idle, link bytes a second each", size_name, rows, 2),
        _column("daemons idle, store calls a second", size_name, rows, 3),
    ]


def _requests(settings, *, vms):
    rates = (50,) if settings.quick else (100, 300, 600)
    seconds = 2 if settings.quick else 6
    rows = []
    with running_site(vms=vms, runners=2) as (running, operator):
        key = operator.give_key(TEAM)
        gevent.sleep(_settle_s(settings))
        for rate in rates:
            one = load.RequestLoad(
                TEAM,
                "holds",
                key,
                rate=rate,
                seconds=seconds,
                work_ms=1,
                deadline_ms=5_000,
            )
            before = _counters(running)
            (result,) = load.run_loads(
                [one],
                running.http_endpoints,
                random_state=random.Random(settings.seed),
            )
            cpu_s = _counters(running)["cpu"] - before["cpu"]
            answered = result.counts_by_outcome[load.Outcome.ANSWERED]
            rows.append((rate, result.waits, cpu_s, answered))
    size_name = f"requests a second offered to {vms} VM(s)"
    found = [
        _slopes.fit(
            f"requests on {vms} VM(s), p{part:g} ms",
            size_name,
            [
                (rate, waits.get_value_at_percentile(part))
                for rate, waits, _cpu_s, _answered in rows
            ],
        )
        for part in (50, 99, 99.9)
    ]
    found.append(
        _slopes.fit(
            f"requests on {vms} VM(s), answered a second",
            size_name,
            [(rate, answered / seconds) for rate, _w, _c, answered in rows],
        )
    )
    found.append(
        _slopes.fit(
            f"requests on {vms} VM(s), ms of daemons a request",
            size_name,
            [
                (rate, MS_PER_SECOND * cpu_s / max(answered, 1))
                for rate, _w, cpu_s, answered in rows
            ],
        )
    )
    return found


def _starts(settings):
    rows = []
    for vms in (1, 4):
        with running_site(vms=vms, workers=WORKERS) as (running, operator):
            key = operator.give_key(TEAM)
            gevent.sleep(SETTLE_S)
            rows.append((vms, *_run_batch(running, operator, key)))
    size_name = "entry VMs, 64 workers, one job of 3,000 tasks of 200 ms"
    return [
        _slopes.fit(
            "tasks started and ended a second",
            size_name,
            [(vms, rate) for vms, rate, _cost_ms in rows],
        ),
        _slopes.fit(
            "ms of daemons a task",
            size_name,
            [(vms, cost_ms) for vms, _rate, cost_ms in rows],
        ),
    ]


def _run_batch(running, operator, key, tasks=3_000):
    before = _counters(running)
    began = time.monotonic()
    job_id = _submit(operator, key, tasks, "batch", 200)
    shown = {"state": "queued"}
    first = next(iter(running.vms_by_id.values()))
    while shown["state"] in ("queued", "running"):
        shown = _show(running, first, key, job_id)
        if time.monotonic() - began > WAIT_S:
            break
    seconds = time.monotonic() - began
    cpu_s = _counters(running)["cpu"] - before["cpu"]
    return tasks / seconds, MS_PER_SECOND * cpu_s / tasks


def _show(running, vm, key, job_id):
    with http.Client(vm.http_endpoint) as client:
        answer = client.request(
            "GET",
            f"/v1/jobs/{job_id}?wait_ms=2000",
            headers={"Authorization": f"Bearer {key}"},
        )
    return answer.json()


def _changes_and_takeover(settings):
    with running_site(vms=6, centres=2, workers=16) as (running, operator):
        gevent.sleep(SETTLE_S)
        times = [_change_ms(running, operator) for _change in range(5)]
        takeovers = [_takeover_ms(running) for _vm in range(2)]
    return [
        _slopes.fit(
            "change in force on 6 VMs, ms after the store took it",
            "number of the change",
            list(enumerate(times)),
        ),
        _slopes.fit(
            "takeover after kill -9, ms until all shards are owned",
            "number of the kill",
            list(enumerate(takeovers)),
        ),
    ]


def _change_ms(running, operator):
    before = _store_revision(running)
    given = gevent.spawn(operator.give_key, TEAM)
    while _store_revision(running) == before:
        gevent.sleep(POLL_S)
    began = time.monotonic()
    wanted = before + 1
    while min(_revisions(running)) < wanted:
        gevent.sleep(POLL_S)
    elapsed_ms = (time.monotonic() - began) * MS_PER_SECOND
    given.get()
    return elapsed_ms


def _store_revision(running):
    head = orjson.loads(running.read_key("config/head"))
    return head["revision"]


def _revisions(running):
    return [
        status_of(running, vm)["revision"] for vm in running.vms_by_id.values()
    ]


def _takeover_ms(running):
    vm_id = next(iter(running.vms_by_id))
    began = time.monotonic()
    running.kill_entry_vm(vm_id)
    processes.wait_until(
        lambda: owned_shards(running) >= 2 * SHARDS, WAIT_S, "a takeover"
    )
    return (time.monotonic() - began) * MS_PER_SECOND
