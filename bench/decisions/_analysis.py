"""Turns the outcome of a play into numbers."""

import statistics

from samphiregate.core import model


def quantile(values, part):
    """Returns a quantile of values; 0 without any."""
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]


def waits(outcome, end_ms, *, work_class=None, urgent=None, teams=None):
    """Returns the waits of works until their first start.

    A work that never started counts with its wait until the trace's end;
    cancelled works do not count.
    """
    found = []
    for work in outcome.works:
        if work.cancel_ms is not None or work.arrival_ms >= end_ms:
            continue
        if work_class is not None and work.work_class is not work_class:
            continue
        if urgent is not None and work.urgent != urgent:
            continue
        if teams is not None and work.team not in teams:
            continue
        started_ms = work.first_start_ms
        if started_ms is None:
            started_ms = end_ms
        found.append(started_ms - work.arrival_ms)
    return found


def share_distances(outcome, weight_by_team):
    """Returns |got - due| of each team in each window while it had work.

    Notes
    -----
    Parts are of the sum of all teams' dominant shares. What teams without
    enough work got is theirs; the rest is due by weight to those that had
    work waiting throughout. The first window, in which the site fills, does
    not count, nor do windows with fewer than two such teams.
    """
    distances = []
    for window in outcome.windows[1:]:
        teams = window.backlogged
        total = sum(window.part_by_team.values())
        if len(teams) < 2 or not total:
            continue
        parts = {
            team: window.part_by_team.get(team, 0.0) / total for team in teams
        }
        pool = sum(parts.values())
        weights = sum(weight_by_team.get(team, 1.0) for team in teams)
        for team, part in parts.items():
            due = pool * weight_by_team.get(team, 1.0) / weights
            distances.append(abs(part - due))
    return distances


def largest_and_mean(distances):
    """Returns the largest and the mean distance, in per cent."""
    if not distances:
        return 0.0, 0.0
    return max(distances) * 100, statistics.fmean(distances) * 100


def violations(outcome):
    """Returns how many violations the oracle counted."""
    return sum(outcome.violations.values())


def core_seconds_from(outcome, from_ms):
    """Returns core seconds of works that were done after a time."""
    return sum(
        work.run_ms * work.used.cpu_millis // 1_000_000
        for work in outcome.works
        if work.done_ms is not None and work.done_ms >= from_ms
    )


def good_works_lost(outcome):
    """Returns how many works failed for good that were in order."""
    return sum(1 for work in outcome.failed_works if not work.fails)


def gang_waits(outcome, end_ms):
    """Returns the waits of the gangs."""
    return waits(outcome, end_ms, work_class=model.WorkClass.GANG)
