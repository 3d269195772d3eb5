"""Messages with which entry VMs probe each other."""

import attrs

from samphiregate.core import base
from samphiregate.core import fleet


@attrs.frozen
class Rumour:
    """Membership update: the state of one entry VM in the sender's view.

    Parameters
    ----------
    vm_id : str
        The entry VM.
    data_centre : str
        Its data centre.
    state : PeerState
        Its state in the sender's view.
    incarnation : int
        Raised only by the VM itself: to refute a suspicion or death, when
        leaving and after a pause.
    """

    vm_id: str
    data_centre: str
    state: fleet.PeerState
    incarnation: int


@attrs.frozen
class Ping(base.PeerMessage):
    """Probes a VM, which answers with an `Ack`.

    Parameters
    ----------
    sequence : int
        Echoed in the answer.
    data_centre : str
        Data centre of the sender.
    incarnation : int
        Incarnation of the sender.
    rumours : tuple of Rumour
        Piggybacked membership updates.
    unreachable : tuple of str or None
        Data centres that the sender cannot reach, if it is a
        representative of the recipient's data centre.
    """

    sequence: int
    data_centre: str = ""
    incarnation: int = 0
    rumours: tuple[Rumour, ...] = ()
    unreachable: tuple[str, ...] | None = None


@attrs.frozen
class Ack(base.PeerMessage):
    """Answers a `Ping`, directly or through another VM.

    Parameters
    ----------
    sequence : int
        That of the answered `Ping` or, if relayed, `IndirectPing`.
    subject : str
        The VM that answered.
    data_centre : str
        Data centre of `subject`.
    incarnation : int
        Incarnation of `subject`.
    rumours, unreachable
        As in `Ping`; absent if relayed.
    """

    sequence: int
    subject: str
    data_centre: str = ""
    incarnation: int = 0
    rumours: tuple[Rumour, ...] = ()
    unreachable: tuple[str, ...] | None = None


@attrs.frozen
class IndirectPing(base.PeerMessage):
    """Makes the recipient probe `subject` and relay its `Ack`."""

    sequence: int
    subject: str
    rumours: tuple[Rumour, ...] = ()
