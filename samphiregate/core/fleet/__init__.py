"""Events about the fleet that several state machines handle."""

from samphiregate.core.fleet._events import ConfigurationChanged
from samphiregate.core.fleet._events import FleetListed
from samphiregate.core.fleet._events import PeerState
from samphiregate.core.fleet._events import PeerStateChanged
from samphiregate.core.fleet._events import ShardEntry
from samphiregate.core.fleet._events import ShardGained
from samphiregate.core.fleet._events import ShardLost
from samphiregate.core.fleet._events import ShardTableChanged

__all__ = [
    "ConfigurationChanged",
    "FleetListed",
    "PeerState",
    "PeerStateChanged",
    "ShardEntry",
    "ShardGained",
    "ShardLost",
    "ShardTableChanged",
]
