"""A job whose record is too large for the store stops all other jobs."""

import asyncio
import pathlib
import random
import time

from support_2 import site as sites

RECORD = pathlib.Path(__file__).with_name("record.txt")
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
CAPACITY = {"cpu": 64_000, "mem_mb": 131_072, "gpu": 0}
RUNNER_COUNT = 8
WIDE_COUNT = 10_000
TIMES = 5
WIDE_MS = 3_600
SHORT_MS = 700
SETTLE_S = 1.5
TRAFFIC_S = 10.0
FINISH_S = 14.0
IDLE_S = 3.0


def job(count, cpu, work_ms):
    """Returns a job of one step."""
    step = {
        "count": count,
        "cpu": cpu,
        "mem_mb": cpu,
        "estimate_ms": work_ms,
    }
    return {"spec": f"work_ms={work_ms}", "steps": [step]}


async def submit(site, document):
    """Hands a job in; returns its id, or None if it was not accepted."""
    job_id = f"{random.getrandbits(64):016x}"
    status, _body = await site.call(
        random.choice(site.vms), "POST", PREFIX + job_id, document
    )
    return job_id if status == 200 else None


def has_started(site, job_id):
    """Whether a runner has started a task of a job."""
    return any(line["task"].startswith(job_id) for line in site.starts)


async def case(record_path, trouble):
    """Runs the case; returns whether the rule held, and a sentence."""
    async with sites.Site(record_path) as site:
        site.configure([sites.route("r-v3nax7u", PREFIX, SERVICE)])
        for number in range(RUNNER_COUNT):
            await site.add_runner(
                f"i-7f3a91c{number}", SERVICE, CAPACITY, ["a", "r1-1"]
            )
        await site.start_vms()
        await site.wait_for(site.owner, 10, "the first owner")
        await asyncio.sleep(SETTLE_S)
        wide = None
        if trouble:
            document = job(WIDE_COUNT, 1, WIDE_MS)
            document["repeat_count"] = TIMES
            document["initial_delay_ms"] = round(time.time() * 1000)
            document["interval_ms"] = 100
            wide = await submit(site, document)
            if wide is None:
                return True, "the wide job was not accepted"
            await asyncio.sleep(TIMES * 0.1 + 0.5)
        accepted = []
        end_s = site.now_s() + TRAFFIC_S
        while site.now_s() < end_s:
            job_id = await submit(site, job(1, 6_100, SHORT_MS))
            if job_id is not None:
                accepted.append(job_id)
            await asyncio.sleep(0.5)
        if not accepted:
            raise sites.NotRunError("no job was accepted")
        await asyncio.sleep(FINISH_S)
        idle = [one for one in accepted if not has_started(site, one)]
        await asyncio.sleep(IDLE_S)
        idle = [one for one in idle if not has_started(site, one)]
        for job_id in idle[:3]:
            await site.call(site.vms[0], "GET", PREFIX + job_id)
        site.note(
            "end",
            accepted=len(accepted),
            idle=len(idle),
            starts=len(site.starts),
            refused_values=site.store.refused_values,
            epoch=int(site.store.value("epochs/all")),
        )
        return not idle, (
            f"{len(idle)} of {len(accepted)} accepted jobs had nothing "
            f"running {FINISH_S + IDLE_S:.0f} s after the last was sent; "
            f"the store refused {site.store.refused_values} writes as too "
            f"large; {len(site.starts)} starts in all"
        )


sites.run(case, RECORD)
