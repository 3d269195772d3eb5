"""Messages between entry VMs about the configuration."""

import attrs

from samphiregate.core import base
from samphiregate.core.configuration import _documents
from samphiregate.core import model


@attrs.frozen
class ConfigurationDelta(base.PeerMessage):
    """Edits without a gap between them, in the order of their revisions."""

    edits: tuple[_documents.Edit, ...]


@attrs.frozen
class ConfigurationDigest(base.PeerMessage):
    """The sender's revision; a peer with a higher one sends what lacks.

    Parameters
    ----------
    revision : int
        Revision in force at the sender.
    asked_ms : int
        When the asking VM sent its digest, by its own clock; a reply
        carries it back.
    is_reply : bool
        Whether this answers a digest.
    news_age_ms : int
        For a reply, the time since a sign from the store reached the
        replying VM, direct or through peers.
    """

    revision: int
    asked_ms: int = 0
    is_reply: bool = False
    news_age_ms: int = 0


@attrs.frozen
class ConfigurationSnapshot(base.PeerMessage):
    """A whole configuration, for a peer that the edits can't bring up."""

    configuration: model.Configuration
