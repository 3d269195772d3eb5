"""The queue and runners of one service at one owner."""

import attrs

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core import queueing
from samphiregate.core.requests import _load
from samphiregate.core.requests import _messages
from samphiregate.core import routing

LATENCY_SMOOTHING_FACTOR = 0.05
# The queue policies count resources; a slot counts as one core.
SLOT_SIZE = model.Resources(cpu_millis=1_000)


def attempt_key(request_id, attempt):
    """Returns the identity of an attempt as one string."""
    return f"{request_id}#{attempt}"


@attrs.define
class Attempt:
    """An attempt that is queued at the owner or with a runner.

    Parameters
    ----------
    sender : str
        Entry VM that receives the outcome.
    avoided : frozenset of str
        Runners that were unreachable for this attempt.
    tries : int
        Number of times that it was sent without being executed.
    key : str
        Identity of the attempt on every entry VM.
    """

    sender: str
    message: _messages.DispatchRequest
    deadline_ms: int
    avoided: frozenset[str] = frozenset()
    tries: int = 0
    runner_id: str = ""
    sent_ms: int = 0

    key: str = attrs.field(init=False)

    @key.default
    def _(self):
        return attempt_key(self.message.request_id, self.message.attempt)

    def item(self, now_ms):
        """Returns the attempt as an item for the queue policy."""
        return queueing.QueuedItem(
            item_id=self.key,
            team=self.message.team,
            work_class=model.WorkClass.REQUEST,
            resources=SLOT_SIZE,
            enqueued_ms=now_ms,
            deadline_ms=self.deadline_ms,
        )


@attrs.define
class ServicePool:
    """One service: its queue, its routing policy and its runners.

    Parameters
    ----------
    queue : base.Policy
        Policy from `core.queueing`.
    router : base.Policy
        Policy from `core.routing`, over the runners' ids.
    queued : dict
        Queued attempts, by key.
    usable_slots : int
        Total slots of the usable runners.
    used_slots : int
        Slots in use, or possibly in use by attempts of unknown outcome.
    """

    service: str
    queue: base.Policy
    router: base.Policy
    outlier_detector: base.Policy
    runners_by_id: dict = attrs.field(factory=dict)
    queued: dict = attrs.field(factory=dict)
    latency_ms: float = 0.0
    usable_slots: int = 0
    used_slots: int = 0

    def slots(self):
        """Returns the total slots of the usable runners."""
        return self.usable_slots

    def offered_slots(self):
        """Returns the usable slots, counting one for each avoided runner."""
        avoided = self.outlier_detector.describe()["avoided"]
        if not avoided:
            return self.usable_slots
        return sum(
            1 if runner.info.runner_id in avoided else runner.info.slots
            for runner in self.runners_by_id.values()
            if runner.usable()
        )

    def load(self):
        """Returns the `ServiceLoad` for the edges."""
        return _load.ServiceLoad(
            service=self.service,
            slots=self.offered_slots(),
            running=self.used_slots,
            queued=len(self.queued),
            latency_ms=round(self.latency_ms, 1),
        )

    def has_no_runner_except(self, runner_ids):
        """Returns whether no runner but those given is usable."""
        return not any(
            runner.usable() and runner_id not in runner_ids
            for runner_id, runner in self.runners_by_id.items()
        )

    def pick(self, excluded, now_ms):
        """Returns the runner for an attempt, or None."""
        question = routing.PickEndpoint(excluded)
        return self.runners_by_id.get(self.router.choose(question, now_ms))

    def update_router(self, runner, now_ms):
        """Updates the routing policy with a runner's free slots and load."""
        runner_id = runner.info.runner_id
        free = self.outlier_detector.choose(
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
            load=(runner.used() + runner.foreign_slots) / slots,
            latency_ms=runner.latency_ms or self.latency_ms,
        )
        self.router.observe(event, now_ms)

    def record_attempt(
        self, runner, succeeded, elapsed_ms, now_ms, reached=True
    ):
        """Records the end of an attempt at a runner."""
        event = routing.AttemptEnded(
            runner.info.runner_id, succeeded, elapsed_ms, reached
        )
        self.outlier_detector.observe(event, now_ms)
        if succeeded:
            runner.latency_ms = _moving_average(runner.latency_ms, elapsed_ms)
            self.latency_ms = _moving_average(self.latency_ms, elapsed_ms)

    def occupy_slot(self, team, now_ms):
        """Counts a slot as used and notifies the queue policy."""
        self.used_slots += 1
        event = queueing.ItemStarted(team, SLOT_SIZE, model.WorkClass.REQUEST)
        self.queue.observe(event, now_ms)

    def release_slot(self, team, now_ms):
        """Counts a slot as free and notifies the queue policy."""
        self.used_slots -= 1
        event = queueing.ItemEnded(team, SLOT_SIZE, model.WorkClass.REQUEST)
        self.queue.observe(event, now_ms)

    def update_capacity(self, now_ms):
        """Recounts the slots and notifies the queue policy."""
        self.usable_slots = sum(
            runner.info.slots
            for runner in self.runners_by_id.values()
            if runner.usable()
        )
        total = model.Resources(cpu_millis=self.slots() * SLOT_SIZE.cpu_millis)
        self.queue.observe(queueing.CapacityChanged(total), now_ms)

    def enqueue(self, attempt, now_ms, at_front=False):
        """Adds an attempt to the queue."""
        self.queued[attempt.key] = attempt
        event = queueing.ItemQueued(attempt.item(now_ms), at_front)
        self.queue.observe(event, now_ms)

    def dequeue(self, key, now_ms):
        """Removes an attempt from the queue and returns it, or None."""
        attempt = self.queued.pop(key, None)
        if attempt is not None:
            self.queue.observe(queueing.ItemRemoved(key), now_ms)
        return attempt

    def queue_limit(self, wait_ms, min_count, max_count):
        """Returns the maximum number of queued requests.

        Parameters
        ----------
        wait_ms : int
            Target for the longest wait in the queue at the recent latency.
        min_count, max_count : int
            Bounds of the result; `max_count` while the latency is unknown.
        """
        if not self.latency_ms:
            return max_count
        served = self.slots() * wait_ms / self.latency_ms
        return int(min(max(served, min_count), max_count))

    def remove(self, runner_id, now_ms):
        """Removes a runner from the pool and its policies."""
        self.runners_by_id.pop(runner_id, None)
        event = routing.EndpointRemoved(runner_id)
        self.router.observe(event, now_ms)
        self.outlier_detector.observe(event, now_ms)


def _moving_average(mean, value):
    return (
        mean + LATENCY_SMOOTHING_FACTOR * (value - mean)
        if mean
        else float(value)
    )
