"""The figures of the decisions, with their bars."""

import statistics

import bench
from bench.decisions import _analysis
from bench.decisions import _cost
from bench.decisions import _packing
from bench.decisions import _plays
from bench.decisions import _traces
from samphiregate.core import model

FIRST_COME = "first-come"
STRICT = "strict priority"
SHARE_BAR_PERCENT = 3.0
URGENT_BAR_MS = 4_100
PACKING_BAR = 1.05
DECISION_BAR_US = 2_000
RATE_BAR = 5_000
GROWTH_BAR = 1.3
HISTORY_WEIGHTS = (0.0, 0.25, 1.0)


def play_figures(settings):
    """Returns the figures of every trace."""
    makers = (
        _share_figures,
        _dawn_figures,
        _request_figures,
        _urgent_figures,
        _size_figures,
        _cancellation_figures,
        _failure_figures,
        _gang_figures,
        _older_figures,
    )
    figures, total = [], 0
    for maker in makers:
        plays, made = maker(settings)
        figures.extend(made)
        for each in plays:
            total += _analysis.violations(each.ours)
    figures.append(
        bench.Figure(
            name="violations of capacity, limits, at most once; all traces",
            value=total,
            unit="",
            bar="0",
            met=total == 0,
        )
    )
    return figures


def _share_pair(plays, name):
    weights = plays.trace.weight_by_team
    ours = _analysis.share_distances(plays.ours, weights)
    theirs = _analysis.share_distances(plays.first_come, weights)
    if not ours or not theirs:
        return []
    largest, mean = _analysis.largest_and_mean(ours)
    base_largest, base_mean = _analysis.largest_and_mean(theirs)
    return [
        bench.Figure(
            name=f"{name}: largest share distance",
            value=largest,
            unit="%",
            baseline=base_largest,
            baseline_name=FIRST_COME,
            bar="< 3 %, <= 1/4",
            met=largest < SHARE_BAR_PERCENT and largest <= base_largest / 4,
        ),
        bench.Figure(
            name=f"{name}: mean share distance",
            value=mean,
            unit="%",
            baseline=base_mean,
            baseline_name=FIRST_COME,
            bar="<= 1/4",
            met=mean <= base_mean / 4,
        ),
    ]


def _share_figures(settings):
    plays = _plays.play(_traces.flood, settings)
    return [plays], _share_pair(plays, "one team flooding")


def _wait_figure(name, part, ours, theirs, baseline_name, bar="", met=None):
    return bench.Figure(
        name=name,
        value=_analysis.quantile(ours, part),
        unit="ms",
        baseline=_analysis.quantile(theirs, part),
        baseline_name=baseline_name,
        bar=bar,
        met=met,
    )


def _half_bar(name, ours, theirs):
    assert ours and theirs, name
    ours_ms = _analysis.quantile(ours, 0.99)
    theirs_ms = _analysis.quantile(theirs, 0.99)
    met = ours_ms <= theirs_ms / 2
    return _wait_figure(name, 0.99, ours, theirs, FIRST_COME, "<= 1/2", met)


def _request_waits(plays, outcome, teams=None):
    return _analysis.waits(
        outcome,
        plays.trace.end_ms,
        work_class=model.WorkClass.REQUEST,
        teams=teams,
    )


def _dawn_figures(settings):
    plays = _plays.play(_traces.dawn, settings)
    ours = _request_waits(plays, plays.ours)
    theirs = _request_waits(plays, plays.first_come)
    strict = _request_waits(plays, plays.strict)
    figures = [
        _half_bar("dawn burst: p99 wait of requests", ours, theirs),
        _wait_figure(
            "dawn burst: p99 wait of requests", 0.99, ours, strict, STRICT
        ),
    ]
    return [plays], figures + _share_pair(plays, "dawn burst")


def _request_figures(settings):
    mixed = _plays.play(_traces.mixed, settings)
    slots = _plays.play(_traces.slots, settings)
    steady = frozenset(("ash", "birch", "cedar", "elm"))
    figures = [
        _half_bar(
            "requests beside batch work, 90 % load: p99 wait",
            _request_waits(mixed, mixed.ours),
            _request_waits(mixed, mixed.first_come),
        ),
        _half_bar(
            "requests alone, 90 % load: p99 wait, teams within share",
            _request_waits(slots, slots.ours, steady),
            _request_waits(slots, slots.first_come, steady),
        ),
        _half_bar(
            "requests alone, 90 % load: p99 wait, all teams",
            _request_waits(slots, slots.ours),
            _request_waits(slots, slots.first_come),
        ),
    ]
    return [mixed, slots], figures


