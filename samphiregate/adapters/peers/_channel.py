"""An authenticated channel of length-prefixed messages over TCP.

Each message is a four-byte length, a tag and the encoded bytes. Both sides
prove in a handshake that they hold the shared secret; the tag is a keyed
hash over the message and its place in the stream, so that nothing can be
inserted, changed or replayed. Contents are not encrypted.
"""

import hashlib
import hmac
import secrets
import socket
import struct

from samphiregate.adapters.peers import _codec
from samphiregate import errors

VERSION = 1
NONCE_BYTES = 16
TAG_BYTES = 16
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_COUNTER = struct.Struct(">cQ")
OVERHEAD_BYTES = _LENGTH.size + TAG_BYTES


class ChannelError(errors.SamphiregateError):
    """The connection ended, or the other side broke the protocol."""

    def __init__(self, detail):
        super().__init__(errors.ErrorCode.UNAVAILABLE, detail)


class Channel:
    """One TCP connection between two entry VMs; a context manager.

    Parameters
    ----------
    sock : socket
        A connected socket; closed with the channel.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Bytes so far, without those of TCP and IP.
    """

    def __init__(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        self._reader = sock.makefile("rb")
        self._key = b""
        self._sent = 0
        self._received = 0
        self._direction = b"c"
        self.bytes_sent = 0
        self.bytes_received = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Closes the connection, also under a blocked reader."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()

    def connect_as(self, vm_id, secret):
        """Does the connecting side's part of the handshake.

        Raises
        ------
        ChannelError
            If the other side speaks another protocol.
        """
        schema = _codec.SCHEMA
        with schema.Challenge.from_bytes(self._read_raw(0)[1]) as challenge:
            nonce = bytes(challenge.nonce)
        own_nonce = secrets.token_bytes(NONCE_BYTES)
        self._key = _session_key(secret, nonce, own_nonce)
        hello = schema.Hello.new_message(
            version=VERSION,
            sender=vm_id,
            nonce=own_nonce,
            proof=_proof(self._key, vm_id),
        )
        self._write_raw(hello.to_bytes(), b"")

    def accept_as(self, secret):
        """Does the accepting side's part of the handshake.

        Returns
        -------
        str
            Id of the connecting entry VM.

        Raises
        ------
        ChannelError
            If the other side does not prove that it has the secret.
        """
        schema = _codec.SCHEMA
        self._direction = b"s"
        own_nonce = secrets.token_bytes(NONCE_BYTES)
        challenge = schema.Challenge.new_message(
            version=VERSION, nonce=own_nonce
        )
        self._write_raw(challenge.to_bytes(), b"")
        with schema.Hello.from_bytes(self._read_raw(0)[1]) as hello:
            sender = hello.sender
            key = _session_key(secret, own_nonce, bytes(hello.nonce))
            proof = bytes(hello.proof)
        if not hmac.compare_digest(proof, _proof(key, sender)):
            raise ChannelError("the peer does not have the secret")
        self._key = key
        return sender

    def send(self, data):
        """Sends one encoded message."""
        place = _COUNTER.pack(self._direction, self._sent)
        self._sent += 1
        self._write_raw(data, _tag(self._key, place, data))

    def receive(self):
        """Returns the next encoded message.

        Raises
        ------
        ChannelError
            At the end of the stream, or if a tag does not match.
        """
        tag, data = self._read_raw(TAG_BYTES)
        other = b"s" if self._direction == b"c" else b"c"
        place = _COUNTER.pack(other, self._received)
        self._received += 1
        if not hmac.compare_digest(tag, _tag(self._key, place, data)):
            raise ChannelError("a message failed its authentication")
        return data

    def _write_raw(self, data, tag):
        message = _LENGTH.pack(len(data)) + tag + data
        try:
            self._socket.sendall(message)
        except OSError as error:
            raise ChannelError(f"sending failed: {error}") from error
        self.bytes_sent += len(message)

    def _read_raw(self, tag_bytes):
        (length,) = _LENGTH.unpack(self._read_exactly(_LENGTH.size))
        if length > MAX_MESSAGE_BYTES:
            raise ChannelError(f"a message of {length} bytes is too long")
        tag = self._read_exactly(tag_bytes)
        data = self._read_exactly(length)
        self.bytes_received += _LENGTH.size + tag_bytes + length
        return tag, data

    def _read_exactly(self, count):
        try:
            data = self._reader.read(count) if count else b""
        except (OSError, ValueError) as error:
            raise ChannelError(f"receiving failed: {error}") from error
        if len(data) != count:
            raise ChannelError("the connection ended")
        return data


def _session_key(secret, server_nonce, client_nonce):
    return hashlib.blake2b(server_nonce + client_nonce, key=secret).digest()


def _proof(key, vm_id):
    return _tag(key, b"hello", vm_id.encode())


def _tag(key, place, data):
    keyed = hashlib.blake2b(place, key=key, digest_size=TAG_BYTES)
    keyed.update(data)
    return keyed.digest()
