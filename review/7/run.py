"""One runner goes down and up; the job that it runs is shown as failed."""

import asyncio
import pathlib
import random

from support_2 import site as sites

RECORD = pathlib.Path(__file__).with_name("record.txt")
PREFIX = "/pule252/"
SERVICE = "wuno96b"
CAPACITY = {"cpu": 128_000, "mem_mb": 262_144, "gpu": 8}
RUNNER_COUNT = 10
PERIOD_S = 1.4  # gap_s of `srv_flap`
FLAP_S = 6.5  # for_s of `srv_flap`
LONG_MS = 9_000
SHORT_MS = 3_600
SETTLE_S = 1.5
END_S = 25.0


def job(work_ms):
    """Returns a job of one task that needs all accelerators of a runner."""
    step = {
        "count": 1,
        "cpu": 62_000,
        "mem_mb": 130_000,
        "gpu": 8,
        "estimate_ms": work_ms,
    }
    return {"spec": f"work_ms={work_ms}", "steps": [step]}


async def submit(site, work_ms):
    """Hands a job in at the first VM; returns its id."""
    job_id = f"{random.getrandbits(64):016x}"
    status, _body = await site.call(
        site.vms[0], "POST", PREFIX + job_id, job(work_ms)
    )
    if status != 200:
        raise sites.NotRunError(f"a job was answered with {status}")
    return job_id


async def flap(runner):
    """Takes a runner down and up, as long as `srv_flap` lasts."""
    for _number in range(int(FLAP_S / PERIOD_S) + 1):
        runner.crash()
        await asyncio.sleep(PERIOD_S / 2)
        await runner.restart()
        await asyncio.sleep(PERIOD_S / 2)


async def case(record_path, trouble):
    """Runs the case; returns whether the rule held, and a sentence."""
    async with sites.Site(record_path) as site:
        site.configure([sites.route("r-mh2rryt", PREFIX, SERVICE, 1)])
        for number in range(RUNNER_COUNT):
            rack = f"r1-{number // 3}"
            await site.add_runner(
                f"i-{number}", SERVICE, CAPACITY, ["a", rack]
            )
        await site.start_vms()
        await site.wait_for(site.owner, 10, "the first owner")
        await asyncio.sleep(SETTLE_S)
        for _number in range(RUNNER_COUNT - 1):
            await submit(site, LONG_MS)
        await site.wait_for(
            lambda: len(site.starts) == RUNNER_COUNT - 1, 5, "the first starts"
        )
        job_id = await submit(site, SHORT_MS)
        await site.wait_for(
            lambda: len(site.starts) == RUNNER_COUNT, 5, "the last start"
        )
        await asyncio.sleep(0.5)
        (runner,) = [one for one in site.runners if one.runs_task(job_id)]
        if trouble:
            await flap(runner)
        state = ""
        end_s = site.now_s() + END_S
        while state not in ("completed", "failed") and site.now_s() < end_s:
            await asyncio.sleep(0.5)
            _status, body = await site.call(
                site.vms[1], "GET", PREFIX + job_id
            )
            state = (body or {}).get("state", "")
        failed_ends = [
            line
            for line in site.ends
            if line["task"].startswith(job_id) and line["how"] == "failed"
        ]
        starts = [
            line for line in site.starts if line["task"].startswith(job_id)
        ]
        site.note(
            "end",
            job=job_id,
            state=state,
            starts=len(starts),
            failed_ends=len(failed_ends),
        )
        return state != "failed" or len(failed_ends) >= 3, (
            f"the job is shown as {state!r} after {len(starts)} starts, of "
            f"which {len(failed_ends)} ended `failed`"
        )


sites.run(case, RECORD)
