"""The traces that the policies are played on.

Sizes and counts of the site are those of one cell of today; the load is
random, from a seed.
"""

import random

from bench.decisions import _records
from samphiregate.core import model

Resources = model.Resources
WorkClass = model.WorkClass

CORE = 1_000
GIB = 1_024
SECOND = 1_000
PLAIN_CAPACITY = Resources(64 * CORE, 128 * GIB, 0)
GPU_CAPACITY = Resources(128 * CORE, 256 * GIB, 8)
WEIGHT_BY_TEAM = {
    "ash": 3.0,
    "birch": 2.0,
    "cedar": 2.0,
    "elm": 1.0,
    "fir": 1.0,
    "holly": 1.0,
}


def make_site(plain=20, gpu=8):
    """Returns workers: plain ones four to a rack, GPU ones three."""
    workers = []
    for number in range(plain):
        workers.append(
            _worker(f"p-{number}", f"rp-{number // 4}", PLAIN_CAPACITY)
        )
    for number in range(gpu):
        workers.append(
            _worker(f"g-{number}", f"rg-{number // 3}", GPU_CAPACITY)
        )
    return tuple(workers)


def make_slots(runners=28, slots=8):
    """Returns runners as workers that have one core for each slot."""
    capacity = Resources(slots * CORE, slots * GIB, 0)
    return tuple(
        _worker(f"r-{number}", f"rr-{number // 4}", capacity)
        for number in range(runners)
    )


def _worker(worker_id, rack, capacity):
    return model.WorkerInfo(
        worker_id=worker_id,
        data_centre="dc-1",
        rack=rack,
        endpoint="127.0.0.1:1",
        capacity=capacity,
    )


def cores_of(workers):
    """Returns the cores of a site."""
    return sum(each.capacity.cpu_millis for each in workers) / CORE


class Load:
    """Builds the works of a trace.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    """

    def __init__(self, seed):
        self.rnd = random.Random(seed)
        self.works = []

    def stream(self, team, cores_offered, start_ms, end_ms, make):
        """Adds Poisson arrivals that offer so many cores on average."""
        sample = [make(self.rnd) for _draw in range(500)]
        core_ms = sum(
            each["declared"].cpu_millis
            * each["run_ms"]
            * each.get("units", 1)
            / CORE
            for each in sample
        )
        gap_ms = core_ms / len(sample) / cores_offered
        at_ms = start_ms + self.rnd.expovariate(1 / gap_ms)
        while at_ms < end_ms:
            self.add(team, int(at_ms), **make(self.rnd))
            at_ms += self.rnd.expovariate(1 / gap_ms)

    def add(self, team, arrival_ms, **fields):
        """Adds one work."""
        work_id = f"{team}-{len(self.works)}"
        work = dict(
            work_id=work_id, team=team, arrival_ms=arrival_ms, **fields
        )
        self.works.append(work)
        return work

    def factory(self):
        """Returns a callable that makes fresh records, by arrival."""
        rows = sorted(self.works, key=lambda row: row["arrival_ms"])
        return lambda: [_records.Work(**row) for row in rows]


def batch(rnd, low_ms=1_000, high_ms=4_000, memory_gib=2):
    """Returns a batch task of 1 to 8 cores."""
    cores = rnd.choice((1, 2, 4, 8))
    return dict(
        work_class=WorkClass.BATCH,
        declared=Resources(cores * CORE, cores * memory_gib * GIB),
        run_ms=rnd.randint(low_ms, high_ms),
    )


def request(rnd):
    """Returns a quick request of half a core."""
    return dict(
        work_class=WorkClass.REQUEST,
        declared=Resources(500, 512),
        run_ms=min(int(rnd.lognormvariate(4.6, 0.6)) + 10, 2_000),
    )


def slot_request(rnd):
    """Returns a request that takes one slot of a runner."""
    return {**request(rnd), "declared": Resources(CORE, GIB)}


