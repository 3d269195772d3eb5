"""A runner fails its starts while the others are full."""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from review.support import site  # noqa: E402

RUNNERS = 12  # one of them is grey: share 0.083
GREY_S = 6.5
JOBS = 16
VISIBLE_S = 3
SLACK_S = 2
FEED_ROUTE = {
    "name": "feed",
    "host": site.HOST,
    "prefix": "/feed/",
    "service": "svc",
    "priority": 1,
    "max_attempts": 2,
    "stretch": 3,
    "target_latency_ms": 2_000,
}
RECON_ROUTE = {**FEED_ROUTE, "name": "recon", "prefix": "/recon/"}
STEP = {"cpu": 16_000, "mem_mb": 1_024, "estimate_ms": 1_000}
FEED_STEP = {
    **STEP,
    "count": RUNNERS - 1,
    "anti_affinity": 1,
    "long_running": True,
}
FEED = {"spec": "{}", "steps": [FEED_STEP]}
RECON = {"spec": '{"ms": 1000}', "steps": [{**STEP, "count": 1, "cpu": 1_000}]}


def _started(here):
    return {
        row["task"].split(".")[0]: row["runner"]
        for row in here.runner_rows("run starts")
    }


def play():
    """Returns which counts are too low, or None."""
    with site.Site(pathlib.Path(__file__).parent) as here:
        here.configure(7, [FEED_ROUTE, RECON_ROUTE])
        names = [f"runner-{number}" for number in range(RUNNERS)]
        for number, name in enumerate(names):
            here.start_runner(name, labels=f"std,r1-{number // 4}")
        for number, zone in enumerate("abc"):
            here.start_vm(f"front-{zone}-{number}", zone)
        here.wait_until_ready()
        here.wait_for_runners(names)
        feed_id = "f" * 16
        here.submit(f"/feed/{feed_id}", FEED)
        site.wait_until(
            lambda: len(here.runner_rows("run starts")) == RUNNERS - 1,
            "the feed runs",
        )
        full = {row["runner"] for row in here.runner_rows("run starts")}
        (free,) = set(names) - full
        gevent.sleep(3)
        if site.has_trouble():
            here.signal(free, signal.SIGUSR1)
            gevent.spawn_later(GREY_S, here.signal, free, signal.SIGUSR2)
        for number in range(JOBS):
            here.submit(f"/recon/{number:016x}", RECON)
        accepted_s = time.monotonic()
        gevent.sleep(VISIBLE_S + SLACK_S + 0.3)
        broken = []
        for vm in here.front_by_vm:
            waiting = JOBS - (len(_started(here)) - 1)
            status, answer = here.call(vm, "GET", "/recon/")
            still = JOBS - (len(_started(here)) - 1)
            count = answer.get("waiting")
            here.write("count", vm=vm, shown=count, waiting=(waiting, still))
            if status == 200 and count < still / 2:
                broken.append((vm, count, still))
        here.write("asked", after_s=round(time.monotonic() - accepted_s, 1))
        if broken:
            return f"VM, `waiting`, jobs that have not begun: {broken}"
        return None


if __name__ == "__main__":
    site.main(play)
