"""Runs benches: ``python -m bench [--quick] [--seed N] [bench ...]``."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import importlib  # noqa: E402

import bench  # noqa: E402
from bench import _report  # noqa: E402


def main():
    """Runs the named benches, or all, and prints one table."""
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    names = list(bench.BENCHES_BY_NAME)
    parser.add_argument("benches", nargs="*", metavar="bench")
    options = parser.parse_args()
    unknown = set(options.benches) - set(names)
    if unknown:
        parser.error(f"unknown bench; expected some of {', '.join(names)}")
    settings = bench.Settings(quick=options.quick, seed=options.seed)
    reports = []
    for name in options.benches or names:
        module = importlib.import_module(bench.BENCHES_BY_NAME[name])
        report = module.run(settings)
        _report.write(report, settings)
        reports.append(report)
    print(_report.table(reports))


if __name__ == "__main__":
    main()
