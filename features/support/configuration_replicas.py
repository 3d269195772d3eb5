"""Configuration replicas, edits and keys for tests."""

import random

from features.support import configuration_fleet
from samphiregate.core import base
from samphiregate.core import configuration as configurations
from samphiregate.core import model

KEY_HASH = "5a" * 32
TEAM = "team-a"
PEER = "peer"


def key_record():
    """Returns the record of the key under test."""
    return model.KeyRecord(KEY_HASH, "key-1", TEAM)


def make_replica(**parameters):
    """Returns a replica without peers."""
    fleet = configuration_fleet.Fleet(data_centres=1, vms=0)
    return configurations.ConfigurationReplica(
        vm_id="vm",
        data_centre="dc",
        membership=configuration_fleet.FakeMembership(fleet, "vm"),
        random_state=random.Random(1),
        **parameters,
    )


def make_settled_replica():
    """Returns a settled replica without peers."""
    replica = make_replica(settle_ms=0)
    replica.handle(base.Tick(), 0)
    return replica


def make_edits(count, **first_changes):
    """Returns `count` edits, starting at revision 1.

    `first_changes` are further fields of the first edit.
    """
    team = model.Team(TEAM, "plan")
    edits = [configurations.Edit(1, "edit-1", teams=(team,), **first_changes)]
    edits += [
        configurations.Edit(
            revision,
            f"edit-{revision}",
            teams=(model.Team("b", str(revision)),),
        )
        for revision in range(2, count + 1)
    ]
    return edits


def deliver(replica, message, now_ms=0):
    """Delivers a peer's message to a replica."""
    return replica.handle(base.PeerDelivered(PEER, message), now_ms)
