"""The sending side of a connection to one other entry VM."""

import collections
import contextlib

from absl import logging
import attrs
import gevent
import gevent.event
from gevent import socket

from samphiregate.adapters.peers import _channel
from samphiregate.adapters.peers import _codec
from samphiregate.core import base

MAX_QUEUED_BYTES = 8 * 1024 * 1024
MAX_BATCH_BYTES = 64 * 1024
CONNECT_TIMEOUT_MS = 1_000
PROGRESS_TIMEOUT_MS = 2_000
FIRST_RETRY_MS = 50
LONGEST_RETRY_MS = 2_000


@attrs.define
class _SentBatch:
    sequence: int
    data: bytes
    sent_ms: int


class Link:
    """Sends frames to one peer, each at most once, in order.

    Batches are numbered. Those whose receipt the peer has not confirmed are
    sent again on a new connection, and the peer drops what it already has.
    When there is no progress for `PROGRESS_TIMEOUT_MS`, the connection is
    replaced; when a new one shows no progress either, all frames are
    dropped and `PeerUnreachable` is delivered.

    Parameters
    ----------
    peer_id, endpoint : str
        The other entry VM and its ``ip:port``.
    vm_id : str
        Id of this entry VM.
    secret : bytes
        Shared by all entry VMs.
    deliver : callable
        Takes `PeerUnreachable` events.
    now_ms : callable
        Monotonic time in milliseconds.
    totals : Totals
        Counts bytes of all links.
    """

    def __init__(
        self, peer_id, endpoint, *, vm_id, secret, deliver, now_ms, totals
    ):
        self.peer_id = peer_id
        self.endpoint = endpoint
        self._vm_id = vm_id
        self._secret = secret
        self._deliver = deliver
        self._now_ms = now_ms
        self._totals = totals
        self._frames = collections.deque()
        self._queued_bytes = 0
        self._unconfirmed = collections.deque()
        self._sequence = 0
        self._failing_since_ms = None
        self._wake = gevent.event.Event()
        self._channel = None
        self._greenlet = gevent.spawn(self._run)

    def close(self):
        """Closes the connection and drops what is queued."""
        self._greenlet.kill()
        if self._channel:
            self._channel.close()

    @property
    def is_drained(self):
        """Whether the peer has confirmed everything sent so far."""
        return not self._frames and not self._unconfirmed

    @property
    def is_failing(self):
        """Whether the latest connection showed no progress."""
        return self._failing_since_ms is not None

    def send(self, frame):
        """Queues an encoded frame.

        Returns
        -------
        bool
            False if the queue is over its bound; the frame is dropped.
        """
        if self._queued_bytes + frame.size > MAX_QUEUED_BYTES:
            return False
        self._frames.append(frame)
        self._queued_bytes += frame.size
        self._wake.set()
        return True

    def excuse(self, stalled_ms):
        """Gives the peer more time, as this process itself stood still.

        Parameters
        ----------
        stalled_ms : int
            Time in which no confirmation could be read.
        """
        for batch in self._unconfirmed:
            batch.sent_ms += stalled_ms

    def check(self, now_ms):
        """Replaces a connection that shows no progress."""
        if not self._unconfirmed or self._channel is None:
            return
        if now_ms - self._unconfirmed[0].sent_ms > PROGRESS_TIMEOUT_MS:
            logging.info("peers: the link to %s is silent.", self.peer_id)
            self._fail(now_ms)
            self._channel.close()

    def _run(self):
        retry_ms = FIRST_RETRY_MS
        while True:
            while self.is_drained:
                self._wake.clear()
                self._wake.wait()
            try:
                self._use_connection()
                retry_ms = FIRST_RETRY_MS
            except (OSError, _channel.ChannelError):
                self._fail(self._now_ms())
            gevent.sleep(retry_ms / 1000)
            retry_ms = min(retry_ms * 2, LONGEST_RETRY_MS)

    def _fail(self, now_ms):
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        elif now_ms - self._failing_since_ms > PROGRESS_TIMEOUT_MS / 2:
            self._drop_all()

    def _drop_all(self):
        if self.is_drained:
            return
        self._frames.clear()
        self._unconfirmed.clear()
        self._queued_bytes = 0
        self._deliver(base.PeerUnreachable(self.peer_id))

    def _use_connection(self):
        host, _colon, port = self.endpoint.rpartition(":")
        sock = socket.create_connection(
            (host, int(port)), timeout=CONNECT_TIMEOUT_MS / 1000
        )
        with _channel.Channel(sock) as channel, self._totals.count(channel):
            channel.connect_as(self._vm_id, self._secret)
            self._take_progress(channel.receive())
            sock.settimeout(None)
            self._channel = channel
            reader = gevent.spawn(self._read_progress, channel)
            try:
                self._resend(channel)
                self._write_batches(channel, reader)
            finally:
                self._channel = None
                reader.kill()

    def _resend(self, channel):
        now_ms = self._now_ms()
        for batch in tuple(self._unconfirmed):
            batch.sent_ms = now_ms
            channel.send(batch.data)

    def _write_batches(self, channel, reader):
        while not reader.dead:
            if self._frames:
                batch = self._next_batch()
                self._unconfirmed.append(batch)
                channel.send(batch.data)
            else:
                self._wake.clear()
                self._wake.wait()

    def _next_batch(self):
        frames = []
        size = 0
        while self._frames and size < MAX_BATCH_BYTES:
            frame = self._frames.popleft()
            size += frame.size
            frames.append(frame)
        self._queued_bytes -= size
        self._sequence += 1
        data = _encode_batch(self._sequence, frames)
        return _SentBatch(self._sequence, data, self._now_ms())

    def _read_progress(self, channel):
        try:
            while True:
                self._take_progress(channel.receive())
        except _channel.ChannelError:
            self._wake.set()

    def _take_progress(self, data):
        with _codec.SCHEMA.Progress.from_bytes(data) as progress:
            sequence = progress.sequence
        self._failing_since_ms = None
        while self._unconfirmed and self._unconfirmed[0].sequence <= sequence:
            self._unconfirmed.popleft()


