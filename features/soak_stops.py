"""Plays stops of a VM with many seeds: ``python -m features.soak_stops``.

Prints a line for each seed, and closes with the counts.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402

from features.support import stops  # noqa: E402

SIGNALS_BEFORE = 4


def play(seed):
    """Plays one seed; returns its `stops.Outcome`."""
    signals = random.Random(seed).choices(
        ("SIGHUP", "SIGTERM"), k=SIGNALS_BEFORE
    )
    behaviours = list(stops.StoreBehaviour)
    return stops.play(
        seed=seed,
        store=behaviours[seed % len(behaviours)],
        names=[*signals, "SIGTERM"],
    )


def main():
    """Plays the seeds in turn and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="seeds")
    arguments = parser.parse_args()
    failed = read = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        outcome = play(seed)
        read += outcome.read
        failed += bool(outcome.unanswered or outcome.status)
        print(f"seed {seed}: {outcome}", flush=True)
    print(f"{arguments.seeds} seeds, {read} requests read, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
