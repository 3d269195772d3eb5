"""Steps about connections that give way to others."""

import behave

from samphiregate.adapters import http

NONE = "none"


class _Connection:
    """Notes that it was told to give way."""

    def __init__(self):
        self.gave_way = False

    def give_way(self, _reason):
        """Takes the reason."""
        self.gave_way = True


@behave.given("room for {connections:d} connections and {size:d} bytes")
def given_room(context, connections, size):
    context.admission = http.Admission(
        http.ServerLimits(max_connections=connections, max_reading_bytes=size)
    )
    context.by_name = {}
    context.refused = []


@behave.when("these come to pass: {events}")
def when_events(context, events):
    for event in events.split(", "):
        verb, _of, name = event.replace(" of ", " ").partition(" ")
        connection = context.by_name.setdefault(name, _Connection())
        if verb == "open":
            if not context.admission.open(connection):
                context.refused.append(name)
        elif verb == "wait":
            context.admission.set_waiting(connection)
        elif verb == "busy":
            context.admission.set_busy(connection)
        elif verb == "close":
            context.admission.close(connection)
        else:
            context.admission.add_bytes(connection, int(verb))


@behave.then("{closed} were closed and {refused} was refused")
def then_closed(context, closed, refused):
    found = [
        name
        for name, connection in context.by_name.items()
        if connection.gave_way
    ]
    assert (", ".join(found) or NONE) == closed, found
    assert (", ".join(context.refused) or NONE) == refused, context.refused


@behave.then("{size:d} bytes are being read")
def then_reading(context, size):
    assert context.admission.reading_bytes == size


@behave.given("a process with {memory:d} MB and {descriptors:d} descriptors")
def given_process(context, memory, descriptors):
    context.limits = http.process_limits(memory_mb=memory, max_fds=descriptors)


@behave.then(
    "its callers may have {connections:d} connections and {size:d} bytes"
)
def then_callers(context, connections, size):
    limits = context.limits.callers
    assert limits.max_connections == connections, limits
    assert limits.max_reading_bytes == size, limits


@behave.then(
    "its peers may have {peers:d} connections "
    "and its monitoring {monitoring:d}"
)
def then_others(context, peers, monitoring):
    assert context.limits.peers.max_connections == peers
    assert context.limits.monitoring.max_connections == monitoring
