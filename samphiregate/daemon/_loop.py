"""The one loop: events in, machines asked, actions carried out."""

import collections

from absl import logging


class EventLoop:
    """Hands events to the machines and actions to their performers.

    Events that arrive while one is handled wait for their turn, so that
    the machines see one event at a time.

    Parameters
    ----------
    machine : StateMachine
        Takes every event.
    now_ms : callable
        Monotonic time in milliseconds.
    """

    def __init__(self, *, machine, now_ms):
        self._machine = machine
        self._now_ms = now_ms
        self._performers_by_class = {}
        self._events = collections.deque()
        self._busy = False

    def perform_with(self, performer, *action_classes):
        """Has `performer` called with each action of these classes."""
        for action_class in action_classes:
            self._performers_by_class[action_class] = performer

    def deliver(self, event):
        """Handles an event now, or after the one being handled."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event):
        for action in self._machine.handle(event, self._now_ms()):
            performer = self._performers_by_class.get(type(action))
            if performer is None:
                name = type(action).__name__
                logging.error("daemon: no part carries out %s.", name)
            else:
                performer(action)
