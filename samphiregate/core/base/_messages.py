"""Base classes of events, actions and peer messages."""

import attrs


@attrs.frozen
class Event:
    """Base class of the inputs of state machines."""


@attrs.frozen
class Action:
    """Base class of the outputs of state machines, executed by adapters."""


@attrs.frozen
class PeerMessage:
    """Base class of the messages between entry VMs.

    Each subclass is a frozen attrs class whose fields are plain values,
    enums, tuples or other attrs classes, so that the peer codec can encode
    it without a custom hook. New fields need defaults, so that two
    consecutive versions can read each other's messages.
    """


@attrs.frozen
class Tick(Event):
    """Time has passed; sent by the timer service at a fixed interval."""


@attrs.frozen
class StopRequested(Event):
    """A graceful stop of this entry VM was requested."""


@attrs.frozen
class PeerDelivered(Event):
    """A message from an entry VM was received.

    Parameters
    ----------
    sender : str
        Id of the sending entry VM.
    message : PeerMessage
        Received message.
    """

    sender: str
    message: PeerMessage


@attrs.frozen
class PeerUnreachable(Event):
    """The link to a peer broke; messages in flight may be lost."""

    peer_id: str


@attrs.frozen
class SendToPeer(Action):
    """Send a message to an entry VM, at most once and best effort.

    Parameters
    ----------
    recipient : str
        Id of the entry VM; the sender's own id delivers locally.
    message : PeerMessage
        Message to send.
    """

    recipient: str
    message: PeerMessage


@attrs.frozen
class Notify(Action):
    """Deliver an event to the state machines of the same entry VM.

    The machine that returned the action is one of them.
    """

    event: Event
