"""Runs every fault during every step, alone and in pairs.

Run ``python -m features.support.fault_matrix --help`` for the whole matrix.
"""

import argparse
import collections
import concurrent.futures
import itertools
import random
import sys

import attrs

from features.support import cluster as cluster_module
from features.support import faults
from features.support import mutations
from samphiregate.core import fleet
from samphiregate.core import model

LIMITS = {"one": 1, "few": 4, "many": 18}
DEMAND = {"one": 1, "few": 2, "many": 5}
WARM_UP_MS = 12_000
MAX_START_DELAY_MS = 2_500
DURATION_MS = 8_000
END_MS = 75_000
OBSERVE_MS = 12_000
PROCESS_COUNT = 3


@attrs.frozen
class MatrixCase:
    """Case of the fault matrix: faults during a step, under a seed.

    Parameters
    ----------
    guard : str
        Name of the guard that is disabled; empty for none.
    """

    faults: tuple[str, ...]
    step: str
    seed: int = 1
    guard: str = ""


@attrs.frozen
class CaseResult:
    """Outcome of a case; it passes if there are no failures."""

    case: MatrixCase
    failures: tuple[str, ...]


def cases(*, sizes=(1,), seeds=(1,), guard=""):
    """Returns the cases of all combinations of faults, steps and seeds."""
    return [
        MatrixCase(faults=names, step=step, seed=seed, guard=guard)
        for size in sizes
        for names in itertools.combinations(faults.FAULTS_BY_NAME, size)
        for step in faults.STEPS_BY_NAME
        for seed in seeds
    ]


def run_case(case):
    """Runs one case from start to end.

    Returns
    -------
    CaseResult
    """
    name = "/".join((*case.faults, case.step, str(case.seed)))
    random_state = random.Random(name)
    with mutations.disabled(case.guard):
        cluster = cluster_module.Cluster(
            seed=random_state.randint(0, 2**31),
            limit_by_team=LIMITS,
            demand_by_team=DEMAND,
            fenced=case.guard != mutations.FENCING,
        )
        context = faults.FaultContext(
            cluster=cluster,
            random_state=random_state,
            duration_ms=DURATION_MS,
        )
        cluster.loop.run_until(WARM_UP_MS)
        for fault in case.faults:
            delay_ms = random_state.randint(0, MAX_START_DELAY_MS)
            start = faults.FAULTS_BY_NAME[fault]
            cluster.loop.after(delay_ms, start, context)
        delay_ms = random_state.randint(0, MAX_START_DELAY_MS)
        cluster.loop.after(delay_ms, faults.STEPS_BY_NAME[case.step], context)
        cluster.loop.run_until(END_MS)
        failures = [
            f"{each.rule}: {each.detail} at {each.time_ms}"
            for each in cluster.oracle.violations[:3]
        ]
        failures.extend(unsettled(cluster))
    return CaseResult(case=case, failures=tuple(failures))


