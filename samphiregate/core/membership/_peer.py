"""What is kept about one other entry VM."""

import pathlib

import attrs

from samphiregate.core import base
from samphiregate.core import fleet

CHART = base.Chart.load(pathlib.Path(__file__).with_name("_peer.yaml"))


@attrs.define
class Peer:
    """Belief about one entry VM; its life cycle stands in `_peer.yaml`.

    Parameters
    ----------
    vm_id : str
        The entry VM.
    data_centre : str
        Its data centre.
    state : PeerState
        What is believed now.
    incarnation : int
        Highest incarnation heard of.
    since_ms : int
        When the state began.
    heard_ms : int
        When something last came from it directly, or it was first known.
    listed : bool
        Whether the platform's latest list has it.
    unlisted_ms : int
        When it was first missing from the platform's list.
    """

    vm_id: str
    data_centre: str
    state: fleet.PeerState
    incarnation: int = 0
    since_ms: int = 0
    received_ms: int = 0
    listed: bool = True
    unlisted_ms: int = 0

    def fire(self, event, now_ms):
        """Moves along the chart; returns whether the state changed."""
        target = fleet.PeerState(CHART.next_state(self.state.value, event))
        if target is self.state:
            return False
        self.state = target
        self.since_ms = now_ms
        return True


@attrs.define
class Probe:
    """A probe under way.

    Parameters
    ----------
    subject : str
        The probed VM.
    sent_ms : int
        When it was sent.
    indirect : bool
        Whether helpers were asked already.
    origin : str
        VM on whose behalf it is sent; empty for its own.
    origin_sequence : int
        Sequence to answer `origin` with.
    """

    subject: str
    sent_ms: int
    indirect: bool = False
    origin: str = ""
    origin_sequence: int = 0
