"""A runner with a slow clock is cut off soon after its first start."""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402

import gevent  # noqa: E402

from review.support import site  # noqa: E402

RUNNERS = 10  # one of them is cut off: a tenth
CLOCK_RATE = 0.98  # "2% slow"
REST_S = 80  # for which no job comes
CUT_AFTER_S = 0.3
CUT_S = 5.5
WORK_MS = 12_000
ROUTE = {
    "name": "recon",
    "host": site.HOST,
    "prefix": "/recon/",
    "service": "svc",
    "priority": 1,
    "max_attempts": 4,
    "stretch": 3,
    "target_latency_ms": 3_000,
}
STEP = {
    "count": 1,
    "cpu": 4_000,
    "mem_mb": 1_024,
    "estimate_ms": WORK_MS,
}
JOB = {"spec": f'{{"ms": {WORK_MS}}}', "steps": [STEP]}


def play():
    """Returns which tasks ran twice at the same time, or None."""
    with site.Site(pathlib.Path(__file__).parent) as here:
        here.configure(7, [ROUTE])
        names = [f"runner-{number}" for number in range(RUNNERS)]
        proxy_by_name = {
            name: here.start_proxied_runner(
                name, clock_rate=CLOCK_RATE, labels=f"std,r1-{number // 4}"
            )
            for number, name in enumerate(names)
        }
        for number, zone in enumerate("abc"):
            here.start_vm(f"front-{zone}-{number}", zone)
        here.wait_until_ready()
        here.wait_for_runners(names)
        gevent.sleep(REST_S)
        here.submit("/recon/000000000000000a", JOB)
        site.wait_until(lambda: here.runner_rows("run starts"), "it runs")
        (row,) = here.runner_rows("run starts")
        gevent.sleep(CUT_AFTER_S)
        if site.has_trouble():
            here.write("cut off", runner=row["runner"], for_s=CUT_S)
            proxy_by_name[row["runner"]].cut(CUT_S)
        gevent.sleep(WORK_MS / 1000 + 2)
        pairs = site.overlaps(here.rows())
        for task, first, second, _at in pairs:
            here.write("two runs at once", task=task, runs=(first, second))
        return f"{len(pairs)} tasks ran twice at once" if pairs else None


if __name__ == "__main__":
    site.main(play)