def _encode_batch(sequence, frames):
    fields = [
        {
            "kind": frame.kind,
            "fields": frame.fields,
            "payloads": list(frame.payloads),
        }
        for frame in frames
    ]
    batch = _codec.SCHEMA.Batch.new_message(sequence=sequence, frames=fields)
    return batch.to_bytes()


def size_on_link(message):
    """Returns the bytes that a message takes when it is sent alone.

    Its share of the length and tag of a batch is counted, and so is the
    peer's confirmation; the headers of TCP and IP are not.
    """
    batch = _encode_batch(1, [_codec.encode_frame(message)])
    progress = _codec.SCHEMA.Progress.new_message(sequence=1).to_bytes()
    return len(batch) + len(progress) + 2 * _channel.OVERHEAD_BYTES


class Totals:
    """Bytes sent and received over all links of an entry VM.

    Channels that are open count with their bytes so far.
    """

    def __init__(self):
        self._channels = set()
        self._ended_sent = 0
        self._ended_received = 0

    @property
    def sent(self):
        """Bytes sent so far."""
        open_bytes = sum(one.bytes_sent for one in self._channels)
        return self._ended_sent + open_bytes

    @property
    def received(self):
        """Bytes received so far."""
        open_bytes = sum(one.bytes_received for one in self._channels)
        return self._ended_received + open_bytes

    @contextlib.contextmanager
    def count(self, channel):
        """Counts a channel's bytes from now on, also after its end."""
        self._channels.add(channel)
        try:
            yield
        finally:
            self._channels.discard(channel)
            self._ended_sent += channel.bytes_sent
            self._ended_received += channel.bytes_received
