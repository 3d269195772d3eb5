"""Events about machines, ownership and configuration."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class FleetListed(base.Event):
    """The platform's list was read; it lags behind the truth."""

    entry_vms_by_id: dict[str, model.EntryVmInfo]
    workers_by_id: dict[str, model.WorkerInfo]
    runners_by_id: dict[str, model.RunnerInfo]


class PeerState(enum.Enum):
    """What this entry VM believes about another one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class PeerStateChanged(base.Event):
    """Membership changed its belief about an entry VM."""

    vm_id: str
    data_centre: str
    state: PeerState


@attrs.frozen
class ShardEntry:
    """Who owns a shard.

    Parameters
    ----------
    owner : str
        Id of the owning entry VM; empty before the first owner.
    epoch : int
        Rises with each change of owner, and never falls.
    """

    owner: str
    epoch: int


@attrs.frozen
class ShardTableChanged(base.Event):
    """The table of owners of one data centre, as far as it is known."""

    data_centre: str
    entries_by_shard: dict[model.ShardId, ShardEntry]


@attrs.frozen
class ShardGained(base.Event):
    """This entry VM now owns a shard, under an epoch of its own."""

    shard: model.ShardId
    epoch: int


@attrs.frozen
class ShardLost(base.Event):
    """This entry VM must stop acting as the owner of a shard at once."""

    shard: model.ShardId


@attrs.frozen
class ConfigurationChanged(base.Event):
    """A higher revision of the configuration is in force on this VM."""

    configuration: model.Configuration