def _urgent_figures(settings):
    plays = _plays.play(_traces.urgent, settings)
    end_ms = plays.trace.end_ms
    ours = _analysis.waits(plays.ours, end_ms, urgent=True)
    theirs = _analysis.waits(plays.first_come, end_ms, urgent=True)
    strict = _analysis.waits(plays.strict, end_ms, urgent=True)
    met = _analysis.quantile(ours, 0.999) < URGENT_BAR_MS
    name = "urgent at 200 % load: p99.9 wait"
    figures = [
        _wait_figure(name, 0.999, ours, theirs, FIRST_COME, "< 4,100 ms", met),
        _wait_figure(name, 0.999, ours, strict, STRICT),
        bench.Figure(
            name="urgent at 200 % load: tasks preempted",
            value=plays.ours.preempted,
            unit="",
        ),
        bench.Figure(
            name="urgent at 200 % load: work lost by stops",
            value=plays.ours.lost_ms / 1_000,
            unit="task s",
        ),
    ]
    return [plays], figures + _share_pair(plays, "urgent at 200 % load")


def _size_figures(settings):
    plays = _plays.play(_traces.sizes_off, settings)
    figures = [
        bench.Figure(
            name="sizes off: core seconds really used",
            value=plays.ours.own_core_ms / 1_000,
            unit="core s",
            baseline=plays.first_come.own_core_ms / 1_000,
            baseline_name=FIRST_COME,
        ),
        bench.Figure(
            name="sizes off: over-used worker time",
            value=plays.ours.over_used_ms / 1_000,
            unit="s",
            baseline=plays.first_come.over_used_ms / 1_000,
            baseline_name=FIRST_COME,
        ),
    ]
    for step in ("throttle", "checkpoint", "stop"):
        figures.append(
            bench.Figure(
                name=f"sizes off: tasks cut back by {step}",
                value=plays.ours.cut_back.get(step, 0),
                unit="",
            )
        )
    return [plays], figures + _share_pair(plays, "sizes off")


def _cancellation_figures(settings):
    plays = _plays.play(_traces.cancellations, settings)
    figures = [
        bench.Figure(
            name="cancellation wave: ghosts started",
            value=plays.ours.violations["ghost"],
            unit="",
            baseline=plays.first_come.violations["ghost"],
            baseline_name=FIRST_COME,
            bar="0",
            met=plays.ours.violations["ghost"] == 0,
        )
    ]
    return [plays], figures


def _failure_figures(settings):
    plays = _plays.play(_traces.failing, settings)
    figures = [
        bench.Figure(
            name="failing workers: failed attempts",
            value=plays.ours.failed_attempts,
            unit="",
            baseline=plays.first_come.failed_attempts,
            baseline_name=FIRST_COME,
        ),
        bench.Figure(
            name="failing workers: sound works given up",
            value=_analysis.good_works_lost(plays.ours),
            unit="",
            baseline=_analysis.good_works_lost(plays.first_come),
            baseline_name=FIRST_COME,
        ),
    ]
    return [plays], figures


def _gang_figures(settings):
    plays = _plays.play(_traces.gangs, settings)
    end_ms = plays.trace.end_ms
    figures = [
        _wait_figure(
            f"gangs in a full site: {label} wait",
            part,
            _analysis.gang_waits(plays.ours, end_ms),
            _analysis.gang_waits(plays.first_come, end_ms),
            FIRST_COME,
        )
        for label, part in (("median", 0.5), ("largest", 1.0))
    ]
    figures.append(
        bench.Figure(
            name="gangs in a full site: core seconds used",
            value=plays.ours.own_core_ms / 1_000,
            unit="core s",
            baseline=plays.first_come.own_core_ms / 1_000,
            baseline_name=FIRST_COME,
        )
    )
    return [plays], figures


def _older_figures(settings):
    plays = _plays.play(_traces.older, settings)
    off_ms = plays.trace.end_ms * 3 // 4
    ours, theirs = plays.ours, plays.first_come
    figures = [
        bench.Figure(
            name="older scheduler: refused starts",
            value=ours.refused * 100 / ours.starts,
            unit="% of starts",
            baseline=theirs.refused * 100 / theirs.starts,
            baseline_name=FIRST_COME,
        ),
        bench.Figure(
            name="older scheduler: core seconds used once it is off",
            value=_analysis.core_seconds_from(ours, off_ms),
            unit="core s",
            baseline=_analysis.core_seconds_from(theirs, off_ms),
            baseline_name=FIRST_COME,
        ),
        bench.Figure(
            name="older scheduler: its own starts refused",
            value=ours.foreign_refused,
            unit="",
            baseline=theirs.foreign_refused,
            baseline_name=FIRST_COME,
        ),
        bench.Figure(
            name="older scheduler: our tasks stopped",
            value=ours.cut_back.get("stop", 0),
            unit="",
        ),
    ]
    return [plays], figures + _share_pair(plays, "older scheduler")


def history_figures(settings):
    """Returns what a returning team gets, by the weight of history."""
    figures = []
    if settings.quick:
        return figures
    for weight in HISTORY_WEIGHTS:
        params = {"history_weight": weight}
        outcome = _plays.play_ours(_traces.idle_night, settings, params)
        later = [
            window for window in outcome.windows if len(window.backlogged) == 2
        ]
        parts = [
            window.part_by_team["birch"] / sum(window.part_by_team.values())
            for window in later
        ]
        figures.append(
            bench.Figure(
                name=f"idle night, history weight {weight}: part after 10 s",
                value=parts[0] * 100,
                unit="% (due 50)",
            )
        )
    return figures


