"""Calls to the store and to peers that end before a caller's deadline."""

import gevent
import gevent.event

from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _relay
from samphiregate import errors

RETRY_INTERVAL_MS = 60
MAX_REFUSED_WAIT_MS = 250  # while each failed try is known not to have written
ANSWER_MARGIN_MS = 100  # for sending the answer to the caller


class _NoResultError(errors.SamphiregateError):
    """A call was not finished in time, or before the VM ended."""

    def __init__(self, wait_ms):
        super().__init__(
            errors.ErrorCode.OUTCOME_UNKNOWN,
            f"no result within {wait_ms} ms, or the VM ends",
            ran=errors.Ran.UNKNOWN,
        )


class DeadlineCalls:
    """Calls for callers who wait until a deadline.

    Parameters
    ----------
    relay : StoreRelay
    now_ms : callable
    """

    def __init__(self, *, relay, now_ms):
        self._relay = relay
        self._now_ms = now_ms
        self._given_up = gevent.event.Event()

    def give_up(self):
        """Ends the waiting calls, whose outcomes stay unknown."""
        self._given_up.set()

    def run_read(self, call, timeout_ms, *args):
        """Runs `call(timeout_ms, *args)`, which only reads.

        Raises
        ------
        SamphiregateError
            What the call raised; `UNAVAILABLE` if it has no result in time.
        """
        try:
            return self._run(call, timeout_ms, *args)
        except _NoResultError as error:
            raise unavailable(error.detail) from error

    def run_write(self, call, timeout_ms, *args):
        """Runs `call(timeout_ms, *args)`, which writes.

        A write that leaves no time for its answer is not begun.

        Raises
        ------
        SamphiregateError
            What the call raised; `OUTCOME_UNKNOWN` if it has no result in
            time.
        """
        if timeout_ms <= ANSWER_MARGIN_MS:
            raise unavailable("too little time is left; nothing was written")
        return self._run(call, timeout_ms, *args)

    def _run(self, call, timeout_ms, *args):
        """Calls with a time-out, and returns or raises before it has passed.

        A call to the store or a peer may outlast the caller's deadline, or
        the VM; it then continues in the background, and its outcome is
        dropped.

        Raises
        ------
        SamphiregateError
            What the call raised; `_NoResultError` when it is still running.
        """
        running = gevent.spawn(_catch_error, call, timeout_ms, *args)
        wait_ms = max(timeout_ms - ANSWER_MARGIN_MS, 0)
        gevent.wait([running, self._given_up], timeout=wait_ms / 1000, count=1)
        if not running.ready():
            raise _NoResultError(wait_ms)
        result, error = running.value
        if error is not None:
            raise error
        return result

    def commit(self, timeout_ms, expected, write):
        """Writes a key, and retries until an answer or the deadline.

        A retried write either takes effect once, or finds that the first
        one did. Callers retry at other VMs after either error, so they do
        not wait once this VM has lost the store.
        """
        started_ms = self._now_ms()
        deadline_ms = started_ms + timeout_ms
        unknown = False
        while True:
            try:
                self._relay.write(expected, write)
                return
            except _ports.RejectedWriteError as error:
                if error.is_too_large:
                    raise errors.BadInputError(error.detail) from error
                raise _write_error(error, unknown) from error
            except errors.UnavailableError as error:
                unknown = unknown or error.ran is not errors.Ran.NO
                now_ms = self._now_ms()
                if unknown:
                    gives_up = now_ms >= deadline_ms - RETRY_INTERVAL_MS
                else:
                    gives_up = now_ms - started_ms >= MAX_REFUSED_WAIT_MS
                if gives_up or isinstance(error, _relay.StoreUnavailableError):
                    raise _write_error(error, unknown) from error
            gevent.sleep(RETRY_INTERVAL_MS / 1000)

    def read(self, key, deadline_ms):
        """Reads a key, and retries until an answer or the deadline."""
        while True:
            try:
                return self._relay.read(key)
            except _relay.StoreUnavailableError:
                raise
            except errors.UnavailableError:
                if self._now_ms() >= deadline_ms - RETRY_INTERVAL_MS:
                    raise
            gevent.sleep(RETRY_INTERVAL_MS / 1000)


def _catch_error(call, *args):
    """Returns the result and None, or None and the exception."""
    try:
        return call(*args), None
    except Exception as error:
        return None, error


def _write_error(error, unknown):
    """Returns the error that a caller gets for a failed write."""
    if unknown:
        return errors.SamphiregateError(
            errors.ErrorCode.OUTCOME_UNKNOWN,
            f"the store did not answer: {error.detail}",
            ran=errors.Ran.UNKNOWN,
        )
    return unavailable(f"the write was not carried out: {error.detail}")


def unavailable(detail):
    """Returns the error for a call that is known to have had no effect."""
    return errors.UnavailableError(
        detail, retry_after_ms=_relay.RETRY_AFTER_MS
    )
