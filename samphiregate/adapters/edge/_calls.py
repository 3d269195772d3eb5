"""Callers that wait for an answer of the state machines."""

import itertools
import socket

import gevent
import gevent.event
import gevent.hub

READABLE = 1


class Calls:
    """Hands events to the state machines and waits for their answers.

    Parameters
    ----------
    submit : callable
        Takes each event.
    vm_id : str
        First part of every call's id.
    """

    def __init__(self, *, submit, vm_id):
        self._submit = submit
        self._vm_id = vm_id
        self._numbers = itertools.count(1)
        self._results_by_id = {}

    def __len__(self):
        return len(self._results_by_id)

    def next_id(self):
        """Returns an id that no other call in the fleet has."""
        return f"{self._vm_id}.{next(self._numbers):x}"

    def ask(self, call_id, event, timeout_ms, sock=None):
        """Submits an event and waits for the answer to a call.

        Parameters
        ----------
        timeout_ms : int
            Longest wait.
        sock : socket or None
            Connection of the caller, to notice when it is closed.

        Returns
        -------
        Action or None
            None if no answer came, or if the caller is gone.
        """
        result = gevent.event.AsyncResult()
        self._results_by_id[call_id] = result
        try:
            with _CloseWatch(sock, result):
                self._submit(event)
                return result.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            return None
        finally:
            del self._results_by_id[call_id]

    def deliver(self, call_id, answer):
        """Hands an answer to its caller; a late one is dropped."""
        result = self._results_by_id.get(call_id)
        if result is not None and not result.ready():
            result.set(answer)

    def tell(self, event):
        """Submits an event that has no answer."""
        self._submit(event)


class _CloseWatch:
    """Ends a wait when the caller closes its connection."""

    def __init__(self, sock, result):
        self._sock = getattr(sock, "_sock", None)
        self._result = result
        self._watcher = None

    def __enter__(self):
        if self._sock is not None:
            loop = gevent.hub.get_hub().loop
            self._watcher = loop.io(self._sock.fileno(), READABLE)
            self._watcher.start(self._readable)
        return self

    def __exit__(self, *exc_info):
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _readable(self):
        self._watcher.stop()
        try:
            gone = not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            gone = True
        if gone and not self._result.ready():
            self._result.set(None)
