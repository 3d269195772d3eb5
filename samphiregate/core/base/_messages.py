"""Base classes of events, actions and peer messages."""

import attrs


@attrs.frozen
class Event:
    """Something that happened, handed to a state machine."""


@attrs.frozen
class Action:
    """Something that a state machine asks its surroundings to do."""


@attrs.frozen
class PeerMessage:
    """A message between entry VMs.

    Each subclass is a frozen attrs class whose fields are plain values,
    enums, tuples or further attrs classes, so that the peer codec can
    encode it without help. New fields carry defaults, so that the next
    version's messages and this one's can be read by each other.
    """


@attrs.frozen
class Tick(Event):
    """Time has passed; sent by the timer service at a fixed interval."""


@attrs.frozen
class StopRequested(Event):
    """A graceful stop of this entry VM was requested."""


@attrs.frozen
class PeerDelivered(Event):
    """A message arrived from another entry VM.

    Parameters
    ----------
    sender : str
        Id of the sending entry VM.
    message : PeerMessage
        What it sent.
    """

    sender: str
    message: PeerMessage


@attrs.frozen
class PeerUnreachable(Event):
    """The link to a peer broke; messages under way may be lost."""

    peer_id: str


@attrs.frozen
class SendToPeer(Action):
    """Send a message to an entry VM, at most once and without a promise.

    Parameters
    ----------
    recipient : str
        Id of the entry VM; the sender's own id delivers locally.
    message : PeerMessage
        What to send.
    """

    recipient: str
    message: PeerMessage


@attrs.frozen
class Notify(Action):
    """Deliver an event to the other state machines of the same entry VM."""

    event: Event
