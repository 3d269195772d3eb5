"""The owner of runners: fair queues, slots, and attempts in flight."""

import random

from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import queueing
from samphiregate.core.requests import _dispatcher
from samphiregate.core.requests import _load
from samphiregate.core.requests import _messages
from samphiregate.core.requests import _pool
from samphiregate.core.requests import _recent
from samphiregate.core.requests import _replies
from samphiregate.core.requests import _runner_table
from samphiregate.core import routing
from samphiregate import errors
from samphiregate import parameters

MAX_RECENT_ATTEMPTS = 8_192


class RunnerOwner(base.StateMachine, parameters.Parameterised):
    """Runs attempts on the runners of the shards that this VM owns.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    data_centre : str
        Its data centre.
    tokens : TokenHolder
        Tokens that enforce the teams' limits; provides `acquire` and
        `release`.
    random_state : random.Random
        Source of randomness.
    queue, routing_policy : str
        Names of the policies that each service uses.
    shard_count : int
        Number of shards of each data centre.
    queue_wait_ms : int
        Target for the longest wait in a queue, from which its limit is
        computed; also the retry delay of requests that are shed.
    fewest_queued, most_queued : int
        Bounds of the limit of a service's queue, in requests.
    runner_tries : int
        Maximum number of times that an attempt is sent to runners that
        don't execute it; it is then refused.
    unknown_hold_ms : int
        Time after its deadline that an attempt of unknown outcome keeps
        its slot and token, unless the runner reports that it ended.
    """

    parameter_table = {
        "shard_count": parameters.Interval(int, 1, 65_536),
        "queue_wait_ms": parameters.Interval(int, 1, 600_000),
        "fewest_queued": parameters.Interval(int, 1, 100_000),
        "most_queued": parameters.Interval(int, 1, 1_000_000),
        "runner_tries": parameters.Interval(int, 1, 100),
        "unknown_hold_ms": parameters.Interval(int, 0, 86_400_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        tokens,
        random_state=None,
        queue="fair-share",
        routing_policy="power-of-two",
        shard_count=64,
        queue_wait_ms=5_000,
        fewest_queued=16,
        most_queued=4_000,
        runner_tries=3,
        unknown_hold_ms=600_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.random_state = random_state or random.Random(0)
        self.queue = queue
        self.routing_policy = routing_policy
        self.shard_count = shard_count
        self.queue_wait_ms = queue_wait_ms
        self.fewest_queued = fewest_queued
        self.most_queued = most_queued
        self.runner_tries = runner_tries
        self.unknown_hold_ms = unknown_hold_ms
        self.check_parameters()
        self.stopping_ = False
        self._recent = _recent.RecentAttempts(MAX_RECENT_ATTEMPTS)
        self._sequence = 0
        self._services_sent = ()
        self._runner_table = _runner_table.RunnerTable(
            data_centre=data_centre,
            shard_count=shard_count,
            make_queue=self._make_queue,
            make_router=self._make_router,
        )
        self._dispatcher = _dispatcher.Dispatcher(
            runner_table=self._runner_table,
            tokens=tokens,
            runner_tries=runner_tries,
            unknown_hold_ms=unknown_hold_ms,
        )

    @property
    def pools_by_service_(self):
        """Queue, runners and policies of each service."""
        return self._runner_table.pools_by_service

    @property
    def running_by_key_(self):
        """Attempts that were sent to a runner and have not ended."""
        return self._dispatcher.running_by_key

    @property
    def in_flight(self):
        """Number of attempts that are queued or running."""
        queued = sum(len(p.queued) for p in self._runner_table.pools())
        return queued + len(self.running_by_key_)

    def describe(self):
        """Returns the load of each service as plain values."""
        return {
            pool.service: {
                "slots": pool.slots(),
                "running": pool.used_slots,
                "queued": len(pool.queued),
                "latency_ms": round(pool.latency_ms, 1),
                "runners": len(pool.runners_by_id),
                **pool.outlier_detector.describe(),
            }
            for pool in self._runner_table.pools()
        }

    @base.singledispatchmethod
    def handle(self, event, now_ms):
        """Handles one event; see `StateMachine.handle`."""
        return []

    @handle.register
    def _(self, event: base.PeerDelivered, now_ms):
        return self._deliver(event.message, event.sender, now_ms)

    @base.singledispatchmethod
    def _deliver(self, message, sender, now_ms):
        return []

    @_deliver.register
    def _(self, message: _messages.DispatchRequest, sender, now_ms):
        attempt = _pool.Attempt(sender, message, now_ms + message.remaining_ms)
        if not self._recent.add(attempt.key):
            return []
        pool = self.pools_by_service_.get(message.service)
        code = self._refusal_code(pool, message)
        if code is not None:
            return [_replies.refuse(attempt, code)]
        self._dispatcher.enqueue(pool, attempt, now_ms)
        actions = self._dispatcher.dispatch(pool, now_ms)
        return actions + self._shed(pool, now_ms)

    @_deliver.register
    def _(self, message: _messages.WithdrawRequest, sender, now_ms):
        key = _pool.attempt_key(message.request_id, message.attempt)
        for pool in self._runner_table.pools():
            attempt = pool.dequeue(key, now_ms)
            if attempt is not None:
                return [_replies.refuse(attempt, message.code)]
        return []

    @handle.register
    def _(self, event: _messages.RunnerAnswered, now_ms):
        key = _pool.attempt_key(event.request_id, event.attempt)
        attempt = self.running_by_key_.get(key)
        if attempt is None:
            return []
        return self._dispatcher.on_answered(attempt, event, now_ms)

    @handle.register
    def _(self, event: _messages.RunnerFailed, now_ms):
        key = _pool.attempt_key(event.request_id, event.attempt)
        attempt = self.running_by_key_.get(key)
        if attempt is None:
            return []
        return self._dispatcher.on_failed(attempt, event, now_ms)

    @handle.register
    def _(self, event: _messages.RunnerProbed, now_ms):
        pool, runner = self._runner_table.find(event.runner_id)
        if runner is None:
            return []
        self._dispatcher.update_runner(pool, runner, event, now_ms)
        return self._dispatcher.dispatch(pool, now_ms)

    @handle.register
    def _(self, event: fleet.FleetListed, now_ms):
        self._runner_table.update_runners(event.runners_by_id)
        return self._refresh(now_ms)

    @handle.register
    def _(self, event: fleet.ShardGained, now_ms):
        self._runner_table.add_shard(event.shard)
        return self._refresh(now_ms)

    @handle.register
    def _(self, event: fleet.ShardLost, now_ms):
        self._runner_table.remove_shard(event.shard)
        return self._refresh(now_ms)

    @handle.register
    def _(self, event: fleet.ConfigurationChanged, now_ms):
        self._runner_table.update_weights(event.configuration, now_ms)
        return []

    @handle.register
    def _(self, event: base.PeerUnreachable, now_ms):
        return self._drop_queued_from(event.peer_id, now_ms)

    @handle.register
    def _(self, event: fleet.PeerStateChanged, now_ms):
        if event.state is not fleet.PeerState.DEAD:
            return []
        return self._drop_queued_from(event.vm_id, now_ms)

    @handle.register
    def _(self, event: base.StopRequested, now_ms):
        self.stopping_ = True
        self._dispatcher.stopping = True
        actions = []
        for pool in self._runner_table.pools():
            actions += self._dispatcher.refuse_queued(
                pool, errors.ErrorCode.LEAVING, now_ms
            )
        return actions + self._notify_load()

    @handle.register
    def _(self, event: base.Tick, now_ms):
        actions = self._dispatcher.expire(now_ms)
        for pool in self._runner_table.pools():
            self._dispatcher.release_expired(pool, now_ms)
            for runner in pool.runners_by_id.values():
                pool.update_router(runner, now_ms)
                actions += self._probe(runner, now_ms)
            actions += self._run_pool(pool, now_ms)
        return actions + self._notify_load()

    def _refusal_code(self, pool, message):
        """Returns the code why an attempt can't be queued, or None."""
        if self.stopping_:
            return errors.ErrorCode.LEAVING
        if pool is None or not pool.slots():
            return errors.ErrorCode.NO_RUNNER
        if message.remaining_ms <= 0:
            return errors.ErrorCode.DEADLINE_EXCEEDED
        return None

    def _run_pool(self, pool, now_ms):
        """Starts queued attempts; refuses all if no runner is usable."""
        if pool.slots():
            return self._dispatcher.dispatch(pool, now_ms)
        return self._dispatcher.refuse_queued(
            pool, errors.ErrorCode.NO_RUNNER, now_ms
        )

    def _shed(self, pool, now_ms):
        queue_limit = pool.queue_limit(
            self.queue_wait_ms, self.fewest_queued, self.most_queued
        )
        return self._dispatcher.shed(
            pool, queue_limit, self.queue_wait_ms, now_ms
        )

    def _refresh(self, now_ms):
        self._runner_table.refresh(now_ms)
        actions = []
        for pool in self._runner_table.pools():
            actions += self._run_pool(pool, now_ms)
        return actions + self._notify_load()

    def _probe(self, runner, now_ms):
        if runner.next_probe_ms is None or now_ms < runner.next_probe_ms:
            return []
        runner.schedule_next_probe(now_ms)
        info = runner.info
        return [_messages.ProbeRunner(info.runner_id, info.endpoint)]

    def _drop_queued_from(self, vm_id, now_ms):
        """Drops queued attempts of an edge that is lost or unreachable.

        The callers of a lost edge are disconnected. An edge that finds the
        link broken counts the outcome of its attempts here as unknown.
        """
        for pool in self._runner_table.pools():
            keys = [
                key
                for key, attempt in pool.queued.items()
                if attempt.sender == vm_id
            ]
            for key in keys:
                pool.dequeue(key, now_ms)
        return []

    def _make_queue(self):
        return queueing.make_queue(self.queue)

    def _make_router(self):
        if self.routing_policy == "power-of-two":
            return routing.PowerOfTwo(random_state=self.random_state)
        return routing.make_router(self.routing_policy)

    def _notify_load(self):
        """Notifies the edge of this VM if the load changed."""
        services = ()
        if not self.stopping_:
            services = tuple(
                pool.load()
                for pool in self._runner_table.pools()
                if pool.slots()
            )
        if services == self._services_sent:
            return []
        self._services_sent = services
        self._sequence += 1
        load = _load.VmLoad(
            vm_id=self.vm_id,
            data_centre=self.data_centre,
            sequence=self._sequence,
            services=services,
        )
        return [base.Notify(_load.LoadChanged(load))]