def packing_figures(settings):
    """Returns how tightly a static mix is packed."""
    seeds = range(settings.seed, settings.seed + 5)
    figures = []
    baseline = statistics.fmean(
        _packing.workers_over_bound("first-fit", seed) for seed in seeds
    )
    for name in ("indexed-best-fit", "sampled-best-fit"):
        ratios = [_packing.workers_over_bound(name, seed) for seed in seeds]
        mean = statistics.fmean(ratios)
        is_default = name == "indexed-best-fit"
        figures.append(
            bench.Figure(
                name=f"packing, {name}: workers over offline bound, 5 seeds",
                value=mean,
                unit="",
                baseline=baseline,
                baseline_name="first-fit",
                bar="<= 1.05" if is_default else "",
                met=mean <= PACKING_BAR if is_default else None,
            )
        )
    for label, measure in (
        ("accelerators left for GPU work, of 64", _packing.accelerators_left),
        ("racks of a service of 8", _packing.racks_of_service),
    ):
        figures.append(
            bench.Figure(
                name=f"packing: {label}",
                value=measure("indexed-best-fit", settings.seed),
                unit="",
                baseline=measure("first-fit", settings.seed),
                baseline_name="first-fit",
            )
        )
    return figures


def cost_figures(settings):
    """Returns what a decision costs at three sizes of the site."""
    decisions = 500 if settings.quick else 5_000
    queued = 12_000 if settings.quick else 120_000
    seed = settings.seed
    sizes = (200, 2_000, 20_000)
    times_by_size, calls_by_size = {}, {}
    figures = []
    for size in sizes:
        loop = _cost.make_loop("ours", size, queued, seed)
        times_by_size[size] = _cost.times(loop, decisions)
        calls_by_size[size] = _cost.calls(loop, 300)
        base = _cost.make_loop("first-come", size, queued, seed)
        base_times = _cost.times(base, 200)
        p99_us = _analysis.quantile(times_by_size[size], 0.99)
        figures.append(
            bench.Figure(
                name=f"decision at {size} workers: p50",
                value=_analysis.quantile(times_by_size[size], 0.5),
                unit="us",
                baseline=_analysis.quantile(base_times, 0.5),
                baseline_name=FIRST_COME,
            )
        )
        figures.append(
            bench.Figure(
                name=f"decision at {size} workers: p99",
                value=p99_us,
                unit="us",
                baseline=_analysis.quantile(base_times, 0.99),
                baseline_name=FIRST_COME,
                bar="< 2,000 us",
                met=p99_us < DECISION_BAR_US,
            )
        )
        figures.append(
            bench.Figure(
                name=f"decision at {size} workers: calls, median",
                value=calls_by_size[size],
                unit="calls",
                baseline=_cost.calls(base, 50),
                baseline_name=FIRST_COME,
            )
        )
    figures.extend(_growth(times_by_size, calls_by_size))
    figures.extend(_memory(settings))
    return figures


def _growth(times_by_size, calls_by_size):
    rate = 1e6 / statistics.fmean(times_by_size[2_000])
    small = _analysis.quantile(times_by_size[200], 0.5)
    large = _analysis.quantile(times_by_size[20_000], 0.5)
    return [
        bench.Figure(
            name="decisions a second on one core, 2,000 workers",
            value=rate,
            unit="/s",
            bar="> 5,000 /s",
            met=rate > RATE_BAR,
        ),
        bench.Figure(
            name="median decision time, 20,000 over 200 workers",
            value=large / small,
            unit="",
            bar="< 1.3",
            met=large / small < GROWTH_BAR,
        ),
        bench.Figure(
            name="median decision calls, 20,000 over 200 workers",
            value=calls_by_size[20_000] / calls_by_size[200],
            unit="",
            bar="< 1.3",
            met=calls_by_size[20_000] / calls_by_size[200] < GROWTH_BAR,
        ),
    ]


def _memory(settings):
    count = 5_000 if settings.quick else 50_000
    return [
        bench.Figure(
            name="memory of a queued item",
            value=_cost.bytes_per_item("ours", count, settings.seed),
            unit="bytes",
            baseline=_cost.bytes_per_item("first-come", count, settings.seed),
            baseline_name=FIRST_COME,
        ),
        bench.Figure(
            name="memory of a worker in the placement",
            value=_cost.bytes_per_worker("ours", count // 10, settings.seed),
            unit="bytes",
            baseline=_cost.bytes_per_worker(
                "first-come", count // 10, settings.seed
            ),
            baseline_name=FIRST_COME,
        ),
    ]


PARTS = (play_figures, history_figures, packing_figures, cost_figures)
