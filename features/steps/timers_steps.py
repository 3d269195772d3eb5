"""Steps about the timer service."""

import behave

from samphiregate import timers


@behave.given("a timer service at {start:d} ms")
def given_timer_service(context, start):
    context.now_ms = start
    context.timers = timers.TimerService(clock_ms=lambda: context.now_ms)
    context.calls = []


@behave.when("a callback subscribes {kind} {period:d} ms")
def when_subscribes(context, kind, period):
    subscribe = getattr(context.timers, kind)
    context.subscription = subscribe(period, context.calls.append)


@behave.when("it cancels its subscription")
def when_cancels(context):
    context.subscription.cancel()


@behave.when("the time becomes {end:d} ms in steps of {step:d} ms")
def when_time_becomes(context, end, step):
    while context.now_ms < end:
        context.now_ms = min(context.now_ms + step, end)
        context.timers.run_due(context.now_ms)


@behave.then("it was called {calls:d} times")
def then_called(context, calls):
    assert len(context.calls) == calls, context.calls
