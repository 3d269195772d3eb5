"""Steps about the links between entry VMs."""

import behave
import gevent
from gevent import socket

from features.support import peers as support
from samphiregate.adapters import peers
from samphiregate.adapters.peers import _channel
from samphiregate.adapters.peers import _codec
from samphiregate.core import base
from samphiregate.core import model


def _decode_one(kind, fields, payloads=()):
    frame = {"kind": kind, "fields": fields, "payloads": list(payloads)}
    data = _codec.SCHEMA.Batch.new_message(frames=[frame]).to_bytes()
    with _codec.SCHEMA.Batch.from_bytes(data) as batch:
        return next(peers.decode_frames(batch.frames))


@behave.when("a sample with {field} set to {value} crosses the codec")
def when_sample_crosses(context, field, value):
    changes = {"number": 1, field: eval(value, {"model": model})}
    context.sample = support.Sample(**changes)
    encoded = peers.encode_frame(context.sample)
    context.decoded = _decode_one(
        encoded.kind, encoded.fields, encoded.payloads
    )


@behave.then("the same sample comes out")
def then_same_sample(context):
    assert context.decoded == context.sample, context.decoded


@behave.when("a frame of kind {kind} with fields {fields} is decoded")
def when_frame_decoded(context, kind, fields):
    context.decoded = _decode_one(kind, fields.encode())


@behave.then("the codec gives {result}")
def then_codec_gives(context, result):
    assert type(context.decoded).__name__ == result, context.decoded


@behave.given("two entry VMs with a proxy between them")
def given_two_vms(context):
    context.pair = support.HubPair()
    context.add_cleanup(context.pair.close)
    context.sent = 0


@behave.given(
    "two entry VMs with a proxy between them, one with a wrong secret"
)
def given_wrong_secret(context):
    context.pair = support.HubPair(sender_secret=b"another secret!!")
    context.add_cleanup(context.pair.close)
    context.sent = 0


@behave.when("{count:d} messages are sent")
def when_sent(context, count):
    context.pair.send(context.sent, count)
    context.sent += count


@behave.when("the link suffers: {fault}")
def when_link_suffers(context, fault):
    pair = context.pair
    if fault != "nothing":
        pair.wait_for(lambda: len(pair.received) >= 1, "a first message")
    if fault == "its connections are cut":
        pair.proxy.cut()
    elif fault == "its open connections go silent":
        pair.proxy.silence_open_connections()
    elif fault.startswith("confirmations are lost"):
        pair.proxy.faults.silent_to_client = True
        when_sent(context, 1)
        pair.wait_for(
            lambda: len(pair.received) == context.sent, "an unconfirmed one"
        )
        pair.proxy.faults.silent_to_client = False
        pair.proxy.cut()


@behave.then("{count:d} messages arrive once and in order")
def then_arrive(context, count):
    pair = context.pair
    pair.wait_for(lambda: len(pair.received) >= count, f"{count} messages")
    gevent.sleep(0.05)
    assert pair.numbers() == list(range(count)), pair.numbers()


@behave.then("the last {count:d} messages arrive once and in order")
def then_last_arrive(context, count):
    pair = context.pair
    expected = list(range(context.sent - count, context.sent))
    pair.wait_for(lambda: len(pair.received) >= count, f"{count} messages")
    assert pair.numbers() == expected, pair.numbers()


@behave.then("the sender hears that the peer is unreachable")
def then_unreachable(context):
    pair = context.pair
    expected = base.PeerUnreachable("receiver")
    pair.wait_for(lambda: expected in pair.sender_events, "the report")


@behave.when("the proxy refuses connections")
def when_refuses(context):
    context.pair.proxy.faults.refuse = True


@behave.when("the proxy accepts connections again")
def when_accepts(context):
    context.pair.proxy.faults.refuse = False


@behave.given("two channels with a common secret")
def given_channels(context):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        connecting = socket.create_connection(listener.getsockname())
        accepted, _address = listener.accept()
    client, server = _channel.Channel(connecting), _channel.Channel(accepted)
    accepting = gevent.spawn(server.accept_as, support.SECRET)
    client.connect_as("a", support.SECRET)
    accepting.get()
    context.client, context.server = client, server


@behave.when("a message is changed on its way")
def when_changed(context):
    context.client.send(b"first")
    assert context.server.receive() == b"first"
    tag = b"\0" * _channel.TAG_BYTES
    context.client._write_raw(b"second", tag)


@behave.then("the receiving channel refuses it")
def then_refused(context):
    try:
        context.server.receive()
    except _channel.ChannelError as error:
        assert "authentication" in error.detail, error
    else:
        raise AssertionError("the changed message was delivered")


@behave.when("batches {sequences} of a sender come on a connection each")
def when_batches_come(context, sequences):
    for sequence in map(int, sequences.split()):
        support.send_batch(context.pair.receiver.endpoint, sequence)


@behave.then("{count:d} batches are delivered")
def then_batches_delivered(context, count):
    assert len(context.pair.received) == count, context.pair.received


@behave.when(
    "a message is unconfirmed and the sender's checks come {gaps} ms apart"
)
def when_checks_come(context, gaps):
    pair = context.pair
    pair.stop_checks()
    when_sent(context, 1)
    pair.wait_for(lambda: pair.received, "the first message")
    pair.proxy.faults.silent_to_client = True
    when_sent(context, 1)
    pair.wait_for(lambda: len(pair.received) == 2, "the second message")
    pair.check_in_steps(map(int, gaps.split()))


@behave.then("the sender has {found} the link to be silent")
def then_found_silent(context, found):
    expected = found == "found"
    assert context.pair.sender.is_failing("receiver") == expected
