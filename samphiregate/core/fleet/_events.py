"""Events about machines, ownership and configuration."""

import enum

import attrs

from samphiregate.core import base
from samphiregate.core import model


@attrs.frozen
class FleetListed(base.Event):
    """The platform's list was read; it lags behind the actual state."""

    entry_vms_by_id: dict[str, model.EntryVmInfo]
    workers_by_id: dict[str, model.WorkerInfo]
    runners_by_id: dict[str, model.RunnerInfo]


class PeerState(enum.Enum):
    """State of another entry VM, as observed by this one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class PeerStateChanged(base.Event):
    """Membership changed the observed state of an entry VM."""

    vm_id: str
    data_centre: str
    state: PeerState


@attrs.frozen
class ShardEntry:
    """Owner of a shard.

    Parameters
    ----------
    owner : str
        Id of the owning entry VM; empty before the first owner.
    epoch : int
        Increases with each change of owner and never decreases.
    """

    owner: str
    epoch: int


@attrs.frozen
class ShardTableChanged(base.Event):
    """The table of shard owners of one data centre changed.

    The table holds the entries known to this entry VM.
    """

    data_centre: str
    entries_by_shard: dict[model.ShardId, ShardEntry]


@attrs.frozen
class ShardGained(base.Event):
    """This entry VM now owns a shard, under a new epoch."""

    shard: model.ShardId
    epoch: int


@attrs.frozen
class ShardLost(base.Event):
    """This entry VM must immediately stop acting as the owner of a shard."""

    shard: model.ShardId


@attrs.frozen
class ConfigurationChanged(base.Event):
    """A higher revision of the configuration took effect on this VM."""

    configuration: model.Configuration