def flood(seed, end_s):
    """One team offers ten times its part; the others have enough work."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)
    weights = sum(WEIGHT_BY_TEAM.values())
    for team, weight in WEIGHT_BY_TEAM.items():
        due = cores * weight / weights
        memory_gib = 3 if team in ("birch", "elm") else 1
        offered = due * (10 if team == "holly" else 1.5)

        def make(rnd, memory_gib=memory_gib):
            return batch(rnd, memory_gib=memory_gib)

        load.stream(team, offered, 0, end_s * SECOND, make)
    return _records.Trace(
        name="flood",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
        limit_by_team={"ash": 10_000, "fir": 30},
    )


def idle_night(seed, end_s):
    """One of two equal teams has work for the first half alone."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)
    load.stream("ash", cores * 1.5, 0, end_s * SECOND, batch)
    half_ms = end_s * SECOND // 2
    load.stream("birch", cores * 1.5, half_ms, end_s * SECOND, batch)
    return _records.Trace(
        name="idle night",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team={"ash": 1.0, "birch": 1.0},
    )


def dawn(seed, end_s):
    """Batch work fills the site at night; then all teams' requests come."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)
    dawn_ms = end_s * SECOND // 2

    def night(rnd):
        work = batch(rnd, 15_000, 30_000)
        return {**work, "checkpointable": rnd.random() < 0.7}

    for team in ("ash", "birch"):
        load.stream(team, cores * 0.8, 0, end_s * SECOND, night)
    for team in ("cedar", "elm", "fir", "holly"):
        load.stream(team, cores * 0.02, dawn_ms, end_s * SECOND, request)
        for number in range(6):
            load.add(
                team,
                dawn_ms + number * 100,
                work_class=WorkClass.SERVICE,
                declared=Resources(2 * CORE, 4 * GIB),
                run_ms=10 * end_s * SECOND,
            )
    return _records.Trace(
        name="dawn",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
    )


def mixed(seed, end_s):
    """Requests, and batch work in bursts: 90 % load in all."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)
    for team in ("ash", "birch", "cedar"):
        load.stream(team, cores * 0.02, 0, end_s * SECOND, request)
    burst_ms = 10 * SECOND
    for start_ms in range(0, end_s * SECOND, burst_ms):
        for team in ("elm", "fir", "holly"):
            load.stream(
                team,
                cores * 0.28 * 5,
                start_ms,
                start_ms + burst_ms // 5,
                batch,
            )
    return _records.Trace(
        name="mixed",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
    )


def slots(seed, end_s):
    """Requests alone on runners at 90 % load, one team in bursts."""
    workers = make_slots()
    cores = cores_of(workers)
    load = Load(seed)
    steady = {"ash": 0.2, "birch": 0.15, "cedar": 0.15, "elm": 0.1}
    for team, part in steady.items():
        load.stream(team, cores * part, 0, end_s * SECOND, slot_request)
    burst_ms = 10 * SECOND
    for start_ms in range(0, end_s * SECOND, burst_ms):
        load.stream(
            "holly",
            cores * 0.3 * 4,
            start_ms,
            start_ms + burst_ms // 4,
            slot_request,
        )
    return _records.Trace(
        name="slots",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
    )


def urgent(seed, end_s):
    """Twice the load that the site can carry, 3 % of it urgent."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)

    def long_batch(rnd):
        work = batch(rnd, 5_000, 20_000)
        return {**work, "checkpointable": rnd.random() < 0.7}

    def urgent_batch(rnd):
        return {**batch(rnd, 500, 2_000), "urgent": True}

    for team in WEIGHT_BY_TEAM:
        part = 2 / len(WEIGHT_BY_TEAM)
        load.stream(team, cores * part * 0.97, 0, end_s * SECOND, long_batch)
        load.stream(team, cores * part * 0.03, 0, end_s * SECOND, urgent_batch)
    return _records.Trace(
        name="urgent",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
    )


def sizes_off(seed, end_s):
    """Declared sizes are off by up to ten times, either way, by team."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)
    factor_by_team = {
        "ash": 0.1,
        "birch": 0.3,
        "cedar": 0.5,
        "elm": 1.0,
        "fir": 3.0,
        "holly": 10.0,
    }
    for team, factor in factor_by_team.items():

        def make(rnd, factor=factor):
            used = Resources(rnd.randint(500, 2_000), rnd.randint(512, 2_048))
            return dict(
                work_class=WorkClass.BATCH,
                declared=used.scaled(rnd.uniform(0.8, 1.25) / factor),
                used=used,
                run_ms=rnd.randint(1_000, 4_000),
                checkpointable=rnd.random() < 0.5,
            )

        offered = cores * 0.25 / factor
        load.stream(team, offered, 0, end_s * SECOND, make)
    return _records.Trace(
        name="sizes off",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=dict.fromkeys(WEIGHT_BY_TEAM, 1.0),
        report_ms=1_000,
        report_lag_ms=500,
    )


