"""A job runs whose cancelling was answered seconds before with 410."""

import asyncio
import pathlib
import random

from support_2 import site as sites

RECORD = pathlib.Path(__file__).with_name("record.txt")
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
CAPACITY = {"cpu": 64_000, "mem_mb": 131_072, "gpu": 0}
RUNNER_COUNT = 8
WORK_MS = 3_600
LOST_S = 4.5  # for_s of `platform_lost`
LATE_S = 5.9  # "done 1 to 6 s later"
MAX_LOST_SHARE = 0.35  # x of `platform_lost`
SENT_AFTER_S = 1.75  # in the disruption
TRAFFIC_PAUSE_S = 0.1
CONTACT_S = 3.0  # bounds.contact_ms
CANCEL_S = 3.0  # bounds.cancel_ms
SETTLE_S = 1.5
END_S = 13.0


def job():
    """Returns a job of three steps, each after the one before."""
    step = {"count": 1, "cpu": 6_100, "mem_mb": 6_200, "estimate_ms": WORK_MS}
    return {
        "spec": f"work_ms={WORK_MS}",
        "steps": [step, {**step, "after": [0]}, {**step, "after": [1]}],
    }


def new_id():
    """Returns the id of a new job."""
    return f"{random.getrandbits(64):016x}"


class LostAnswers:
    """Loses the answers to the writes of one job, and executes them late."""

    def __init__(self, site, job_id):
        self.lost = 0
        self.writes = 0
        self._site = site
        self._job_id = job_id
        self.end_s = site.now_s() + LOST_S
        self.last_s = 0.0

    def __call__(self, name, document):
        """See `Store.fault`."""
        if name != "kv-txn" or self._site.now_s() >= self.end_s:
            return None
        self.writes += 1
        keys = [row["key"] for row in document["set_keys"]]
        if f"work/all/job/{self._job_id}" not in keys:
            return None
        self.lost += 1
        self.last_s = self._site.now_s() + LATE_S
        self._site.note("store loses an answer", keys=keys, late_s=LATE_S)
        return LATE_S


async def send_traffic(site, end_s):
    """Hands jobs in at the last VM until a time."""
    while site.now_s() < end_s:
        await site.call(site.vms[-1], "POST", PREFIX + new_id(), job())
        await asyncio.sleep(TRAFFIC_PAUSE_S)


async def case(record_path, trouble):
    """Runs the case; returns whether the rule held, and a sentence."""
    async with sites.Site(record_path) as site:
        site.configure([sites.route("r-v3nax7u", PREFIX, SERVICE)])
        for number in range(RUNNER_COUNT):
            await site.add_runner(
                f"i-{number}", SERVICE, CAPACITY, ["a", "r1-1"]
            )
        await site.start_vms()
        await site.wait_for(site.owner, 10, "the first owner")
        await asyncio.sleep(SETTLE_S)
        job_id = new_id()
        path = PREFIX + job_id
        lost = LostAnswers(site, job_id)
        if trouble:
            site.store.fault = lost
        site.note("answers get lost", on=trouble)
        traffic = asyncio.ensure_future(send_traffic(site, lost.end_s))
        await asyncio.sleep(SENT_AFTER_S)
        posted, _body = await site.call(site.vms[0], "POST", path, job())
        deleted, _body = await site.call(site.vms[1], "DELETE", path)
        deleted_s = site.now_s()
        await traffic
        site.store.fault = None
        site.note("no more answers get lost")
        await asyncio.sleep(deleted_s + END_S - site.now_s())
        if trouble and lost.lost > MAX_LOST_SHARE * lost.writes:
            raise sites.NotRunError("more answers were lost than allowed")
        state = await site.call(site.vms[2], "GET", path)
        starts = [
            line["s"]
            for line in site.starts
            if line["task"].startswith(job_id)
        ]
        # Of the disruption, what is carried out late counted in.
        calm_s = max(lost.end_s, lost.last_s) + CONTACT_S
        late = [
            one
            for one in starts
            if one > deleted_s + CANCEL_S and one > calm_s
        ]
        site.note("calm from", at_s=round(calm_s, 3))
        acknowledged = 200 <= deleted < 300 or deleted == 410
        site.note(
            "end",
            job=job_id,
            starts=starts,
            lost=lost.lost,
            writes=lost.writes,
            state=state,
        )
        held = not (acknowledged and late)
        after = [round(one - deleted_s, 2) for one in starts]
        return held, (
            f"the POST was answered {posted}, the DELETE {deleted}; tasks "
            f"started {after} s after that; {lost.lost} of {lost.writes} "
            "answers to writes were lost"
        )


sites.run(case, RECORD)
