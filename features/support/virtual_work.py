"""Workers and runners in virtual time, and a state machine that loads them.

Each shard has one worker and one runner. The tasks of a worker run under
leases, and its commands are fenced by epochs; a runner has no epochs.
"""

import functools
import itertools

import attrs

from samphiregate.core import base
from samphiregate.core import fleet

TASK_LEASE_MS = 4_000
TASK_RUN_RANGE_MS = (1_000, 5_000)
LONG_TASK_RUN_RANGE_MS = (20_000, 40_000)
LONG_TASK_SHARE = 0.2
REQUEST_RUN_RANGE_MS = (50, 2_000)
REQUEST_TIMEOUT_MS = 6_000
EXCHANGE_PERIOD_MS = 500


@attrs.frozen
class Exchange(base.Action):
    """One exchange with the worker of a shard."""

    shard: object
    owner: str
    epoch: int
    sequence: int
    starts: tuple = ()
    stops: tuple = ()


@attrs.frozen
class ExchangeAnswered(base.Event):
    """The answer of the worker of a shard."""

    shard: object
    epoch: int
    sequence: int
    accepted: bool
    running: tuple = ()


@attrs.frozen
class SendRequest(base.Action):
    """A request to the runner of a shard."""

    request_id: str
    team: str
    run_ms: int


@attrs.frozen
class RequestAnswered(base.Event):
    """The complete answer of a runner."""

    request_id: str


@attrs.define
class _Shard:
    epoch: int
    recovered: bool = False  # whether an exchange was accepted
    sequence: int = 0
    team_by_task: dict = attrs.field(factory=dict)


class LoadMachine(base.StateMachine):
    """Keeps as much work running as the demand and the tokens allow.

    Parameters
    ----------
    vm_id : str
        The VM that it runs on.
    tokens : TokenHolder
        Tokens of that VM.
    random_state : random.Random
        Source of randomness.

    Attributes
    ----------
    demand_by_team : dict
        Units that each team requests to have running from this VM.
    """

    def __init__(self, *, vm_id, tokens, random_state):
        self.vm_id = vm_id
        self.tokens = tokens
        self.random_state = random_state
        self.demand_by_team = {}
        self.leaving = False
        self._shards = {}
        self._requests = {}
        self._ids = itertools.count(1)
        self._next_ms = 0

    def handle(self, event, now_ms):
        """See `StateMachine.handle`."""
        actions = []
        self._on_event(event, now_ms, actions)
        return actions

    def running(self, team):
        """Returns the units of a team for which this VM holds tokens."""
        tasks = sum(
            task_team == team
            for shard in self._shards.values()
            for task_team in shard.team_by_task.values()
        )
        return tasks + sum(
            request_team == team for request_team, _ in self._requests.values()
        )

    @functools.singledispatchmethod
    def _on_event(self, event, now_ms, actions):
        """Ignores events that are not for this machine."""

    @_on_event.register
    def _(self, event: base.StopRequested, now_ms, actions):
        self.leaving = True

    @_on_event.register
    def _(self, event: fleet.ShardGained, now_ms, actions):
        self._shards[event.shard] = _Shard(epoch=event.epoch)

    @_on_event.register
    def _(self, event: fleet.ShardLost, now_ms, actions):
        shard = self._shards.pop(event.shard, None)
        if shard is not None:
            for team in shard.team_by_task.values():
                self.tokens.hand_over(team, now_ms)

    @_on_event.register
    def _(self, event: RequestAnswered, now_ms, actions):
        request = self._requests.pop(event.request_id, None)
        if request is not None:
            self.tokens.release(request[0], now_ms)

    @_on_event.register
    def _(self, event: ExchangeAnswered, now_ms, actions):
        shard = self._shards.get(event.shard)
        if shard is None or shard.epoch != event.epoch:
            return
        if not event.accepted or event.sequence != shard.sequence:
            return
        running = dict(event.running)
        for task_id, team in running.items():
            if task_id not in shard.team_by_task:
                shard.team_by_task[task_id] = team
                self.tokens.restore(team, 1)
        for task_id in tuple(shard.team_by_task):
            if task_id not in running:
                self.tokens.release(shard.team_by_task.pop(task_id), now_ms)
        shard.recovered = True

    @_on_event.register
    def _(self, event: base.Tick, now_ms, actions):
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + EXCHANGE_PERIOD_MS
        self._expire_requests(now_ms)
        for shard_id, shard in self._shards.items():
            shard.sequence += 1
            exchange = Exchange(
                shard_id,
                self.vm_id,
                shard.epoch,
                shard.sequence,
                starts=self._starts(shard, now_ms),
                stops=self._stops(shard),
            )
            actions.append(exchange)
        self._start_requests(now_ms, actions)

    def _starts(self, shard, now_ms):
        if not shard.recovered or self.leaving:
            return ()
        starts = []
        for team, demand in self.demand_by_team.items():
            if self.tokens.excess(team) or self.running(team) >= demand:
                continue
            if self.tokens.acquire(team, now_ms):
                task_id = f"{self.vm_id}-{next(self._ids)}"
                shard.team_by_task[task_id] = team
                starts.append((task_id, team))
        return tuple(starts)

    def _stops(self, shard):
        return tuple(
            task_id
            for task_id, team in shard.team_by_task.items()
            if self.tokens.excess(team)
        )

    def _start_requests(self, now_ms, actions):
        if self.leaving or not self._shards:
            return
        for team, demand in self.demand_by_team.items():
            if self.running(team) >= demand:
                continue
            if self.tokens.acquire(team, now_ms):
                request_id = f"{self.vm_id}-r{next(self._ids)}"
                expiry_ms = now_ms + REQUEST_TIMEOUT_MS
                self._requests[request_id] = (team, expiry_ms)
                run_ms = self.random_state.randint(*REQUEST_RUN_RANGE_MS)
                actions.append(SendRequest(request_id, team, run_ms))

    def _expire_requests(self, now_ms):
        for request_id, (team, expiry_ms) in tuple(self._requests.items()):
            if now_ms >= expiry_ms:
                del self._requests[request_id]
                self.tokens.release(team, now_ms)


