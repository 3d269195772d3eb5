"""Runs the command line by ``python -m samphiregate.cli``."""

import sys

from samphiregate import cli

if __name__ == "__main__":
    sys.exit(cli.main())
