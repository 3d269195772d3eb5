"""Limits of what clients may send to the servers of a process."""

import attrs

BYTES_PER_MB = 1_000_000
# Of an open connection, without what it has sent.
CONNECTION_BYTES = 40_000
# Parts of a process's memory.
CALLERS_CONNECTIONS_MEMORY = 1 / 4
CALLERS_READING_MEMORY = 1 / 10
PEERS_READING_MEMORY = 1 / 10
# Parts of the descriptors that a process may open; the others are for its
# calls to the store and to endpoints.
CALLERS_DESCRIPTORS = 1 / 2
PEERS_DESCRIPTORS = 1 / 4
MONITORING_DESCRIPTORS = 1 / 32
LONG_IDLE_MS = 600_000


@attrs.frozen
class ServerLimits:
    """Limits of one server; sizes in bytes, times in milliseconds.

    Parameters
    ----------
    max_connections : int
        Open connections.
    max_head_bytes : int
        Request line and headers of a request.
    max_body_bytes : int
        Body of a request, without its framing.
    max_framing_bytes : int
        What chunks may add to a body: sizes, extensions and trailers.
    max_reading_bytes : int
        What all connections together have sent of requests that have not
        been read to their end.
    idle_timeout_ms : int
        Time between two requests of a connection.
    head_timeout_ms : int
        Time for reading the request line, and for the headers.
    body_timeout_ms : int
        Time for reading the body of a request.
    write_timeout_ms : int
        Time for sending an answer.
    """

    max_connections: int = 2_000
    max_head_bytes: int = 16_384
    max_body_bytes: int = 1 << 20
    max_framing_bytes: int = 262_144
    max_reading_bytes: int = 8 << 20
    idle_timeout_ms: int = 60_000
    head_timeout_ms: int = 10_000
    body_timeout_ms: int = 10_000
    write_timeout_ms: int = 60_000


CALLERS = ServerLimits(
    max_body_bytes=1_000_000,
    idle_timeout_ms=LONG_IDLE_MS,
    head_timeout_ms=30_000,
    body_timeout_ms=30_000,
)
PEERS = ServerLimits(
    max_body_bytes=8 << 20,
    max_reading_bytes=16 << 20,
    idle_timeout_ms=LONG_IDLE_MS,
)
MONITORING = ServerLimits(max_connections=64, max_reading_bytes=1 << 20)


@attrs.frozen
class ProcessLimits:
    """Limits of the servers of an entry VM's process.

    Parameters
    ----------
    callers, peers, monitoring : ServerLimits
        `monitoring` holds for each of readiness and metrics.
    """

    callers: ServerLimits = CALLERS
    peers: ServerLimits = PEERS
    monitoring: ServerLimits = MONITORING


def process_limits(*, memory_mb=0, max_fds=0, callers=None):
    """Returns `ProcessLimits` that fit the limits of a process.

    Parameters
    ----------
    memory_mb : float
        Memory in megabytes; 0 if that is not known.
    max_fds : int
        Descriptors that it may open; 0 if that is not known.
    callers : dict or None
        Limits of the callers' server that are set, by name.
    """
    memory_bytes = memory_mb * BYTES_PER_MB
    connections_bytes = memory_bytes * CALLERS_CONNECTIONS_MEMORY
    fitted = attrs.evolve(
        CALLERS,
        max_connections=_least(
            connections_bytes / CONNECTION_BYTES,
            max_fds * CALLERS_DESCRIPTORS,
            default=CALLERS.max_connections,
        ),
        max_reading_bytes=_least(
            memory_bytes * CALLERS_READING_MEMORY,
            default=CALLERS.max_reading_bytes,
            least=CALLERS.max_body_bytes,
        ),
    )
    return ProcessLimits(
        callers=attrs.evolve(fitted, **(callers or {})),
        peers=attrs.evolve(
            PEERS,
            max_connections=_least(
                max_fds * PEERS_DESCRIPTORS, default=PEERS.max_connections
            ),
            max_reading_bytes=_least(
                memory_bytes * PEERS_READING_MEMORY,
                default=PEERS.max_reading_bytes,
                least=PEERS.max_body_bytes,
            ),
        ),
        monitoring=attrs.evolve(
            MONITORING,
            max_connections=_least(
                max_fds * MONITORING_DESCRIPTORS,
                MONITORING.max_connections if max_fds else 0,
                default=MONITORING.max_connections,
            ),
        ),
    )


def _least(*amounts, default, least=1):
    """Returns the least of the amounts that are known, but not under one."""
    known = [amount for amount in amounts if amount]
    return max(int(min(known, default=default)), least)
