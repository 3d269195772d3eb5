"""Records of another entry VM and of a probe."""

import pathlib

import attrs

from samphiregate.core import base
from samphiregate.core import fleet

CHART = base.Chart.load(pathlib.Path(__file__).with_name("_peer.yaml"))


@attrs.define
class Peer:
    """State of another entry VM, with the state chart of `_peer.yaml`.

    Parameters
    ----------
    vm_id : str
        The entry VM.
    data_centre : str
        Its data centre.
    state : PeerState
        Its current state in this VM's view.
    incarnation : int
        Highest incarnation received.
    since_ms : int
        When the state began.
    received_ms : int
        When a message from it was last received, or it was added.
    listed : bool
        Whether it is in the platform's latest list.
    unlisted_ms : int
        When it was found missing from the platform's list, or was added
        without being in it; unused while `listed`.
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
        """Applies an event to the chart; returns whether the state changed."""
        target = fleet.PeerState(CHART.next_state(self.state.value, event))
        if target is self.state:
            return False
        self.state = target
        self.since_ms = now_ms
        return True


@attrs.define
class Probe:
    """A probe in flight.

    Parameters
    ----------
    subject : str
        The probed VM.
    sent_ms : int
        When it was sent.
    indirect : bool
        Whether the indirect probes were already sent.
    origin : str
        VM on whose behalf it is sent; empty for this VM.
    origin_sequence : int
        Sequence number in the answer to `origin`.
    """

    subject: str
    sent_ms: int
    indirect: bool = False
    origin: str = ""
    origin_sequence: int = 0
