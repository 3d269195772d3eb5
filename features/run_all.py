"""Runs all features side by side, and closes with one line of counts.

Each feature, or scenario of a long one, runs in a process of its own, with
ports and seeds of its own; `features.run` says how it counts. Those that
take longest begin first. Those that measure a process run alone, after all
others. One that ends without a line of counts counts as one failure.
"""

import concurrent.futures
import os
import pathlib
import queue
import re
import subprocess
import sys

from behave import parser

from standins import processes

LANES = 4
FEATURE_TIMEOUT_S = 1_200
SPLIT = ("site",)
ALONE = ("clients",)
COUNTS = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.M)
LONGEST = (
    "site",
    "fault_matrix",
    "cells",
    "cells_crashes",
    "shutdown",
    "daemon",
    "configuration",
    "edge",
    "jobs",
    "membership",
    "peers",
    "requests",
    "policies_plays",
)


def parts_alone(folder=pathlib.Path("features")):
    """Returns the features that run one at a time."""
    return [str(folder / f"{stem}.feature") for stem in ALONE]


def ordered_parts(folder=pathlib.Path("features")):
    """Returns what runs side by side, the longest first.

    A part is a feature or a scenario.
    """
    rank_by_stem = {stem: rank for rank, stem in enumerate(LONGEST)}
    paths = sorted(
        (path for path in folder.glob("*.feature") if path.stem not in ALONE),
        key=lambda path: (rank_by_stem.get(path.stem, len(LONGEST)), path),
    )
    parts = []
    for path in paths:
        parts += scenarios(path) if path.stem in SPLIT else [str(path)]
    return parts


def scenarios(path):
    """Returns a part for each scenario and row of examples of a feature."""
    feature = parser.parse_file(str(path))
    return [f"{path}:{scenario.line}" for scenario in feature.walk_scenarios()]


def run_part(part, lanes):
    """Runs a feature or scenario on a free lane.

    Returns
    -------
    tuple
        Part, counts of passed, failed and skipped scenarios, and output.
    """
    lane = lanes.get()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "features.run", part],
            env={**os.environ, processes.LANE_VARIABLE: str(lane)},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
        )
    finally:
        lanes.put(lane)
    found = COUNTS.findall(done.stdout)
    counts = tuple(map(int, found[-1])) if found else (0, 1, 0)
    if done.returncode and not counts[1]:
        counts = (counts[0], 1, counts[2])
    return part, counts, done.stdout


def main():
    """Runs all features and returns the exit status."""
    lanes = queue.Queue()
    for lane in range(LANES):
        lanes.put(lane)
    totals = [0, 0, 0]
    with concurrent.futures.ThreadPoolExecutor(LANES) as pool:
        runs = [pool.submit(run_part, part, lanes) for part in ordered_parts()]
        for run in concurrent.futures.as_completed(runs):
            add_outcome(totals, *run.result())
    for part in parts_alone():
        add_outcome(totals, *run_part(part, lanes))
    passed, failed, skipped = totals
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


def add_outcome(totals, part, counts, output):
    """Adds the counts of a part to `totals`, and prints them."""
    totals[:] = [sum(pair) for pair in zip(totals, counts, strict=True)]
    print(f"{part}: {counts[0]} passed, {counts[1]} failed")
    if counts[1] or counts[2]:
        print(output)


if __name__ == "__main__":
    sys.exit(main())
