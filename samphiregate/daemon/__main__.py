"""Runs the daemon."""

import sys

from samphiregate import daemon

if __name__ == "__main__":
    sys.exit(daemon.main())
