"""Starts an entry VM that notes the requests it has read.

``python -m standins.traced_platform SETTINGS``: as ``python3 platform`` with
this settings file.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(1, str(ROOT / "platform"))

from samphiregate_platform import callers  # noqa: E402
from samphiregate_platform import main  # noqa: E402
from samphiregate_platform import settings  # noqa: E402
from standins import traced_platform  # noqa: E402

STDERR = 2


def trace_reads():
    """Prints the `X-Request` header of each request once it was read."""
    read_body = callers._read_body

    def read_and_trace(environ):
        body = read_body(environ)
        number = environ.get("HTTP_X_REQUEST", "")
        line = f"{traced_platform.READ}{number}\n"
        os.write(STDERR, line.encode())
        return body

    callers._read_body = read_and_trace


if __name__ == "__main__":
    os.environ[settings.PATH_VARIABLE] = sys.argv[1]
    trace_reads()
    sys.exit(main.main())
