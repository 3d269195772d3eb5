"""Steps about how entry VMs acquire and give up a cell."""

import math
import random
import types

import behave
import gevent
import gevent.event

from features.support import cells_store
from samphiregate.adapters.cells import _giving_way
from samphiregate.adapters.cells import _keys
from samphiregate.adapters.cells import _lease
from samphiregate.adapters.cells import _owner_record
from samphiregate.adapters.cells import _ownership
from samphiregate.adapters.cells import _ports
from samphiregate.adapters.cells import _precedence
from samphiregate.core import cells


def _change_of_owner(revision, item):
    key = _keys.owner(cells_store.CELL)
    return _ports.StoreChange(key, revision, item)


def _make_ownership(context, serve, yield_ms=lambda: 0):
    store = context.store
    context.lease = cells_store.FakeLease()
    context.ownership_now_ms = 0
    context.ownership_log = cells_store.FakeLog()
    return _ownership.Ownership(
        cell=cells_store.CELL,
        vm_id="vm",
        address="a:1",
        store=store,
        lease=context.lease,
        owner_item=lambda: store.get(_keys.owner(cells_store.CELL)),
        may_own=lambda: not getattr(context, "has_acquired", False),
        serve=serve,
        yield_ms=yield_ms,
        instance="instance",
        random_state=random.Random(1),
        now_ms=lambda: context.ownership_now_ms,
        log=context.ownership_log,
    )


@behave.given("a VM that acquires the cell only once")
def given_owner_once(context):
    context.serving = gevent.event.Event()

    def serve(tenure, session_end):
        del tenure
        context.has_acquired = True
        context.serving.set()
        session_end.wait()

    context.ownership = _make_ownership(context, serve)


def _capacities(others):
    """Returns the capacities of VMs as their records tell them."""
    values = [] if others == "no" else others.split(", ")
    records = [
        cells.encode(
            _lease.VmRecord("vm", "a:1")
            if value == "unknown"
            else _lease.VmRecord("vm", "a:1", float(value))
        )
        for value in values
    ]
    return [
        cells.decode(record, _lease.VmRecord).capacity for record in records
    ]


@behave.given("a VM of {own:g} cores, and others of {others} cores")
def given_capacities(context, own, others):
    context.yield_ms = _precedence.yield_ms(
        capacity=own, other_capacities=_capacities(others)
    )


@behave.given(
    "a VM of {own:g} cores that has owned the cell for {span_ms:d} ms, and "
    "others of {others} cores"
)
def given_owner_of_capacity(context, own, span_ms, others):
    context.now_ms = span_ms
    context.ended_count = 0

    def end_session():
        context.ended_count += 1

    context.giving_way = _giving_way.GivingWay(
        ownership=types.SimpleNamespace(
            serving_since_ms=0,
            session_end=types.SimpleNamespace(set=end_session),
        ),
        is_weak=lambda: _precedence.is_weak(
            capacity=own, other_capacities=_capacities(others)
        ),
        now_ms=lambda: context.now_ms,
        log=cells_store.FakeLog(),
    )


@behave.when(
    "it checks {count:d} times, {gap_ms:d} ms apart, whether to give the cell "
    "up"
)
def when_checked(context, count, gap_ms):
    for _number in range(count):
        context.giving_way.check()
        context.now_ms += gap_ms


@behave.then("it has given the cell up {count:d} times")
def then_given_up(context, count):
    assert context.ended_count == count, context.ended_count


@behave.then("it yields for {yield_ms:g} ms")
def then_yields(context, yield_ms):
    assert math.isclose(context.yield_ms, yield_ms), context.yield_ms


@behave.when("another VM acquires the cell while this one yields")
def when_other_acquires(context):
    record = _owner_record.OwnerRecord("other", "b:1", 7)
    write = _ports.StoreWrite(
        _keys.owner(cells_store.CELL), cells.encode(record)
    )

    def yield_ms():
        context.store.commit(expected={}, writes=[write])
        return 0

    ownership = _make_ownership(context, serve=None, yield_ms=yield_ms)
    context.tenure = ownership._acquire()


@behave.then("this VM leaves it to the other")
def then_left_to_other(context):
    assert context.tenure is None, context.tenure
    item = context.store.get(_keys.owner(cells_store.CELL))
    assert _owner_record.decode_owner(item.value).vm_id == "other", item


