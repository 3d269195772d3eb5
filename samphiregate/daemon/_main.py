"""Entry point of the daemon."""

from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402

from absl import logging  # noqa: E402
import cappa  # noqa: E402
import gevent  # noqa: E402
import gevent.event  # noqa: E402

from samphiregate.daemon import _node  # noqa: E402
from samphiregate.daemon import _settings  # noqa: E402
from samphiregate import errors  # noqa: E402
from samphiregate import logs  # noqa: E402

EXIT_OK = 0
EXIT_BAD_SETTING = 2
EXIT_CUT_OFF = 3


def main(argv=None):
    """Runs one entry VM until SIGTERM or SIGINT.

    Returns
    -------
    int
        0 after a graceful stop, 2 for a setting that cannot be used, 3 if
        the stop took longer than allowed and work was cut off.
    """
    settings = cappa.parse(_settings.Settings, argv=argv)
    try:
        settings.check()
    except errors.SettingError as error:
        print(f"samphiregated: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    logs.set_up(
        log_format=logs.LogFormat(settings.log_format),
        level=settings.log_level,
        vm_id=settings.vm_id,
    )
    return _run(settings)


def _run(settings):
    stop_requested = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    with _node.Node(settings) as node:
        logging.info("daemon: serving at %s.", node.http_endpoint)
        stop_requested.wait()
        logging.info("daemon: stopping gracefully.")
        finished = node.drain()
    if finished:
        logging.info("daemon: stopped.")
        return EXIT_OK
    logging.error("daemon: the graceful stop took too long.")
    return EXIT_CUT_OFF
