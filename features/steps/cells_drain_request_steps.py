"""Steps about the drain requests that VMs read from the store."""

import pathlib
import random
import sys
import types

import behave
import gevent
import gevent.event

from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _drain_requests
from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _owner
from samphiregate.adapters.cells import _owner_record
from samphiregate.adapters.cells import _ownership
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _vm
from samphiregate.adapters.cells import _vm_state
from samphiregate.adapters.cells import _watched_prefix
from samphiregate.core import cells
from samphiregate import metrics

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.append(str(ROOT / "platform"))

from samphiregate_platform import documents  # noqa: E402

ENDPOINTS_PREFIX = "endpoints/"
START_TIMEOUT_S = 10


@behave.when('the platform\'s key "{key}" is decoded')
def when_decoded(context, key):
    context.name = documents.drained_data_centre(key)


@behave.then("it drains {name}")
def then_drains(context, name):
    assert context.name == (None if name == "nothing" else name), context.name


@behave.given("the platform's keys")
def given_keys(context):
    context.prefix = documents.operations_prefix


@behave.then(
    "the prefix that is watched contains the key of the configuration and "
    '"{key}"'
)
def then_contains(context, key):
    assert documents.configuration_key.startswith(context.prefix)
    assert key.startswith(context.prefix)


def _change(data_centre, revision, *, drained):
    item = None
    if drained:
        item = _ports.StoreItem(data_centre, b"{}", revision, revision)
    return _ports.StoreChange(f"drains/{data_centre}", revision, item)


def _decode_key(key):
    return key.removeprefix("drains/") if key.startswith("drains/") else None


@behave.given("a VM that knows no drains")
def given_no_drains(context):
    context.changes = []
    context.requests = _drain_requests.DrainRequests(
        cell=cells_store.CELL,
        decode_key=_decode_key,
        on_change=lambda: context.changes.append(True),
        log=cells_store.FakeLog(),
    )


@behave.when("it is told {told}")
def when_told(context, told):
    for one in told.split(", "):
        what, name, _at, revision, _by, *source = one.split()
        drained = what == "drain"
        if source == ["the", "store"]:
            context.requests.apply_change(
                _change(name, int(revision), drained=drained)
            )
            continue
        notice = cells.DrainWasRequested(
            cells_store.CELL, name, int(revision), drained
        )
        context.requests.answer_notice(notice)


@behave.when("it has read the store up to {revision:d}")
def when_read_upto(context, revision):
    context.requests.read_upto(revision)


@behave.given(
    "a store whose history a watch has lost, at revision {revision:d}"
)
def given_lost_history(context, revision):
    def watch(prefix, after, wait_ms):
        del prefix, after, wait_ms
        gevent.sleep(cells_store.SETTLE_S)

    context.read_upto = []
    context.watched = _watched_prefix.WatchedPrefix(
        store=types.SimpleNamespace(
            list=lambda prefix: ([], revision), watch=watch
        ),
        prefix="op/",
        on_change=None,
        now_ms=lambda: 0,
        wait_ms=1_000,
        log=cells_store.FakeLog(),
        on_read=context.read_upto.append,
    )


@behave.when("the prefix is watched")
def when_watched(context):
    with context.watched:
        gevent.sleep(0)


@behave.then("it has read up to {revision:d}")
def then_read_upto(context, revision):
    assert context.read_upto == [revision], context.read_upto


@behave.then("it knows {names} as drained, after {count:d} changes")
def then_known(context, names, count):
    expected = set() if names == "none" else set(names.split(", "))
    assert context.requests.data_centres == expected, context.requests.known
    assert len(context.changes) == count, context.changes


class _RecordedPeers:
    """Records the messages to other VMs."""

    def __init__(self):
        self.sent = []

    def call(self, address, message, timeout_ms):
        """See `PeerCalls.call`."""
        del timeout_ms
        self.sent.append((address, message))
        return cells.NoticeTaken()


def _set_owner(context, vm_id, epoch):
    record = _owner_record.OwnerRecord(vm_id, f"{vm_id}:1", epoch)
    key = _keys.owner(cells_store.CELL)
    item = _ports.StoreItem(key, cells.encode(record), epoch, 1)
    context.entry_vm._owner_view._owners._apply(
        _ports.StoreChange(key, epoch, item)
    )


@behave.given("an entry VM that {role} the owner's process")
def given_monitor(context, role):
    decoders = types.SimpleNamespace(
        configuration_key="configuration",
        operations_prefix="",
        configuration=None,
        drained_data_centre=_decode_key,
    )
    vm = _vm.EntryVm(
        vm_id="self",
        peer_address="self:1",
        capacity=1.0,
        ports=types.SimpleNamespace(store=None, decoders=decoders),
        random_state=random.Random(1),
        log=cells_store.FakeLog(),
    )
    context.entry_vm = vm
    context.peers = vm._notices._peers = _RecordedPeers()
    vm._vm_records.is_monitor = lambda _owner: role == "monitors"
    _set_owner(context, "first", 1)


@behave.when('the store tells it that data centre "{name}" is drained')
def when_store_tells(context, name):
    context.entry_vm._watched_operations._apply(_change(name, 5, drained=True))
    assert context.entry_vm.drain_requests.data_centres == {name}


@behave.when("another VM becomes the owner")
def when_owner_changes(context):
    _set_owner(context, "second", 2)


@behave.then("{count:d} notices went to the owner")
def then_notices(context, count):
    assert context.entry_vm._notices.join(cells_store.SETTLE_S)
    sent = [message for _address, message in context.peers.sent]
    expected = cells.DrainWasRequested(cells_store.CELL, "north", 5, True)
    assert sent == [expected] * count, sent


