"""Links between entry VMs: framing, authentication, heartbeats, bounds."""

from samphiregate.adapters.peers._codec import decode_frames
from samphiregate.adapters.peers._codec import decode_message
from samphiregate.adapters.peers._codec import encode_frame
from samphiregate.adapters.peers._codec import encode_message
from samphiregate.adapters.peers._codec import UnknownMessageError
from samphiregate.adapters.peers._hub import PeerHub
from samphiregate.adapters.peers._link import size_on_link

__all__ = [
    "PeerHub",
    "UnknownMessageError",
    "decode_frames",
    "decode_message",
    "encode_frame",
    "encode_message",
    "size_on_link",
]
