"""Runners that this VM owns, by service."""

from samphiregate.core import model
from samphiregate.core import queueing
from samphiregate.core.requests import _pool
from samphiregate.core.requests import _runners
from samphiregate.core import routing


class RunnerTable:
    """Pools of the runners whose shards this VM owns.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry VM.
    shard_count : int
        Number of shards of each data centre.
    make_queue, make_router : callable
        Return a new policy for a service.
    """

    def __init__(self, *, data_centre, shard_count, make_queue, make_router):
        self.data_centre = data_centre
        self.shard_count = shard_count
        self.pools_by_service = {}
        self._make_queue = make_queue
        self._make_router = make_router
        self._owned_shards = set()
        self._listed_by_id = {}
        self._weight_by_team = {}

    def pools(self):
        """Returns all pools."""
        return list(self.pools_by_service.values())

    def update_runners(self, runners_by_id):
        """Replaces the list of runners, keeping those of this data centre."""
        self._listed_by_id = {
            runner_id: info
            for runner_id, info in runners_by_id.items()
            if info.data_centre == self.data_centre
        }

    def add_shard(self, shard):
        """Adds a shard that this VM now owns."""
        self._owned_shards.add(shard)

    def remove_shard(self, shard):
        """Removes a shard that this VM no longer owns."""
        self._owned_shards.discard(shard)

    def update_weights(self, configuration, now_ms):
        """Updates the teams' shares in the queue policies."""
        plans = configuration.plans_by_name
        self._weight_by_team = {
            team.name: plans[team.plan].share
            for team in configuration.teams_by_name.values()
            if team.plan in plans
        }
        changed = queueing.WeightsChanged(self._weight_by_team)
        for pool in self.pools():
            pool.queue.observe(changed, now_ms)

    def refresh(self, now_ms):
        """Updates the pools from the list and the owned shards."""
        for info in self._listed_by_id.values():
            self._add_or_update(info, now_ms)
        for pool in self.pools():
            for runner in list(pool.runners_by_id.values()):
                self._refresh_runner(pool, runner, now_ms)
            pool.update_capacity(now_ms)

    def find(self, runner_id):
        """Returns the pool and the runner, or (None, None)."""
        for pool in self.pools():
            runner = pool.runners_by_id.get(runner_id)
            if runner is not None:
                return pool, runner
        return None, None

    def find_for_attempt(self, attempt):
        """Returns the pool and the runner of an attempt in flight."""
        pool = self.pools_by_service[attempt.message.service]
        return pool, pool.runners_by_id[attempt.runner_id]

    def _add_or_update(self, info, now_ms):
        shard = model.shard_of(
            info.runner_id, info.data_centre, self.shard_count
        )
        if shard not in self._owned_shards:
            return
        pool = self._pool_of(info.service, now_ms)
        runner = pool.runners_by_id.get(info.runner_id)
        if runner is None:
            runner = _runners.Runner(info, shard)
            pool.runners_by_id[info.runner_id] = runner
        runner.info = info

    def _refresh_runner(self, pool, runner, now_ms):
        runner_id = runner.info.runner_id
        listed = runner_id in self._listed_by_id
        owned = listed and runner.shard in self._owned_shards
        if owned and not runner.owned:
            runner.schedule_probe(now_ms)
        runner.owned = owned
        if not runner.owned and not runner.used():
            pool.remove(runner_id, now_ms)
        else:
            pool.update_router(runner, now_ms)

    def _pool_of(self, service, now_ms):
        pool = self.pools_by_service.get(service)
        if pool is None:
            pool = _pool.ServicePool(
                service=service,
                queue=self._make_queue(),
                router=self._make_router(),
                outlier_detector=routing.OutlierDetector(),
            )
            changed = queueing.WeightsChanged(self._weight_by_team)
            pool.queue.observe(changed, now_ms)
            self.pools_by_service[service] = pool
        return pool