def unsettled(cluster):
    """Yields the failures that remain long after all faults have ended."""
    cluster.oracle.violations.clear()
    max_tokens = collections.Counter()
    running = collections.Counter()
    started = cluster.oracle.started_by_team.copy()
    for _ in range(OBSERVE_MS // 500):
        cluster.loop.run_until(cluster.loop.now_ms + 500)
        for team in LIMITS:
            max_tokens[team] = max(max_tokens[team], cluster.token_count(team))
            running[team] += cluster.oracle.running_by_team[team]
    for violation in cluster.oracle.violations[:1]:
        yield f"{violation.rule} at the end: {violation.detail}"
    for team in LIMITS:
        limit = cluster.oracle.limit(team)
        if max_tokens[team] < limit:
            yield f"tokens lost: {team} has {max_tokens[team]} of {limit}"
        idle = cluster.oracle.started_by_team[team] == started[team]
        if idle and not running[team]:
            yield f"no start: {team}"
    for centre in cluster.centres:
        yield from _unsettled_shards(cluster, centre)
    for node in cluster.nodes():
        yield from _unsettled_views(cluster, node)


def _unsettled_shards(cluster, centre):
    for number in range(cluster.shard_count):
        shard = model.ShardId(centre, number)
        owners = [
            node.vm_id
            for node in cluster.nodes()
            if node.ownership.owned_epoch(shard) is not None
        ]
        if len(owners) != 1:
            yield f"owners of {centre}/{number}: {owners}"
        entries = {node.ownership.entry_of(shard) for node in cluster.nodes()}
        if len(entries) != 1:
            yield f"tables differ: {centre}/{number}"


def _unsettled_views(cluster, node):
    for other in cluster.nodes_by_id.values():
        if other is node:
            continue
        state = node.membership.state_of(other.vm_id)
        if (state is fleet.PeerState.ALIVE) != other.alive:
            yield f"{node.vm_id} sees {other.vm_id} as {state.value}"


def run_cases(chosen, process_count=1):
    """Runs cases; returns their results in the same order."""
    if process_count == 1:
        return [run_case(case) for case in chosen]
    with concurrent.futures.ProcessPoolExecutor(process_count) as pool:
        return list(pool.map(run_case, chosen, chunksize=8))


def table(results):
    """Returns the matrix as text: failed of all cases, by fault and step."""
    runs = collections.Counter()
    failed = collections.Counter()
    for result in results:
        for fault in result.case.faults:
            key = (fault, result.case.step)
            runs[key] += 1
            failed[key] += bool(result.failures)
    steps = tuple(faults.STEPS_BY_NAME)
    lines = ["".join(f"{name:>14}" for name in ("failed of run", *steps))]
    for fault in faults.FAULTS_BY_NAME:
        if not any(runs[fault, step] for step in steps):
            continue
        counts = [f"{failed[fault, s]}/{runs[fault, s]}" for s in steps]
        lines.append("".join(f"{c:>14}" for c in (fault, *counts)))
    failed_count = sum(bool(result.failures) for result in results)
    lines.append(f"cases run: {len(results)}, cases failed: {failed_count}")
    return "\n".join(lines)


def print_guards():
    """Disables each guard in turn and prints how many cases fail."""
    missed = 0
    for guard in mutations.GUARDS:
        results = run_cases(cases(guard=guard), PROCESS_COUNT)
        failed_results = [result for result in results if result.failures]
        missed += not failed_results
        example = failed_results[0].failures[0] if failed_results else ""
        print(
            f"{len(failed_results):>4} of {len(results)} failed without:"
            f" {guard}"
        )
        if failed_results:
            case = failed_results[0].case
            print(f"       {'+'.join(case.faults)} x {case.step}: {example}")
    return int(missed > 0)


def main(arguments):
    """Runs the matrix and prints it; returns the exit status."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--pairs", action="store_true", help="also pairs")
    parser.add_argument("--seeds", type=int, default=1, help="seeds per case")
    parser.add_argument("--step", help="only this step")
    parser.add_argument("--fault", help="only with this fault")
    parser.add_argument("--guard", default="", help="guard to disable")
    parser.add_argument(
        "--guards", action="store_true", help="disable each guard in turn"
    )
    options = parser.parse_args(arguments)
    if options.guards:
        return print_guards()
    chosen = cases(
        sizes=(1, 2) if options.pairs else (1,),
        seeds=tuple(range(1, options.seeds + 1)),
        guard=options.guard,
    )
    chosen = [
        case
        for case in chosen
        if options.step in (None, case.step)
        and (options.fault is None or options.fault in case.faults)
    ]
    results = run_cases(chosen, PROCESS_COUNT)
    for result in results:
        if result.failures:
            case = result.case
            name = f"{' + '.join(case.faults)} x {case.step}, {case.seed}"
            print(f"failed: {name}: {result.failures[:2]}")
    print(table(results))
    return int(any(result.failures for result in results))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
