"""Runs the stand-in as a process until it is told to stop."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402

from standins import platform  # noqa: E402


def main():
    """Reads the flags and serves until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument(
        "--endpoint",
        default="127.0.0.1:0",
        help="ip:port to listen on; port 0 takes a free one",
    )
    parser.add_argument(
        "--fleet-lag-ms",
        type=int,
        default=1_000,
        help="time until the fleet list shows a change",
    )
    parser.add_argument(
        "--reads-per-second", type=int, default=2_000, help="limit of reads"
    )
    parser.add_argument(
        "--writes-per-second", type=int, default=300, help="limit of writes"
    )
    flags = parser.parse_args()
    platform.serve(
        flags.endpoint,
        fleet_lag_ms=flags.fleet_lag_ms,
        reads_per_second=flags.reads_per_second,
        writes_per_second=flags.writes_per_second,
    )


if __name__ == "__main__":
    main()
