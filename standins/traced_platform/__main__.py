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

from samphiregate.adapters import http  # noqa: E402
from samphiregate import errors  # noqa: E402
from samphiregate_platform import callers  # noqa: E402
from samphiregate_platform import main  # noqa: E402
from samphiregate_platform import settings  # noqa: E402
from standins import traced_platform  # noqa: E402

STDERR = 2


def trace_reads():
    """Prints the `X-Request` header of each request once it was read.

    A request that is refused by its head counts as read.
    """
    read_body = http.BodyReader.read
    admit = callers.CallersApi._admit

    def read_and_trace(self, environ):
        body = read_body(self, environ)
        _print_number(environ)
        return body

    def admit_and_trace(self, environ):
        try:
            return admit(self, environ)
        except errors.SamphiregateError:
            _print_number(environ)
            raise

    http.BodyReader.read = read_and_trace
    callers.CallersApi._admit = admit_and_trace


def _print_number(environ):
    number = environ.get("HTTP_X_REQUEST", "")
    os.write(STDERR, f"{traced_platform.READ}{number}\n".encode())


if __name__ == "__main__":
    os.environ[settings.PATH_VARIABLE] = sys.argv[1]
    trace_reads()
    sys.exit(main.main())
