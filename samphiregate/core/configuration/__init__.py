"""The configuration set by operators: documents, edits and replicas."""

from samphiregate.core.configuration._dissemination import Dissemination
from samphiregate.core.configuration._dissemination import DISSEMINATIONS
from samphiregate.core.configuration._documents import decode_configuration
from samphiregate.core.configuration._documents import decode_head
from samphiregate.core.configuration._documents import Edit
from samphiregate.core.configuration._documents import encode
from samphiregate.core.configuration._documents import Head
from samphiregate.core.configuration._documents import HEAD_KEY
from samphiregate.core.configuration._documents import MAX_DOCUMENT_BYTES
from samphiregate.core.configuration._documents import SNAPSHOT_KEY
from samphiregate.core.configuration._edits import append_edit
from samphiregate.core.configuration._edits import apply_edit
from samphiregate.core.configuration._edits import apply_edits
from samphiregate.core.configuration._edits import find_edit
from samphiregate.core.configuration._edits import needs_snapshot
from samphiregate.core.configuration._edits import reflects_edit
from samphiregate.core.configuration._edits import with_snapshot
from samphiregate.core.configuration._messages import ConfigurationDelta
from samphiregate.core.configuration._messages import ConfigurationDigest
from samphiregate.core.configuration._messages import ConfigurationSnapshot
from samphiregate.core.configuration._replica import ConfigurationReplica

__all__ = [
    "DISSEMINATIONS",
    "HEAD_KEY",
    "MAX_DOCUMENT_BYTES",
    "SNAPSHOT_KEY",
    "ConfigurationDelta",
    "ConfigurationDigest",
    "ConfigurationReplica",
    "ConfigurationSnapshot",
    "Dissemination",
    "Edit",
    "Head",
    "append_edit",
    "apply_edit",
    "apply_edits",
    "decode_configuration",
    "decode_head",
    "encode",
    "find_edit",
    "needs_snapshot",
    "reflects_edit",
    "with_snapshot",
]
