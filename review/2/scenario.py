"""An idle runner restarts under its id, and a task is started on it."""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402

import gevent  # noqa: E402

from review.support import site  # noqa: E402

RUNNERS = 10  # one of them crashes: a tenth
DOWN_S = 1.4
FIRST_BEAT_MS = 300  # from the start of the process to its first entry
WORK_MS = 6_000
ROUTE = {
    "name": "hold",
    "host": site.HOST,
    "prefix": "/hold/",
    "service": "svc",
    "priority": 1,
    "max_attempts": 3,
    "stretch": 3,
    "target_latency_ms": 2_000,
}
STEP = {
    "count": 3,
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
        for number, name in enumerate(names):
            here.start_runner(
                name, capacity="8000,32768,0", labels=f"std,r1-{number // 4}"
            )
        for number, zone in enumerate("abc"):
            here.start_vm(f"front-{zone}-{number}", zone)
        here.wait_until_ready()
        here.wait_for_runners(names)
        gevent.sleep(4)
        if site.has_trouble():
            here.kill(names[0])
            gevent.sleep(DOWN_S)
            here.restart_runner(names[0], first_beat_ms=FIRST_BEAT_MS)
            site.wait_until(
                lambda: len(here.runner_rows("up")) > RUNNERS, "it is up"
            )
        here.submit("/hold/000000000000000a", JOB)
        gevent.sleep(WORK_MS / 1000 + 4)
        pairs = site.overlaps(here.rows())
        for task, first, second, _at in pairs:
            here.write("two runs at once", task=task, runs=(first, second))
        return f"{len(pairs)} tasks ran twice at once" if pairs else None


if __name__ == "__main__":
    site.main(play)
