"""Dispatches events to the state machines of one entry VM."""

import collections

from samphiregate.core import base

# At least the interval of `Tick` in the daemon, and by default half of the
# machines' limit for a pause (`PauseDetector.limit_ms`).
TICK_AFTER_GAP_MS = 1_000


class EntryVm(base.StateMachine):
    """Composition of the state machines of one entry VM.

    Each event is delivered to every machine, except for the classes in
    `handlers_by_class`. The event of a `Notify` action is delivered to all
    machines before the next machine handles the original event, so that no
    machine acts on a shard that this VM lost (`ShardLost`) at that event.
    Messages that the entry VM sends to itself are delivered before `handle`
    returns.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    machines : iterable of StateMachine
        State machines, in the order in which they handle each event.
    handlers_by_class : dict
        Machines that handle events or peer messages of a class, for classes
        that do not concern all machines.

    Notes
    -----
    After a gap of more than `MAX_EVENT_GAP_MS` between events, every machine
    handles a `Tick` before the next event, so that each detects a pause of
    the process before any of them acts.
    """

    def __init__(self, *, vm_id, machines, handlers_by_class=None):
        self.vm_id = vm_id
        self.machines = tuple(machines)
        self._handlers_by_class = dict(handlers_by_class or {})
        self._pending = collections.deque()
        self._last_event_ms = None

    def handle(self, event, now_ms):
        """Handles one event; see `StateMachine.handle`."""
        if self._is_after_gap(now_ms):
            self._pending.append(base.Tick())
        self._last_event_ms = now_ms
        self._pending.append(event)
        actions = []
        while self._pending:
            self._deliver(self._pending.popleft(), now_ms, actions)
        return actions

    def _deliver(self, event, now_ms, actions):
        for machine in self._handlers_of(event):
            for action in machine.handle(event, now_ms):
                if isinstance(action, base.Notify):
                    self._deliver(action.event, now_ms, actions)
                    continue
                local = self._local_event(action)
                if local is None:
                    actions.append(action)
                else:
                    self._pending.append(local)

    def _is_after_gap(self, now_ms):
        if self._last_event_ms is None:
            return False
        return now_ms - self._last_event_ms > TICK_AFTER_GAP_MS

    def _handlers_of(self, event):
        subject = event
        if isinstance(event, base.PeerDelivered):
            subject = event.message
        return self._handlers_by_class.get(type(subject), self.machines)

    @base.singledispatchmethod
    def _local_event(self, action):
        """Returns the event for an action that is local to this VM."""
        return None

    @_local_event.register
    def _(self, action: base.SendToPeer):
        if action.recipient != self.vm_id:
            return None
        return base.PeerDelivered(self.vm_id, action.message)