@attrs.define
class _Task:
    team: str
    end_ms: int
    lease_until_ms: int


class VirtualWorker:
    """The worker of one shard.

    Parameters
    ----------
    loop : VirtualLoop
        Source of time.
    random_state : random.Random
        Source of randomness.
    oracle : Oracle
        Notified of each command, start and end.
    fenced : bool
        Whether commands of older epochs, and repeated or older commands of
        the same epoch, are refused.
    """

    def __init__(self, *, loop, random_state, oracle, fenced=True):
        self.loop = loop
        self.random_state = random_state
        self.oracle = oracle
        self.fenced = fenced
        self.epoch = 0
        self.sequence = 0
        self.tasks = {}

    def exchange(self, action):
        """Carries out an exchange and returns the answer."""
        now_ms = self.loop.now_ms
        key = (action.epoch, action.sequence)
        if self.fenced and key <= (self.epoch, self.sequence):
            return ExchangeAnswered(
                action.shard, action.epoch, action.sequence, False
            )
        self.epoch, self.sequence = key
        self.oracle.on_command(action)
        for task in self.tasks.values():
            task.lease_until_ms = now_ms + TASK_LEASE_MS
        for task_id, team in action.starts:
            if task_id not in self.tasks:
                self._start(task_id, team)
        for task_id in action.stops:
            task = self.tasks.pop(task_id, None)
            if task is not None:
                self.oracle.on_end(task_id, task.team)
        running = tuple(
            (task_id, task.team) for task_id, task in self.tasks.items()
        )
        return ExchangeAnswered(
            action.shard, action.epoch, action.sequence, True, running
        )

    def _start(self, task_id, team):
        now_ms = self.loop.now_ms
        long = self.random_state.random() < LONG_TASK_SHARE
        run_range_ms = LONG_TASK_RUN_RANGE_MS if long else TASK_RUN_RANGE_MS
        run_ms = self.random_state.randint(*run_range_ms)
        lease_until_ms = now_ms + TASK_LEASE_MS
        self.tasks[task_id] = _Task(team, now_ms + run_ms, lease_until_ms)
        self.oracle.on_start(task_id, team)
        self.loop.after(run_ms, self._check, task_id)
        self.loop.after(TASK_LEASE_MS, self._check, task_id)

    def _check(self, task_id):
        task = self.tasks.get(task_id)
        if task is None:
            return
        now_ms = self.loop.now_ms
        if now_ms >= min(task.end_ms, task.lease_until_ms):
            del self.tasks[task_id]
            self.oracle.on_end(task_id, task.team)
        else:
            due_ms = min(task.end_ms, task.lease_until_ms)
            self.loop.after(due_ms - now_ms, self._check, task_id)
