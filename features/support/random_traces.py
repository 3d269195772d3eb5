"""Random traces for the trace player of the bench."""

import attrs

from bench.decisions import _arms
from bench.decisions import _player
from bench.decisions import _records
from bench.decisions import _traces
from samphiregate.core import model

END_MS = 240_000
ARRIVAL_PERIOD_MS = 20_000
WORK_COUNT = 50
GANG_SIZE = 4
TEAM_LIMIT = 6


def run_random_trace(seed, faults):
    """Runs a random trace with faults of the given kinds.

    Returns
    -------
    Outcome
    """
    load = _traces.Load(seed)
    rnd = load.rnd
    for _work in range(WORK_COUNT):
        _add_work(load, rnd, faults)
    workers = _traces.make_site(plain=4, gpu=2)
    trace = _records.Trace(
        name="random",
        workers=workers,
        works=load.factory(),
        end_ms=END_MS,
        weight_by_team=_traces.WEIGHT_BY_TEAM,
        limit_by_team={"ash": TEAM_LIMIT} if "limits" in faults else {},
        bad_workers=frozenset(["p-1"] if "failures" in faults else []),
        foreign=_foreign(rnd, workers) if "foreign work" in faults else (),
        report_ms=1_000,
        report_lag_ms=rnd.choice((0, 500, 1_500)),
    )
    return _player.Player(trace, _arms.ours(seed)).run()


def _add_work(load, rnd, faults):
    cores = rnd.choice((1, 2, 8, 32))
    accelerators = rnd.choice((0, 0, 0, 1, 8))
    declared = model.Resources(cores * 1_000, cores * 1_024, accelerators)
    work_class = rnd.choice(
        (model.WorkClass.BATCH, model.WorkClass.BATCH, model.WorkClass.GANG)
    )
    is_gang = work_class is model.WorkClass.GANG
    units = rnd.randint(2, GANG_SIZE) if is_gang else 1
    if units > 2 and accelerators:
        declared = attrs.evolve(declared, accelerators=1)
    at_ms = rnd.randint(0, ARRIVAL_PERIOD_MS)
    fields = dict(
        work_class=work_class,
        declared=declared,
        run_ms=rnd.randint(200, 20_000),
        units=units,
        urgent=not is_gang and rnd.random() < 0.2,
        checkpointable=rnd.random() < 0.5,
    )
    if "cancellations" in faults and rnd.random() < 0.4:
        fields["cancel_ms"] = at_ms + rnd.randint(0, 20_000)
    if "failures" in faults and rnd.random() < 0.1:
        fields["fails"] = True
    if "sizes off" in faults and not is_gang:
        factor = rnd.choice((0.1, 0.5, 1, 2))
        fields["used"] = declared.scaled(factor)
    load.add(rnd.choice(("ash", "birch", "elm")), at_ms, **fields)


def _foreign(rnd, workers):
    return tuple(
        _records.ForeignChange(
            at_ms=rnd.randint(0, ARRIVAL_PERIOD_MS),
            worker_id=rnd.choice(workers).worker_id,
            amount=model.Resources(rnd.randint(1, 32) * 1_000, 4_096, 0),
            run_ms=rnd.randint(500, 20_000),
        )
        for _change in range(100)
    )
