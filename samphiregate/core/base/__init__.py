"""Interfaces and base classes of state machines and policies."""

from samphiregate.core.base._chart import Chart
from samphiregate.core.base._dispatch import singledispatchmethod
from samphiregate.core.base._hashing import stable_hash
from samphiregate.core.base._machine import StateMachine
from samphiregate.core.base._messages import Action
from samphiregate.core.base._messages import Event
from samphiregate.core.base._messages import Notify
from samphiregate.core.base._messages import PeerDelivered
from samphiregate.core.base._messages import PeerMessage
from samphiregate.core.base._messages import PeerUnreachable
from samphiregate.core.base._messages import SendToPeer
from samphiregate.core.base._messages import StopRequested
from samphiregate.core.base._messages import Tick
from samphiregate.core.base._pause import PauseDetector
from samphiregate.core.base._policy import Policy

__all__ = [
    "Action",
    "Chart",
    "Event",
    "Notify",
    "PauseDetector",
    "PeerDelivered",
    "PeerMessage",
    "PeerUnreachable",
    "Policy",
    "SendToPeer",
    "StateMachine",
    "StopRequested",
    "Tick",
    "singledispatchmethod",
    "stable_hash",
]
