"""Compares strategies for disseminating the configuration, in virtual time.

Run with ``python -m features.support.configuration_spread``; prints one
table. The seeds are fixed, so each run gives the same figures. The columns
p50 and max are in ms; peak is the maximum of store calls in one second.
"""

import functools
import random
import statistics

import attrs

from features.support import configuration_fleet
from samphiregate.core import configuration as configurations
from samphiregate.core import model

DATA_CENTRES = 11
VMS = 130
WARM_UP_MS = 30_000
SETTLE_MS = 30_000
TEAMS = 380
EDITS_PER_SECOND = 45_000 / 86_400  # 45 000 edits a day
BURST_EDITS_PER_SECOND = 20.0
DETECTION_DELAY_MS = 5_000


class WatchOnly(configurations.Dissemination):
    """Every VM watches the store and notifies no other VM."""

    def watcher_ids(self):
        """Returns this VM's own id."""
        return [self.vm_id]

    def peers_to_notify(self, source):
        """Returns an empty list."""
        return []


class Tree(configurations.Dissemination):
    """One VM watches the store; each VM notifies its children in a tree."""

    children = 4

    def watcher_ids(self):
        """Returns the lowest id of the fleet."""
        return self._membership.alive_ids()[:1]

    def peers_to_notify(self, source):
        """Returns the ids of this VM's children in the sorted list."""
        alive = self._membership.alive_ids()
        first = alive.index(self.vm_id) * self.children + 1
        return alive[first : first + self.children]


configurations.DISSEMINATIONS.update(watch=WatchOnly, tree=Tree)

STRATEGIES = {
    "everyone watches": functools.partial(
        configuration_fleet.Fleet, spread="watch"
    ),
    "tree of 4 over all": functools.partial(
        configuration_fleet.Fleet, spread="tree"
    ),
    "gossip, fanout 3": functools.partial(
        configuration_fleet.Fleet, spread="gossip", fanout=3
    ),
    "gossip, fanout 5": functools.partial(
        configuration_fleet.Fleet, spread="gossip", fanout=5
    ),
    "direct": functools.partial(configuration_fleet.Fleet, spread="direct"),
}


def no_fault(fleet):
    """Injects no fault."""


def lossy(fleet):
    """Loses 2 % of the messages and delays each by up to 50 ms."""
    fleet.loss = 0.02
    fleet.jitter_ms = 50


def watchers_dead(fleet):
    """Kills the first VM of each data centre, detected after a delay."""
    for number in range(DATA_CENTRES):
        vm_id = fleet.vms_of(f"dc-{number:02d}")[0]
        fleet.kill(vm_id, detected=False)
        fleet.call(DETECTION_DELAY_MS, fleet.mark_dead, vm_id)


def store_cut(fleet):
    """Cuts three data centres off from the store, but not from peers."""
    for number in range(3):
        fleet.store.cut_off |= set(fleet.vms_of(f"dc-{number:02d}"))


@attrs.frozen
class Load:
    """Rate, duration and fault of a series of edits.

    Parameters
    ----------
    fault : callable
        Injects the fault; called with the fleet before the edits.
    """

    name: str
    edits_per_second: float
    duration_ms: int
    fault: object = no_fault


LOADS = (
    Load("0.52/s", EDITS_PER_SECOND, 300_000),
    Load("20/s for 10 s", BURST_EDITS_PER_SECOND, 10_000),
    Load("0.52/s, lossy", EDITS_PER_SECOND, 120_000, lossy),
    Load("0.52/s, watchers die", EDITS_PER_SECOND, 60_000, watchers_dead),
    Load("0.52/s, 3 cut off", EDITS_PER_SECOND, 120_000, store_cut),
)


def measure(make_fleet, load, seed=1):
    """Runs one strategy under one load.

    Returns
    -------
    dict
        Times until all VMs have an edit, in ms, and the traffic during the
        load.
    """
    random_state = random.Random(seed)
    fleet = make_fleet(data_centres=DATA_CENTRES, vms=VMS, seed=seed)
    fleet.store.accept(
        teams=tuple(model.Team(f"team-{i:03d}", "plan") for i in range(TEAMS))
    )
    fleet.run(WARM_UP_MS)
    fleet.counts = configuration_fleet.Counts()
    load.fault(fleet)
    accepted_ms = run_load(fleet, load, random_state)
    counts = attrs.evolve(
        fleet.counts,
        bytes_by_vm=dict(fleet.counts.bytes_by_vm),
        store_calls_by_second=dict(fleet.counts.store_calls_by_second),
    )
    fleet.run(SETTLE_MS)
    return summarise(fleet, load, accepted_ms, counts)


def run_load(fleet, load, random_state):
    """Makes the edits of a load and returns the times of acceptance."""
    accepted_ms = {}
    end_ms = fleet.now_ms + load.duration_ms
    while True:
        gap_ms = random_state.expovariate(load.edits_per_second) * 1_000
        if fleet.now_ms + gap_ms > end_ms:
            fleet.run(end_ms - fleet.now_ms)
            return accepted_ms
        fleet.run(gap_ms)
        record = model.KeyRecord(
            key_hash=f"{random_state.getrandbits(256):064x}",
            key_id=f"{random_state.getrandbits(48):012x}",
            team="team-000",
        )
        edit = fleet.store.accept(given_keys=(record,))
        accepted_ms[edit.revision] = fleet.now_ms


def summarise(fleet, load, accepted_ms, counts):
    """Returns the figures of one run."""
    alive_count = len(fleet.revisions())
    # The default {0: 0} is used only if no VM is alive.
    delays_ms = [
        max(fleet.revision_times.get(revision, {0: 0}).values())
        - edit_accepted_ms
        if count_reached(fleet, revision) >= alive_count
        else float("inf")
        for revision, edit_accepted_ms in accepted_ms.items()
    ]
    seconds = load.duration_ms / 1_000
    rates = [size / seconds for size in counts.bytes_by_vm.values()]
    return {
        "edits": len(delays_ms),
        "p50": statistics.median(delays_ms),
        "max": max(delays_ms),
        "messages/s": counts.messages / seconds,
        "B/s mean": sum(rates) / VMS,
        "B/s max": max(rates),
        "store/s": counts.store_calls / seconds,
        "peak": max(counts.store_calls_by_second.values()),
    }


def count_reached(fleet, revision):
    """Returns the number of alive VMs that reached a revision."""
    times = fleet.revision_times.get(revision, {})
    return sum(vm_id not in fleet.dead for vm_id in times)


def main():
    """Prints one row for each strategy and load."""
    titles = None
    for load in LOADS:
        for strategy, make_fleet in STRATEGIES.items():
            figures = measure(make_fleet, load)
            if titles is None:
                titles = list(figures)
                cells = "".join(f"{title:>12}" for title in titles)
                print(f"{'load':22}{'way':20}{cells}")
            cells = "".join(f"{figures[title]:12,.0f}" for title in titles)
            print(f"{load.name:22}{strategy:20}{cells}", flush=True)


if __name__ == "__main__":
    main()
