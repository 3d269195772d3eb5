"""Steps about VMs that monitor the process of a cell's owner."""

import types

import behave
import gevent
import gevent.event
from gevent import server as gevent_server
from gevent import socket

from features.support import cells_peers
from features.support import cells_store
from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _lease
from samphiregate.adapters.cells import _owner_monitor
from samphiregate.adapters.cells import _owner_record
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _precedence
from samphiregate.core import cells

OWN_ADDRESS = "127.0.0.1:9"
LEASE_ID = 77


def _refusing_address():
    """Returns an address at which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


def _serve_broken(context):
    """Serves connections that are closed without an answer."""
    server = gevent_server.StreamServer(
        ("127.0.0.1", 0), lambda connection, _address: connection.close()
    )
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    return f"127.0.0.1:{server.server_port}"


def _hold(_message):
    gevent.sleep(cells_store.SETTLE_S)


def _address_of(context, what):
    if what == "answers":
        return cells_peers.serve(
            context, lambda _message: cells.InstanceIs("owner")
        )
    if what == "does not answer yet":
        return cells_peers.serve(context, _hold)
    if what == "has lost the store":
        answer = cells.InstanceIs("owner", has_lost_store=True)
        return cells_peers.serve(context, lambda _message: answer)
    if what == "has started again":
        return cells_peers.serve(
            context, lambda _message: cells.InstanceIs("other")
        )
    if what == "breaks its connections and accepts new ones":
        return _serve_broken(context)
    if what == "ran on the VM that monitors it":
        return OWN_ADDRESS
    return _refusing_address()


def _write_owner(context, record):
    write = _ports.StoreWrite(
        _keys.owner(cells_store.CELL), cells.encode(record)
    )
    epoch = _ports.StoreWrite(
        _keys.epoch(cells_store.CELL), str(record.epoch).encode()
    )
    context.store.commit(expected={}, writes=[write, epoch])


@behave.given("an owner whose process {what}")
def given_owner(context, what):
    context.monitor_lease = types.SimpleNamespace(
        is_renewed=not what.endswith("too")
    )
    what = what.removesuffix(" too")
    is_predecessor = what == "ran on the VM that monitors it"
    record = _owner_record.OwnerRecord(
        vm_id="vm" if is_predecessor else "other",
        address=_address_of(context, what),
        epoch=3,
        instance="owner",
        lease_id=0 if what.endswith("gave no lease") else LEASE_ID,
    )
    _write_owner(context, record)


def _make_monitor(context, view):
    peers = cells_peers.make_calls(context)
    return _owner_monitor.OwnerMonitor(
        cell=cells_store.CELL,
        vm_id="vm",
        address=OWN_ADDRESS,
        instance="own",
        store=context.store,
        peers=peers,
        view=view,
        lease=context.monitor_lease,
        is_monitor=lambda _record: True,
        log=cells_store.FakeLog(),
    )


def _read_view(store):
    item = store.get(_keys.owner(cells_store.CELL))
    record = _owner_record.decode_owner(item.value) if item else None
    return types.SimpleNamespace(item=item, record=record)


class _StoreView:
    """Sees the owner's record as the store holds it."""

    def __init__(self, store):
        self._store = store

    @property
    def item(self):
        return _read_view(self._store).item

    @property
    def record(self):
        return _read_view(self._store).record


@behave.when("a VM monitors it until it revokes")
def when_monitored_until_revoked(context):
    with (
        _make_monitor(context, _StoreView(context.store)),
        gevent.Timeout(cells_store.SETTLE_S),
    ):
        while not context.store.ended_leases:
            gevent.sleep(0.01)


@behave.when("a VM monitors it for {span_ms:d} ms")
def when_monitored(context, span_ms):
    with _make_monitor(context, _StoreView(context.store)):
        gevent.sleep(span_ms / 1000)


@behave.when("a VM monitors it and another one acquires the cell meanwhile")
def when_acquired_meanwhile(context):
    seen = _read_view(context.store)
    newer = _owner_record.OwnerRecord("newer", "b:1", 4, "newer", LEASE_ID)
    _write_owner(context, newer)
    with _make_monitor(context, seen):
        gevent.sleep(0.2)


@behave.then("the ownership {whether} revoked")
def then_revoked(context, whether):
    store = context.store
    is_gone = store.get(_keys.owner(cells_store.CELL)) is None
    assert is_gone == (whether == "is"), store.item_by_key
    assert (store.ended_leases == [LEASE_ID]) == is_gone, store.ended_leases


@behave.when("the VMs that monitor are chosen among {groups}")
def when_monitors_chosen(context, groups):
    context.vm_records = []
    for group in groups.split(", "):
        count, _of, cores = group.split()[:3]
        context.vm_records += [
            _lease.VmRecord(f"vm-{cores}-{number}", "a:1", float(cores))
            for number in range(int(count))
        ]


@behave.then(
    "the owner of epoch {epoch:d} is monitored by {count:d} VMs of 2 cores"
)
def then_monitors(context, epoch, count):
    ids = _precedence.monitor_ids(context.vm_records, epoch)
    strong = [vm_id for vm_id in ids if vm_id.startswith("vm-2-")]
    assert len(strong) == count, ids
    assert len(ids) == _precedence.MONITOR_COUNT, ids


@behave.then("different VMs monitor the owners of epochs 1 to {last:d}")
def then_monitors_differ(context, last):
    chosen = {
        tuple(_precedence.monitor_ids(context.vm_records, epoch))
        for epoch in range(1, last + 1)
    }
    assert len(chosen) > 1, chosen


RENEWED_MS = 10_000


@behave.given("a VM whose lease is {state}")
def given_lease(context, state):
    since_ms = {
        "renewed": 100,
        "refused a renewal after 500 ms": 500,
        "refused renewals for 1000 ms": 1_000,
        "refused renewals until it lapsed": 2_500,
    }[state]
    context.lease = _lease.LeaseRenewer(
        store=None,
        record=None,
        on_renewal=None,
        now_ms=lambda: RENEWED_MS + since_ms,
        log=None,
    )
    context.lease.lease_id = LEASE_ID
    context.lease.valid_until_ms = (
        RENEWED_MS + _lease.TTL_MS - _lease.EXPIRY_MARGIN_MS
    )
    context.lease._last_failed = state != "renewed"


@behave.when(
    "it is asked for its instance, to be answered after {hold_ms:d} ms"
)
def when_asked(context, hold_ms):
    context.monitor_lease = context.lease
    context.store = None
    monitor = _make_monitor(context, view=None)
    context.answer = monitor.answer(cells.AskInstance(hold_ms))


@behave.then("it answers that it {has_lost} lost the store")
def then_answer(context, has_lost):
    expected = cells.InstanceIs("own", has_lost_store=has_lost == "has")
    assert context.answer == expected, context.answer
