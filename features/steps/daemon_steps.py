"""Steps about the daemon's settings, loop, metrics and logs."""

import logging
import os

import attrs
import behave
import cappa
import orjson

from samphiregate.core import base
from samphiregate.core import vm
from samphiregate import daemon
from samphiregate.daemon import _loop
from samphiregate.daemon import _machines
from samphiregate import errors
from samphiregate.logs import _setup
from samphiregate import metrics

VARIABLE = "SAMPHIREGATE_TICK_MS"
REQUIRED = {
    "--data-centre": "north",
    "--platform": "127.0.0.1:1",
    "--secret": "0123456789abcdef",
}


@attrs.frozen
class Numbered(base.Event):
    """An event of these tests."""

    number: int


@attrs.frozen
class Echo(base.Action):
    """An action of these tests."""

    number: int


@attrs.frozen
class Note(base.PeerMessage):
    """A message of these tests."""

    text: str


class Echoing(base.StateMachine):
    """Answers each numbered event with an action, and records it."""

    def __init__(self):
        self.seen = []

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        self.seen.append(("in", event.number))
        self.seen.append(("out", event.number))
        return [Echo(event.number)]


class Chatty(base.StateMachine):
    """Sends to itself, to a peer, and a notice at each tick."""

    def __init__(self):
        self.seen = []

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        self.seen.append(event)
        if not isinstance(event, base.Tick):
            return []
        return [
            base.SendToPeer("self", Note("to myself")),
            base.SendToPeer("peer", Note("to a peer")),
            base.Notify(Numbered(1)),
        ]


def _read(flags):
    return cappa.parse(daemon.Settings, argv=flags)


@behave.when("the daemon's settings are checked with {flag} set to {value}")
def when_checked(context, flag, value):
    values_by_flag = {**REQUIRED, flag: value}
    flags = [f"{name}={text}" for name, text in values_by_flag.items()]
    try:
        _read(flags).check()
    except errors.SettingError as error:
        context.error = error
    else:
        context.error = None


@behave.then("the settings error names {flag}")
def then_names(context, flag):
    assert context.error is not None, "the setting was taken"
    assert context.error.setting == flag, context.error


@behave.when(
    "the machines are built for leases of {lease:d} and deadlines of "
    "{deadline:d} ms"
)
def when_built(context, lease, deadline):
    flags = {
        **REQUIRED,
        "--lease-ms": lease,
        "--renew-ms": lease // 3,
        "--longest-deadline-ms": deadline,
    }
    settings = _read([f"{name}={text}" for name, text in flags.items()])
    settings.check()
    context.built = _machines.build(settings)


@behave.then("tokens of a lost entry VM come back after {lapse:d} ms")
def then_lapse(context, lapse):
    assert context.built.limits.lapse_ms == lapse, context.built.limits


@behave.given('the variable SAMPHIREGATE_TICK_MS is "{value}"')
def given_variable(context, value):
    os.environ[VARIABLE] = value
    context.add_cleanup(os.environ.pop, VARIABLE)


@behave.given('the variable SAMPHIREGATE_TICK_MS is ""')
def given_no_variable(context):
    os.environ.pop(VARIABLE, None)


@behave.when('the daemon\'s settings are read with flags "{flags}"')
def when_read(context, flags):
    required = [f"{name}={text}" for name, text in REQUIRED.items()]
    context.settings = _read([*required, *flags.split()])


@behave.when('the daemon\'s settings are read with flags ""')
def when_read_without(context):
    when_read(context, "")


@behave.then("the tick is {tick:d} ms")
def then_tick(context, tick):
    assert context.settings.tick_ms == tick, context.settings


@behave.given("a loop whose machine answers each event with an action")
def given_loop(context):
    context.machine = Echoing()
    context.loop = _loop.EventLoop(machine=context.machine, now_ms=int)


@behave.when("an event is delivered whose action delivers two more")
def when_delivered(context):
    def perform(action):
        if action.number == 0:
            context.loop.deliver(Numbered(1))
            context.loop.deliver(Numbered(2))

    context.loop.perform_with(perform, Echo)
    context.loop.deliver(Numbered(0))


@behave.then("the machine saw three events, one after the other")
def then_one_by_one(context):
    expected = [(end, n) for n in range(3) for end in ("in", "out")]
    assert context.machine.seen == expected, context.machine.seen


@behave.given(
    "an entry VM whose machine sends to itself, to a peer, and a notice"
)
def given_chatty(context):
    context.machine = Chatty()
    context.vm = vm.EntryVm(vm_id="self", machines=[context.machine])


@behave.when("it handles a tick")
def when_tick(context):
    context.actions = context.vm.handle(base.Tick(), 0)


@behave.then("only the message to the peer comes out")
def then_only_peer(context):
    expected = [base.SendToPeer("peer", Note("to a peer"))]
    assert context.actions == expected, context.actions


@behave.then("the machine saw its own message and the notice")
def then_saw_own(context):
    own = base.PeerDelivered("self", Note("to myself"))
    assert context.machine.seen[1:] == [Numbered(1), own]


class Recording(base.StateMachine):
    """Records the names of the events that it gets."""

    def __init__(self):
        self.seen = []

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        self.seen.append("Tick" if event == base.Tick() else "Event")
        return []


@behave.given("an entry VM in which an event concerns only the second machine")
def given_restricted(context):
    context.machines = Recording(), Recording()
    context.vm = vm.EntryVm(
        vm_id="self",
        machines=context.machines,
        handlers_by_class={Numbered: (context.machines[1],)},
    )
    context.vm.handle(Numbered(0), 0)
    context.machines[1].seen.clear()


@behave.when("the event comes {gap:d} ms after the last one")
def when_after_gap(context, gap):
    context.vm.handle(Numbered(1), gap)


@behave.then("the first machine saw {first} and the second {second}")
def then_both_saw(context, first, second):
    seen = [" ".join(one.seen) or "-" for one in context.machines]
    assert seen == [first, second], seen


@behave.given("metrics into which waits of {teams:d} teams were recorded")
def given_metrics(context, teams):
    context.metrics = metrics.Metrics()
    for number in range(teams):
        context.metrics.observe_wait(f"team-{number:05d}", "batch", 10)


@behave.then("{held:d} histograms are held, the last one with count 1")
def then_held(context, held):
    shown = context.metrics.histograms()
    assert len(shown) == held, len(shown)
    assert shown[-1].count == 1, shown[-1]


@behave.when('"{line}" is logged as JSON')
def when_logged(context, line):
    record = logging.makeLogRecord({"msg": line, "levelname": "INFO"})
    formatted = _setup._JsonFormatter("vm").format(record)
    context.document = orjson.loads(formatted)


@behave.then('the JSON line has part "{part}" and message "{message}"')
def then_json(context, part, message):
    assert context.document["part"] == part, context.document
    assert context.document["message"] == message, context.document


@behave.then('the JSON line has part "" and message "{message}"')
def then_json_without_part(context, message):
    then_json(context, "", message)
