"""A large job that finds no room keeps the room of others idle."""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402

import gevent  # noqa: E402

from review.support import site  # noqa: E402

STD_RUNNERS = 6
BIG_RUNNERS = 2
STD_CPU = 16_000
BIG_CPU = 32_000
FEED_CPU = 5_000
LARGE_CPU = 28_000
SMALL_CPU = 12_000
SMALL_MS = 1_000
LARGE_MS = 20_000
FINISH_S = 14
WATCH_S = 4  # more than the 3 s of the rule
SMALL_ID = "00000000000000bb"
FEED_ROUTE = {
    "name": "feed",
    "host": site.HOST,
    "prefix": "/feed/",
    "service": "svc",
    "priority": 1,
    "max_attempts": 2,
    "stretch": 2,
    "target_latency_ms": 3_000,
}
SMALL_ROUTE = {**FEED_ROUTE, "name": "small", "prefix": "/small/"}
LARGE_ROUTE = {**FEED_ROUTE, "name": "large", "prefix": "/large/"}
LARGE_ROUTE["priority"] = 0


def _job(spec, cpu, count, estimate_ms, **fields):
    step = {
        "count": count,
        "cpu": cpu,
        "mem_mb": 1_024,
        "estimate_ms": estimate_ms,
        **fields,
    }
    return {"spec": spec, "steps": [step]}


def _starts(here, job_id):
    return [
        row
        for row in here.runner_rows("run starts")
        if row["task"].startswith(job_id)
    ]


def play():
    """Returns that the small job never started, or None."""
    with site.Site(pathlib.Path(__file__).parent) as here:
        here.configure(7, [FEED_ROUTE, SMALL_ROUTE, LARGE_ROUTE])
        names = []
        for number in range(STD_RUNNERS + BIG_RUNNERS):
            name = f"runner-{number}"
            kind, cpu = ("std", STD_CPU)
            if number >= STD_RUNNERS:
                kind, cpu = ("big", BIG_CPU)
            labels = f"{kind},r1-{number // 4}"
            here.start_runner(name, capacity=f"{cpu},65536,0", labels=labels)
            names.append(name)
        for number, zone in enumerate("abc"):
            here.start_vm(f"front-{zone}-{number}", zone)
        here.wait_until_ready()
        here.wait_for_runners(names)
        feed_id = f"{0:016x}"
        feed = _job(
            "{}",
            FEED_CPU,
            len(names),
            1_000,
            anti_affinity=1,
            long_running=True,
        )
        here.submit(f"/feed/{feed_id}", feed)
        site.wait_until(
            lambda: len(_starts(here, feed_id)) == len(names), "the feed runs"
        )
        gevent.sleep(3)
        if site.has_trouble():
            large = _job(
                f'{{"ms": {LARGE_MS}}}', LARGE_CPU, BIG_RUNNERS, LARGE_MS
            )
            here.submit("/large/00000000000000cc", large)
            gevent.sleep(0.5)
        small = _job(f'{{"ms": {SMALL_MS}}}', SMALL_CPU, 1, SMALL_MS)
        here.submit(f"/small/{SMALL_ID}", small)
        gevent.sleep(FINISH_S + WATCH_S)
        states = [
            here.call(vm, "GET", f"/small/{SMALL_ID}")[1].get("state")
            for vm in here.front_by_vm
        ]
        if not _starts(here, SMALL_ID):
            return f"it is shown as {states} and has not started"
        return None


if __name__ == "__main__":
    site.main(play)