def cancellations(seed, end_s, count=50_000):
    """A wave of cancellations within one second."""
    workers = make_site()
    load = Load(seed)
    rnd = load.rnd
    teams = tuple(WEIGHT_BY_TEAM)
    for _number in range(count):
        work = load.add(
            rnd.choice(teams),
            rnd.randint(0, 4_000),
            **batch(rnd, 8_000, 9_000),
        )
        work["cancel_ms"] = rnd.randint(5_000, 6_000)
    for team in teams:
        load.stream(team, 100, 4_000, end_s * SECOND, batch)
    return _records.Trace(
        name="cancellations",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
    )


def failing(seed, end_s):
    """Two workers fail everything, and 2 % of the works fail everywhere."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)

    def make(rnd):
        return {**batch(rnd), "fails": rnd.random() < 0.02}

    for team in WEIGHT_BY_TEAM:
        offered = cores * 0.8 / len(WEIGHT_BY_TEAM)
        load.stream(team, offered, 0, end_s * SECOND, make)
    return _records.Trace(
        name="failing workers",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
        bad_workers=frozenset(("p-0", "p-7")),
    )


def gangs(seed, end_s):
    """Gangs of whole workers among a full load of small tasks."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)
    for team in ("ash", "birch", "cedar"):
        load.stream(team, cores * 0.3, 0, end_s * SECOND, batch)
    for number in range(end_s // 8):
        load.add(
            "elm",
            4_000 + number * 8_000,
            work_class=WorkClass.GANG,
            declared=Resources(60 * CORE, 60 * GIB),
            run_ms=4_000,
            units=6,
        )
        load.add(
            "fir",
            number * 8_000,
            work_class=WorkClass.GANG,
            declared=Resources(8 * CORE, 16 * GIB, 4),
            run_ms=3_000,
            units=4,
        )
    return _records.Trace(
        name="gangs",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
    )


def older(seed, end_s):
    """The older scheduler fills the site, then drains until it is off."""
    workers = make_site()
    cores = cores_of(workers)
    load = Load(seed)
    for team in WEIGHT_BY_TEAM:
        offered = cores * 1.1 / len(WEIGHT_BY_TEAM)
        load.stream(team, offered, 0, end_s * SECOND, batch)
    return _records.Trace(
        name="older scheduler",
        workers=workers,
        works=load.factory(),
        end_ms=end_s * SECOND,
        weight_by_team=WEIGHT_BY_TEAM,
        foreign=_draining(load.rnd, workers, cores, end_s),
        report_ms=1_000,
        report_lag_ms=1_000,
    )


def _draining(rnd, workers, cores, end_s):
    """Foreign starts: 70 % of the site at first, none after two thirds."""
    changes = []
    last_ms = end_s * SECOND * 2 // 3
    mean_core_ms = 3.75 * 6_000
    at_ms = 0.0
    while at_ms < last_ms:
        part = 0.7 * (1 - at_ms / last_ms)
        rate = cores * max(part, 0.01) / mean_core_ms
        task = batch(rnd, 3_000, 9_000)
        change = _records.ForeignChange(
            at_ms=int(at_ms),
            worker_id=rnd.choice(workers).worker_id,
            amount=task["declared"],
            run_ms=task["run_ms"],
        )
        changes.append(change)
        at_ms += rnd.expovariate(rate)
    return tuple(changes)