@behave.when(
    "another VM gives up the cell and this one acquires it {later_ms:d} ms "
    "later"
)
def when_acquires_later(context, later_ms):
    serving = gevent.event.Event()

    def serve(_tenure, session_end):
        serving.set()
        session_end.wait()

    ownership = _make_ownership(context, serve)
    ownership.owner_changed(_change_of_owner(revision=2, item=None))
    context.ownership_now_ms += later_ms
    with ownership:
        assert serving.wait(cells_store.SETTLE_S)


@behave.then("the log tells {span_ms:d} ms without an owner")
def then_without_owner(context, span_ms):
    fields = next(
        fields
        for event, fields in context.ownership_log.lines
        if event == "cell taken"
    )
    assert fields["waited_ms"] == span_ms, fields


@behave.when("the record {record} of a VM is read")
def when_record_read(context, record):
    context.vm_record = cells.decode(record.encode(), _lease.VmRecord)


@behave.then("its capacity is {cores:g} cores")
def then_record_capacity(context, cores):
    assert context.vm_record.capacity == cores, context.vm_record


@behave.when("its session ends while the lease is valid")
def when_session_ends(context):
    with context.ownership:
        assert context.serving.wait(cells_store.SETTLE_S)
        assert context.store.get(_keys.owner(cells_store.CELL)) is not None
        context.ownership.session_end.set()
        with gevent.Timeout(cells_store.SETTLE_S):
            while context.store.get(_keys.owner(cells_store.CELL)) is not None:
                gevent.sleep(0.01)


@behave.then("the cell has no owner")
def then_no_owner(context):
    assert context.store.get(_keys.owner(cells_store.CELL)) is None


@behave.given("a VM that acquires the cell")
def given_acquirer(context):
    context.epochs = []
    serving = gevent.event.Event()

    def serve(tenure, session_end):
        context.epochs.append(tenure.epoch)
        serving.set()
        session_end.wait()

    with _make_ownership(context, serve):
        assert serving.wait(cells_store.SETTLE_S)


@behave.when("a VM acquires the cell and is stopped before the store's answer")
def when_stopped_early(context):
    context.epochs = []
    stopping = []

    def serve(tenure, session_end):
        context.epochs.append(tenure.epoch)
        session_end.wait()

    def commit(**arguments):
        revision = store_commit(**arguments)
        if not stopping:
            stopping.append(gevent.spawn(ownership.__exit__))
            gevent.sleep(0)
        return revision

    store_commit = context.store.commit
    context.store.commit = commit
    ownership = _make_ownership(context, serve)
    ownership.__enter__()
    with gevent.Timeout(cells_store.SETTLE_S):
        while not stopping or not stopping[0].ready():
            gevent.sleep(0.01)


@behave.then("it served no epoch")
def then_no_epoch(context):
    assert not context.epochs, context.epochs


@behave.then("the VM serves the cell with epoch {epoch:d}")
def then_serves(context, epoch):
    assert context.epochs == [epoch], context.epochs


def _acquire(context):
    ownership = _make_ownership(context, serve=None)
    context.tenure = ownership._acquire()
    return ownership


@behave.when("a VM acquires the cell after it")
def when_acquires_after(context):
    context.ownership = _acquire(context)


@behave.when("the VM gives the cell up and acquires it again")
def when_acquires_again(context):
    context.ownership._relinquish(context.tenure)
    _acquire(context)


@behave.then("its epoch {whether} a revoked one")
def then_after_revoked(context, whether):
    follows = whether == "follows"
    assert context.tenure.after_revoked == follows, context.tenure


@behave.given("a VM that serves the cell")
def given_serving(context):
    context.serving = gevent.event.Event()

    def serve(tenure, session_end):
        context.tenure = tenure
        context.serving.set()
        session_end.wait()
        context.has_acquired = True

    context.ownership = _make_ownership(context, serve)
    context.ownership.__enter__()
    context.add_cleanup(context.ownership.__exit__)
    assert context.serving.wait(cells_store.SETTLE_S)


@behave.when("the store shows {which} change of the owner's record")
def when_owner_record_changes(context, which):
    (own_revision,) = context.tenure.guard.values()
    revision = own_revision + (1 if which == "a later" else -1)
    context.ownership.owner_changed(_change_of_owner(revision, item=None))


@behave.then("the session goes on")
def then_session_goes_on(context):
    assert not context.ownership.session_end.is_set()


@behave.then("the session ends")
def then_session_ends(context):
    assert context.ownership.session_end.is_set()
