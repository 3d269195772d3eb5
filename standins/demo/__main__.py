"""Runs the demo."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from standins import demo  # noqa: E402

if __name__ == "__main__":
    sys.exit(demo.main())
