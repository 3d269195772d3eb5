"""Two connected peer hubs, with a fault-injecting proxy between them."""

import contextlib

import attrs
from gevent import socket

from samphiregate.adapters import peers
from samphiregate.adapters.peers import _channel
from samphiregate.adapters.peers import _codec
from samphiregate.core import base
from samphiregate.core import model
from samphiregate import metrics
from samphiregate import timers
from standins import processes
from standins import proxy

SECRET = b"0123456789abcdef"
WAIT_S = 30


@attrs.frozen
class Sample(base.PeerMessage):
    """A message with each kind of field that messages use."""

    number: int
    task_id: model.TaskId = model.TaskId("job", 0)
    work_class: model.WorkClass = model.WorkClass.BATCH
    shards: tuple[model.ShardId, ...] = ()
    counts_by_name: dict[str, int] = attrs.field(factory=dict)
    body: bytes = b""


class HubPair(contextlib.ExitStack):
    """A sending and a receiving hub; messages go through `proxy`."""

    def __init__(self, *, sender_secret=SECRET):
        super().__init__()
        self.received = []
        self.sender_events = []
        service = self.enter_context(timers.TimerService())
        self._timers = service
        self.receiver = self._hub("receiver", SECRET, self.received)
        self.sender = self._hub("sender", sender_secret, self.sender_events)
        self.proxy = self.enter_context(
            proxy.FaultProxy(self.receiver.endpoint)
        )
        self.sender.update_endpoints({"receiver": self.proxy.endpoint})

    def send(self, first, count):
        """Sends numbered samples."""
        for number in range(first, first + count):
            self.sender.send("receiver", Sample(number))

    def numbers(self):
        """Returns the numbers received so far."""
        return [event.message.number for event in self.received]

    def wait_for(self, condition, what):
        """Waits until `condition()` holds."""
        processes.wait_until(condition, WAIT_S, what)

    def stop_checks(self):
        """Ends the sender's periodic checks for silent links."""
        self.sender._checks.cancel()

    def check_in_steps(self, gaps_ms):
        """Has the sender check for silent links at times from now on."""
        now_ms = self.sender._checked_ms = self._timers.now_ms()
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            self.sender._check(now_ms)

    def _hub(self, vm_id, secret, events):
        hub = peers.PeerHub(
            vm_id=vm_id,
            listen="127.0.0.1:0",
            secret=secret,
            deliver=events.append,
            timers=self._timers,
            metrics=metrics.Metrics(),
        )
        return self.enter_context(hub)


def send_batch(endpoint, sequence):
    """Sends one numbered batch on a connection of its own.

    Returns when the receiver has confirmed a batch.
    """
    host, _colon, port = endpoint.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    encoded = peers.encode_frame(Sample(sequence))
    frame = {"kind": encoded.kind, "fields": encoded.fields}
    batch = _codec.SCHEMA.Batch.new_message(sequence=sequence, frames=[frame])
    with _channel.Channel(sock) as channel:
        channel.connect_as("x", SECRET)
        channel.receive()
        channel.send(batch.to_bytes())
        channel.receive()
