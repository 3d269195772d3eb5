"""The queue and runners of one service at one owner."""

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.requests import _messages
from samphiregate.core import routing

LATENCY_DECAY = 0.2
SLOT_SIZE = model.Resources(cpu_millis=1_000)


@attrs.define
class Attempt:
    """An attempt that is queued at the owner or with a runner.

    Parameters
    ----------
    sender : str
        Entry VM that the outcome is told to.
    tried : frozenset of str
        Runners that refused it.
    """

    sender: str
    message: _messages.DispatchRequest
    deadline_ms: int
    tried: frozenset[str] = frozenset()
    runner_id: str = ""
    sent_ms: int = 0

    @property
    def key(self):
        """Identity of the attempt on every entry VM."""
        return self.message.request_id, self.message.attempt


@attrs.define
class ServicePool:
    """One service: its queue, its routing policy and its runners.

    Parameters
    ----------
    queue : base.Policy
        Policy of `core.queueing`.
    router : base.Policy
        Policy of `core.routing`, over the runners' ids.
    queued : dict
        Attempts that wait, by key.
    """

    service: str
    queue: base.Policy
    router: base.Policy
    judge: base.Policy
    runners_by_id: dict = attrs.field(factory=dict)
    queued: dict = attrs.field(factory=dict)
    latency_ms: float = 0.0

    def slots(self):
        """Returns the slots of the runners that may be used."""
        return sum(
            runner.info.slots
            for runner in self.runners_by_id.values()
            if runner.usable()
        )

    def used(self):
        """Returns the slots in use, or possibly in use."""
        return sum(runner.used() for runner in self.runners_by_id.values())

    def load(self):
        """Returns the `ServiceLoad` for the edges."""
        return _messages.ServiceLoad(
            service=self.service,
            slots=self.slots(),
            running=self.used(),
            queued=len(self.queued),
            latency_ms=round(self.latency_ms, 1),
        )

    def offer(self, runner, now_ms):
        """Tells the routing policy how many slots a runner offers."""
        runner_id = runner.info.runner_id
        free = self.judge.choose(
            routing.SlotsToOffer(
                endpoint_id=runner_id,
                free=runner.free(now_ms),
                running=runner.used(),
            ),
            now_ms,
        )
        slots = max(runner.info.slots, 1)
        event = routing.EndpointChanged(
            endpoint_id=runner_id,
            free=free,
            load=(runner.used() + runner.foreign) / slots,
            latency_ms=self.latency_ms,
        )
        self.router.observe(event, now_ms)

    def ended(self, runner_id, succeeded, elapsed_ms, now_ms):
        """Takes in the end of an attempt at a runner."""
        event = routing.AttemptEnded(runner_id, succeeded, elapsed_ms)
        self.judge.observe(event, now_ms)
        if succeeded:
            step_ms = LATENCY_DECAY * (elapsed_ms - self.latency_ms)
            self.latency_ms += step_ms if self.latency_ms else elapsed_ms

    def remove(self, runner_id, now_ms):
        """Forgets a runner."""
        self.runners_by_id.pop(runner_id, None)
        event = routing.EndpointRemoved(runner_id)
        self.router.observe(event, now_ms)
        self.judge.observe(event, now_ms)
