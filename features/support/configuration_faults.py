"""Faults of a simulated fleet that follows the configuration."""

FLAP_COUNT = 8


def stale_reads(fleet):
    """Makes reads stale and restarts one VM now and another after 2 s."""
    fleet.store.stale_reads = True
    fleet.start("vm-003")
    fleet.call(2_000, fleet.start, "vm-000")


def watcher_dies(fleet):
    """Kills a watcher, whose death is detected after 4 s."""
    fleet.kill("vm-000", detected=False)
    fleet.call(4_000, fleet.mark_dead, "vm-000")


def all_restarted(fleet):
    """Restarts every VM without its state, one each 500 ms."""
    for number, vm_id in enumerate(fleet.data_centre_by_vm):
        fleet.call(500 * number, fleet.start, vm_id)


def store_cut_for_all(fleet):
    """Cuts all VMs off from the store, but not from one another."""
    fleet.store.cut_off |= set(fleet.data_centre_by_vm)


def isolated(fleet):
    """Cuts dc-00 off from the other data centres and from the store."""
    fleet.cut("dc-00", "dc-01")
    fleet.cut("dc-00", "dc-02")
    fleet.store.cut_off |= set(fleet.vms_of("dc-00"))


def flapping(fleet):
    """Isolates dc-00 and heals it after 500 ms, `FLAP_COUNT` times."""
    for number in range(FLAP_COUNT):
        fleet.call(1_000 * number, isolated, fleet)
        fleet.call(1_000 * number + 500, fleet.heal)


FAULTS = {
    "none": lambda fleet: None,
    "loss": lambda fleet: setattr(fleet, "loss", 0.3),
    "duplicates": lambda fleet: [
        setattr(fleet, "duplication", 0.5),
        setattr(fleet, "jitter_ms", 3_000),
    ],
    "stale reads": stale_reads,
    "watcher dies": watcher_dies,
    "watcher dead, undetected": lambda fleet: fleet.kill(
        "vm-000", detected=False
    ),
    "all restarted": all_restarted,
    "one paused": lambda fleet: fleet.paused.add("vm-001"),
    "store cut for one": lambda fleet: fleet.store.cut_off.update(
        fleet.vms_of("dc-01")
    ),
    "store cut for all": store_cut_for_all,
    "partition": lambda fleet: fleet.cut("dc-00", "dc-01"),
    "isolated": isolated,
    "flapping": flapping,
}
