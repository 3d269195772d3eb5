"""Slopes of what entry VMs say to each other and ask of the store."""

import functools
import statistics

from bench.capacity import _fleet
from bench.capacity import _slopes
from features.support import configuration_fleet
from features.support import configuration_spread
from samphiregate.adapters import peers
from samphiregate.core import model
from samphiregate.core import workers

SETTLE_MS = 20_000
STEADY_MS = 42_000
SPAN_MS = 10_000
MS_PER_SECOND = 1_000
CENTRES = 11
CHANGES_A_SECOND = 45_000 / 86_400
SPREAD_MS = 30_000
WATCHED_MS = 30_000


def slopes(settings):
    """Returns all slopes of this module."""
    found = _control(settings)
    found += _configuration(settings)
    found.append(_takeover(settings))
    found.append(_summary_bytes())
    return found


def _summary_bytes():
    """Size of one summary of room against the teams whose use changed."""
    return _slopes.fit(
        "one summary of room, bytes on a link",
        "teams whose use changed",
        [(size, _summary_size(size)) for size in (0, 8, 16, 32)],
    )


def _summary_size(teams):
    room = model.Resources(9_000_000, 18_000_000, 80)
    usage = tuple(
        workers.TeamUsage(f"team-{number:03}", room) for number in range(teams)
    )
    message = workers.RoomSummary(room, room, room, usage)
    return peers.size_on_link(message)


def _control(settings):
    sizes = (4, 11) if settings.quick else (11, 44, 132)
    names = {
        "control, mean bytes a second sent and received": "mean",
        "control, largest bytes a second sent and received": "largest",
        "control, messages a second sent": "messages",
        "machines idle, ms a second, by entry VMs": "ms",
    }
    rows = [(size, _control_of(size, settings)) for size in sizes]
    return [
        _slopes.fit(
            name,
            "entry VMs in 11 data centres",
            [(size, row[key]) for size, row in rows],
        )
        for name, key in names.items()
    ]


def _control_of(vms, settings):
    one = _fleet.Fleet(
        vms=vms, centres=min(CENTRES, vms), teams=380, seed=settings.seed
    )
    one.count_bytes = False
    one.settle(STEADY_MS // 8 if settings.quick else STEADY_MS)
    one.count_bytes = True
    span_ms = SPAN_MS // 4 if settings.quick else SPAN_MS
    one.run(span_ms)
    seconds = span_ms / MS_PER_SECOND
    nodes = one.nodes_by_id.values()
    rates = [
        (node.bytes_sent + node.bytes_received) / seconds for node in nodes
    ]
    return {
        "mean": statistics.fmean(rates),
        "largest": max(rates),
        "messages": statistics.fmean(node.messages_sent for node in nodes)
        / seconds,
        "ms": statistics.fmean(node.handled_ns for node in nodes)
        / 1e6
        / seconds,
    }


def kinds_of_control(vms=132, seed=1):
    """Returns bytes a second and VM by kind of message."""
    one = _fleet.Fleet(vms=vms, centres=CENTRES, teams=380, seed=seed)
    one.settle(SETTLE_MS)
    one.run(SPAN_MS)
    scale = SPAN_MS / MS_PER_SECOND * vms
    return {
        kind: 2 * size / scale
        for kind, size in one.bytes_by_kind.most_common()
    }


def _configuration(settings):
    sizes = (11, 22) if settings.quick else (22, 66, 132)
    rows = [(size, _spread_of(size, settings)) for size in sizes]
    names = {
        "a change in force on all VMs, longest ms": "max",
        "configuration, messages a second of the fleet": "messages/s",
        "configuration, largest bytes a second of a VM": "B/s max",
        "configuration, store calls a second of the fleet": "store/s",
    }
    return [
        _slopes.fit(
            name,
            "entry VMs in 11 data centres",
            [(size, row[key]) for size, row in rows],
        )
        for name, key in names.items()
    ]


def _spread_of(vms, settings):
    span_ms = SPREAD_MS // 6 if settings.quick else SPREAD_MS
    load = configuration_spread.Load("steady", CHANGES_A_SECOND, span_ms)
    make = functools.partial(_make_replicas, vms)
    return configuration_spread.measure(make, load, settings.seed)


def _make_replicas(count, *, data_centres, vms, seed):
    return configuration_fleet.Fleet(
        data_centres=data_centres, vms=count, seed=seed, spread="direct"
    )


def _takeover(settings):
    sizes = (4, 8) if settings.quick else (4, 8, 12)
    return _slopes.fit(
        "store calls of the data centre for one VM that fails",
        "entry VMs of the data centre",
        [(size, _calls_of_failure(size, settings)) for size in sizes],
    )


def _calls_of_failure(vms, settings):
    one = _fleet.Fleet(vms=vms, teams=1, seed=settings.seed)
    one.settle(SETTLE_MS)
    one.run(WATCHED_MS)
    quiet = sum(one.store_calls.values())
    one.reset()
    one.kill(one.first.settings.vm_id)
    one.at(MS_PER_SECOND, one.list_again)
    one.run(WATCHED_MS)
    return sum(one.store_calls.values()) - quiet