class _ListedStore(cells_store.MemoryStore):
    """A store that can be listed and watched, and holds a cell."""

    def __init__(self):
        super().__init__()
        self.listed = gevent.event.Event()
        self.may_list = gevent.event.Event()
        self.may_list.set()

    def list(self, prefix):
        """See `ports.Store.list`."""
        self.listed.set()
        self.may_list.wait()
        items = [
            item
            for key, item in self.item_by_key.items()
            if key.startswith(prefix)
        ]
        return items, self.revision

    def watch(self, prefix, after_revision, wait_ms):
        """See `ports.Store.watch`; reports puts only."""
        del wait_ms
        gevent.sleep(0.02)
        changed = [
            _ports.StoreChange(key, item.revision, item)
            for key, item in self.item_by_key.items()
            if key.startswith(prefix) and item.revision > after_revision
        ]
        return changed, self.revision

    def put(self, key, value):
        """Sets a key."""
        self.commit(expected={}, writes=[_ports.StoreWrite(key, value)])


class _StartedEndpoints:
    """Endpoints that answer polls and record starts."""

    def __init__(self):
        self.started_ids = []

    def start(self, action, epoch):
        """See `ports.Endpoints.start`."""
        del epoch
        self.started_ids.append(action.endpoint_id)
        return cells.StartResult(cells.StartOutcome.STARTED)

    def stop(self, action, epoch):
        """See `ports.Endpoints.stop`."""
        del action, epoch
        return True

    def poll(self, action, epoch, sent_ms):
        """See `ports.Endpoints.poll`."""
        del epoch
        gevent.sleep(0.05)
        return cells.EndpointPolled(
            action.endpoint_id, sent_ms, sent_ms, 0, (), ()
        )


class _Clock:
    """Real time in milliseconds."""

    @staticmethod
    def now_ms():
        """Returns the time."""
        return round(gevent.get_hub().loop.now() * 1000)


def _decode_endpoint(key, value):
    name = value.decode()
    return cells.EndpointRegistered(
        key.removeprefix(ENDPOINTS_PREFIX),
        cells_work.SERVICE,
        name,
        name,
        cells.Resources(16_000, 1_000_000),
    )


def _make_session(context):
    return _owner.OwnerSession(
        tenure=_ownership.Tenure(cells_store.CELL, 1, {}, 5),
        store=context.store,
        decoders=types.SimpleNamespace(
            endpoints_prefix=ENDPOINTS_PREFIX, endpoint=_decode_endpoint
        ),
        endpoints=context.endpoints,
        policy_router=types.SimpleNamespace(query_slots=1),
        lease=types.SimpleNamespace(
            lease_id=5, is_valid=True, valid_until_ms=10**15
        ),
        configuration=lambda: None,
        drained_data_centres=lambda: frozenset(context.drained),
        placement=_owner.PlacementSettings(),
        record_limits=cells.RecordLimits(),
        session_end=context.session_end,
        epoch_history=cells.EpochHistory(),
        now_ms=_Clock.now_ms,
        unix_ms=_Clock.now_ms,
        log=cells_store.FakeLog(),
    )


@behave.given('a store with an endpoint in "{first}" and one in "{second}"')
def given_store(context, first, second):
    context.store = _ListedStore()
    context.endpoints = _StartedEndpoints()
    context.drained = set()
    context.session_end = gevent.event.Event()
    for name in (first, second):
        context.store.put(f"{ENDPOINTS_PREFIX}e-{name}", name.encode())


@behave.when('"{name}" is drained {when} the owner has read the cell')
def when_drained(context, name, when):
    session = _make_session(context)

    def drain():
        context.drained.add(name)
        session.drains_changed()

    if when == "before":
        drain()
    if when == "while":
        context.store.may_list.clear()
    context.serving = gevent.spawn(session.serve)
    context.add_cleanup(context.serving.kill)
    context.add_cleanup(context.session_end.set)
    assert context.store.listed.wait(cells_store.SETTLE_S)
    if when == "while":
        drain()
        context.store.may_list.set()
    with gevent.Timeout(cells_store.SETTLE_S):
        while not session.is_serving:
            gevent.sleep(0.005)
    if when == "after":
        drain()


@behave.when("{count:d} jobs of {tasks:d} tasks are in the store")
def when_stored(context, count, tasks):
    for number in range(count):
        job = cells_work.make_job(f"j{number}", cells_work.make_step(tasks))
        key = _keys.job(cells_store.CELL, job.job_id)
        context.store.put(key, cells.encode(job))


@behave.then('the owner starts {count:d} tasks, all in "{name}"')
def then_starts(context, count, name):
    started = context.endpoints.started_ids
    with gevent.Timeout(START_TIMEOUT_S):
        while len(started) < count:
            gevent.sleep(0.01)
    assert set(started[:count]) == {f"e-{name}"}, started


@behave.given('the metrics of {vm} while data centre "{name}" is drained')
def given_metrics(context, vm, name):
    cell = None
    if vm == "the owner":
        cell = cells.Cell(epoch=1, lease_ms=1_000, inherited_lease_ms=1_000)
        cell.handle(cells.DataCentresDrained(frozenset({name})), 0)
    state = _vm_state.describe(
        cell=cell,
        lease_until_ms=1,
        configuration=None,
        configuration_sync_ms=0,
        now_ms=0,
        drained_data_centres=frozenset({name}),
    )
    context.metrics = metrics.VmMetrics()
    context.metrics.watch_vm(types.SimpleNamespace(describe=lambda: state))


@behave.then("{count:d} lines tell of runs left there")
def then_runs_left(context, count):
    wanted = 'samphiregate_runs_in_drained{data_centre="north"} 0.0'
    told = context.metrics.text().decode().splitlines().count(wanted)
    assert told == count, told
