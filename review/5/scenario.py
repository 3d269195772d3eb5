"""The store carries out a write late, after the job was cancelled."""

from gevent import monkey

monkey.patch_all()

import io  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from review.support import site  # noqa: E402

RUNNERS = 8
JOBS = 9
LOST_EACH = 3  # the answers for each third job are lost: x is 0.35 at most
LOSSY_S = 4.5
LATE_S = 4.0  # "may be executed seconds later"
CANCEL_TRIES = 20
WATCH_S = 15
CANCEL_MS = 3_000
STOP_GRACE_MS = 400
ROUTE = {
    "name": "feed",
    "host": site.HOST,
    "prefix": "/feed/",
    "service": "svc",
    "priority": 1,
    "max_attempts": 2,
    "stretch": 3,
    "target_latency_ms": 2_500,
}
STEP = {"count": 1, "cpu": 1_000, "mem_mb": 512, "estimate_ms": 500}
JOB = {"spec": "{}", "steps": [{**STEP, "long_running": True}]}


class LossyStore:
    """Loses the answers to some writes, and carries these out late."""

    def __init__(self, application):
        self._application = application
        self.until_s = 0
        self.lost_ids = frozenset()

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        environ["wsgi.input"] = io.BytesIO(body)
        if self._is_lost(environ, body):
            gevent.spawn_later(LATE_S, self._carry_out, dict(environ), body)
            gevent.sleep(LATE_S)  # the caller has given up by then
            start_response("503 Service Unavailable", [])
            return [b""]
        return self._application(environ, start_response)

    def _is_lost(self, environ, body):
        if time.monotonic() > self.until_s or b"/kv-txn" not in (
            environ["PATH_INFO"].encode()
        ):
            return False
        keys = [row["key"] for row in json.loads(body)["set_keys"]]
        return any(
            key.startswith("work/") and key.rpartition("/")[2] in self.lost_ids
            for key in keys
        )

    def _carry_out(self, environ, body):
        environ["wsgi.input"] = io.BytesIO(body)
        self._application(environ, lambda *_arguments: None)


def _use(here, number, vms, outcome):
    """Hands a job in once; cancels it if that is not acknowledged."""
    path = f"/feed/{number:016x}"
    status, _answer = here.call(vms[0], "POST", path, JOB)
    outcome["post"] = status
    if status == 200:
        return
    for attempt in range(CANCEL_TRIES):
        status, _answer = here.call(vms[1 + attempt % 2], "DELETE", path)
        if status in (200, 410):
            outcome["cancelled_at"] = time.monotonic()
            outcome["cancel"] = status
            return
        gevent.sleep(0.2)


def _at_work(here, job_id):
    """Returns the tasks of a job that run now."""
    tasks = set()
    for row in here.runner_rows():
        if not row.get("task", "").startswith(job_id):
            continue
        if row["event"] == "run starts":
            tasks.add(row["task"])
        elif row["event"] == "run ends":
            tasks.discard(row["task"])
    return tasks


def play():
    """Returns which cancelled jobs run, or None."""
    stores = []

    def wrap(application):
        stores.append(LossyStore(application))
        return stores[0]

    with site.Site(pathlib.Path(__file__).parent, wrap) as here:
        here.configure(7, [ROUTE])
        names = [f"runner-{number}" for number in range(RUNNERS)]
        for number, name in enumerate(names):
            here.start_runner(name, labels=f"std,r1-{number // 4}")
        vms = [f"front-{zone}-{number}" for number, zone in enumerate("abc")]
        for vm in vms:
            here.start_vm(vm, vm.split("-")[1])
        here.wait_until_ready()
        here.wait_for_runners(names)
        gevent.sleep(3)
        lost_ids = {f"{number:016x}" for number in range(0, JOBS, LOST_EACH)}
        if site.has_trouble():
            stores[0].lost_ids = lost_ids
            stores[0].until_s = time.monotonic() + LOSSY_S
            here.write("the store loses answers", jobs=sorted(lost_ids))
        outcomes = [{} for _number in range(JOBS)]
        clients = []
        for number, outcome in enumerate(outcomes):
            turn = vms[number % 3 :] + vms[: number % 3]
            clients.append(gevent.spawn(_use, here, number, turn, outcome))
            gevent.sleep(0.1)
        gevent.joinall(clients, raise_error=True)
        gevent.sleep(WATCH_S)
        broken = []
        for number, outcome in enumerate(outcomes):
            job_id = f"{number:016x}"
            at_work = _at_work(here, job_id)
            here.write("outcome", job=job_id, runs=sorted(at_work), **outcome)
            if "cancelled_at" not in outcome:
                continue
            since_ms = (time.monotonic() - outcome["cancelled_at"]) * 1000
            if at_work and since_ms > CANCEL_MS + STOP_GRACE_MS:
                broken.append((job_id, outcome["post"], outcome["cancel"]))
        if broken:
            return f"cancelled and at work (id, POST, DELETE): {broken}"
        return None


if __name__ == "__main__":
    site.main(play)
