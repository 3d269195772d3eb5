"""All links of one entry VM: it listens to peers and sends to them."""

from absl import logging
import gevent
from gevent import server

from samphiregate.adapters.peers import _channel
from samphiregate.adapters.peers import _codec
from samphiregate.adapters.peers import _link
from samphiregate.core import base
from samphiregate import errors

CHECK_PERIOD_MS = 250
HANDSHAKE_TIMEOUT_MS = 2_000
MAX_SENDERS = 1_024


class PeerHub:
    """Sends messages to entry VMs and delivers theirs; a context manager.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM, unique for each start.
    listen : str
        ``ip:port``; port 0 takes a free one.
    secret : bytes
        Shared by all entry VMs, 16 to 64 bytes.
    deliver : callable
        Takes `PeerDelivered` and `PeerUnreachable` events.
    timers : TimerService
        Drives the checks for silent links.
    metrics : Metrics
        Counts messages.
    """

    def __init__(self, *, vm_id, listen, secret, deliver, timers, metrics):
        self.vm_id = vm_id
        self._secret = secret
        self._deliver = deliver
        self._timers = timers
        self._metrics = metrics
        self._endpoints_by_id = {}
        self._links_by_id = {}
        self._sequences_by_sender = {}
        self._totals = _link.Totals()
        host, _colon, port = listen.rpartition(":")
        self._server = server.StreamServer((host, int(port)), self._accept)

    def __enter__(self):
        self._server.start()
        self._checked_ms = self._timers.now_ms()
        self._checks = self._timers.every(CHECK_PERIOD_MS, self._check)
        return self

    def __exit__(self, *exc_info):
        self._checks.cancel()
        self._server.stop()
        for link in self._links_by_id.values():
            link.close()
        self._links_by_id.clear()

    @property
    def endpoint(self):
        """The ``ip:port`` that peers connect to."""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def is_drained(self):
        """Whether peers have confirmed all messages sent so far."""
        return all(link.is_drained for link in self._links_by_id.values())

    def is_failing(self, peer_id):
        """Returns whether the link to a peer shows no progress."""
        link = self._links_by_id.get(peer_id)
        return link is not None and link.is_failing

    def bytes_counted(self):
        """Returns bytes sent and received over all links so far."""
        return self._totals.sent, self._totals.received

    def update_endpoints(self, endpoints_by_id):
        """Takes the endpoints of the present entry VMs, by id."""
        self._endpoints_by_id = dict(endpoints_by_id)
        for peer_id in list(self._links_by_id):
            if peer_id not in endpoints_by_id:
                self._links_by_id.pop(peer_id).close()
        self._forget_old_senders()

    def send(self, recipient, message):
        """Sends a message, at most once and without a promise."""
        link = self._link_to(recipient)
        if link is None:
            self._deliver(base.PeerUnreachable(recipient))
            return
        self._metrics.count("peers.sent")
        if not link.send(_codec.encode_frame(message)):
            logging.warning("peers: the queue to %s is full.", recipient)
            self._metrics.count("peers.dropped")
            self._deliver(base.PeerUnreachable(recipient))

    def _link_to(self, peer_id):
        link = self._links_by_id.get(peer_id)
        endpoint = self._endpoints_by_id.get(peer_id)
        if link is None and endpoint is not None:
            link = _link.Link(
                peer_id,
                endpoint,
                vm_id=self.vm_id,
                secret=self._secret,
                deliver=self._deliver,
                now_ms=self._timers.now_ms,
                totals=self._totals,
            )
            self._links_by_id[peer_id] = link
        return link

    def _check(self, now_ms):
        stalled_ms = now_ms - self._checked_ms - CHECK_PERIOD_MS
        self._checked_ms = now_ms
        for link in tuple(self._links_by_id.values()):
            if stalled_ms > CHECK_PERIOD_MS:
                link.excuse(stalled_ms)
            link.check(now_ms)

    def _accept(self, sock, _address):
        sock.settimeout(HANDSHAKE_TIMEOUT_MS / 1000)
        with _channel.Channel(sock) as channel, self._totals.count(channel):
            try:
                sender = channel.accept_as(self._secret)
                sock.settimeout(None)
                self._receive_all(channel, sender)
            except _channel.ChannelError as error:
                logging.debug("peers: a connection ended: %s.", error.detail)
            except _codec.capnp.KjException:
                logging.warning("peers: a connection sent malformed data.")

    def _receive_all(self, channel, sender):
        self._confirm(channel, sender)
        while True:
            messages = self._take_batch(sender, channel.receive())
            # Confirmed before it is handled, which may take long: progress
            # tells that the link works, not that work was done.
            self._confirm(channel, sender)
            for message in messages:
                self._deliver_message(sender, message)
            gevent.sleep(0)

    def _confirm(self, channel, sender):
        sequence = self._sequences_by_sender.get(sender, 0)
        progress = _codec.SCHEMA.Progress.new_message(sequence=sequence)
        channel.send(progress.to_bytes())

    def _take_batch(self, sender, data):
        with _codec.SCHEMA.Batch.from_bytes(data) as batch:
            if batch.sequence <= self._sequences_by_sender.get(sender, 0):
                return []
            self._sequences_by_sender[sender] = batch.sequence
            return list(_codec.decode_frames(batch.frames))

    def _deliver_message(self, sender, message):
        if isinstance(message, errors.SamphiregateError):
            logging.warning("peers: dropped a message: %s.", message.detail)
            self._metrics.count("peers.undecodable")
            return
        self._metrics.count("peers.received")
        self._deliver(base.PeerDelivered(sender, message))

    def _forget_old_senders(self):
        if len(self._sequences_by_sender) <= MAX_SENDERS:
            return
        for sender in list(self._sequences_by_sender):
            if sender not in self._endpoints_by_id:
                del self._sequences_by_sender[sender]
