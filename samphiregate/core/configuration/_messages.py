"""Messages between entry VMs about the configuration."""

import attrs

from samphiregate.core import base
from samphiregate.core.configuration import _documents
from samphiregate.core import model


@attrs.frozen
class ConfigurationDelta(base.PeerMessage):
    """Edits with contiguous, increasing revisions."""

    edits: tuple[_documents.Edit, ...]


@attrs.frozen
class ConfigurationDigest(base.PeerMessage):
    """The sender's revision; a peer with a higher one sends an update.

    Parameters
    ----------
    revision : int
        Highest revision that the sender has applied.
    asked_ms : int
        When the requesting VM sent its digest, in ms of its own clock; a
        reply returns it.
    is_reply : bool
        Whether this is the reply to a digest.
    news_age_ms : int
        For a reply, the time since the replying VM's configuration was
        last confirmed by the store, directly or through peers, or since the
        start of that VM if that is later.
    """

    revision: int
    asked_ms: int = 0
    is_reply: bool = False
    news_age_ms: int = 0


@attrs.frozen
class ConfigurationSnapshot(base.PeerMessage):
    """A complete configuration.

    Sent to a peer that lacks edits which the sender no longer retains.
    """

    configuration: model.Configuration
