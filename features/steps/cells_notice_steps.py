"""Steps about notices to a cell's owner of jobs and cancellations."""

import behave
import gevent

from features.support import cells_peers
from features.support import cells_store
from features.support import cells_work
from samphiregate.adapters.cells import _owner_notices
from samphiregate.core import cells


def _make_notices(context, peers, address, deliver):
    context.log = cells_store.FakeLog()
    return _owner_notices.OwnerNotices(
        cell=cells_store.CELL,
        peers=peers,
        owner_address=lambda: address,
        deliver=deliver,
        log=context.log,
    )


def _make_sender(context, address):
    peers = cells_peers.make_calls(context)
    return _make_notices(context, peers, address, lambda _event: False)


def _make_job(job_id):
    return cells_work.make_job(job_id, cells_work.make_step(2))


@behave.then("the owner is told of {count:d} jobs")
def then_told(context, count):
    assert len(context.notices.stored_ids) == count, context.notices.stored_ids


@behave.given("a VM that {state} the cell alone")
def given_serving(context, state):
    _start_owner(context, serves=state == "serves")


@behave.given("a VM that is still reading the cell")
def given_loading(context):
    _start_owner(context, serves=False)


def _start_owner(context, *, serves):
    context.taken = []

    def deliver(event):
        if serves:
            context.taken.append(event)
        return serves

    owner = _make_notices(context, None, None, deliver)

    def answer(message):
        if isinstance(message, cells.JobWasStored):
            return owner.answer_stored(message)
        return owner.answer_cancelled(message)

    context.address = cells_peers.serve(context, answer)


@behave.when("another VM tells it of a job and of a cancellation")
def when_told(context):
    sender = _make_sender(context, context.address)
    sender.tell_stored(_make_job("j"))
    sender.tell_cancelled("k")
    assert sender.join(cells_store.SETTLE_S)


@behave.then("it has taken {count:d} notices")
def then_taken(context, count):
    expected = [cells.JobStored(_make_job("j")), cells.JobCancelled("k")]
    taken = sorted(context.taken, key=lambda one: type(one).__name__)
    expected.sort(key=lambda one: type(one).__name__)
    assert taken == expected[:count], taken


@behave.given("an owner that takes no notices for {seconds:d} s")
def given_slow_owner(context, seconds):
    context.address = cells_peers.serve(
        context, lambda _message: gevent.sleep(seconds)
    )


@behave.when("{count:d} jobs are accepted one after the other")
def when_accepted(context, count):
    sender = _make_sender(context, context.address)
    switches = []
    idle = gevent.spawn(lambda: switches.append(True))
    for number in range(count):
        sender.tell_stored(_make_job(f"j{number}"))
    context.has_waited = bool(switches)
    idle.kill()


@behave.then("no caller has waited for the owner")
def then_not_waited(context):
    assert not context.has_waited


@behave.then("some notices were dropped and logged")
def then_dropped(context):
    dropped = [fields for _event, fields in context.log.lines]
    expected = 200 - _owner_notices.MAX_IN_FLIGHT
    assert len(dropped) == expected, len(dropped)
    assert all(one["reason"] == "busy" for one in dropped), dropped[:3]
