"""Starts queued attempts on runners and handles their ends."""

import heapq

from samphiregate.core import model
from samphiregate.core import queueing
from samphiregate.core.requests import _messages
from samphiregate.core.requests import _replies
from samphiregate.core.requests import _runners
from samphiregate import errors

# Attempts that one dispatch may skip because the free runners are avoided for
# them.
MAX_SKIPPED_ITEMS = 16
SERVER_ERROR_STATUS = 500

_Code = errors.ErrorCode
_Outcome = model.AttemptOutcome


class Dispatcher:
    """Assigns slots and tokens to attempts and releases them.

    Parameters
    ----------
    runner_table : RunnerTable
        The pools.
    tokens : TokenHolder
        Tokens that enforce the teams' limits.
    runner_tries : int
        Maximum number of times that an attempt is sent to runners that
        don't execute it; it is then refused.
    unknown_hold_ms : int
        Time after its deadline that an attempt of unknown outcome keeps
        its slot and token.
    """

    def __init__(self, *, runner_table, tokens, runner_tries, unknown_hold_ms):
        self.runner_tries = runner_tries
        self.unknown_hold_ms = unknown_hold_ms
        self.running_by_key = {}
        self.stopping = False
        self._runner_table = runner_table
        self._tokens = tokens
        self._deadlines = []

    def enqueue(self, pool, attempt, now_ms):
        """Queues a new attempt and tracks its deadline."""
        pool.enqueue(attempt, now_ms)
        entry = (attempt.deadline_ms, attempt.key, pool.service)
        heapq.heappush(self._deadlines, entry)

    def dispatch(self, pool, now_ms):
        """Starts queued attempts while slots and tokens are available."""
        actions = []
        skipped_teams = set()
        skipped_items = set()
        while pool.queued and not self.stopping:
            runner = pool.pick(frozenset(), now_ms)
            if runner is None or len(skipped_items) >= MAX_SKIPPED_ITEMS:
                break
            question = queueing.NextItem(
                frozenset(skipped_teams), frozenset(skipped_items)
            )
            item = pool.queue.choose(question, now_ms)
            if item is None:
                break
            attempt = pool.queued[item.item_id]
            if attempt.avoided:
                runner = pool.pick(attempt.avoided, now_ms)
            if attempt.deadline_ms <= now_ms:
                actions.append(self._refuse_expired(pool, attempt, now_ms))
            elif runner is None:
                skipped_items.add(item.item_id)
            elif self._acquire(item.team, now_ms):
                actions.append(self._start(pool, attempt, runner, now_ms))
            else:
                skipped_teams.add(item.team)
        return actions

    def shed(self, pool, queue_limit, retry_after_ms, now_ms):
        """Refuses queued attempts above the limit of the queue."""
        actions = []
        while len(pool.queued) > queue_limit:
            item = pool.queue.choose(queueing.ItemToShed(), now_ms)
            attempt = pool.dequeue(item.item_id, now_ms)
            actions.append(
                _replies.refuse(
                    attempt, _Code.OVERLOADED, retry_after_ms, pool.load()
                )
            )
        return actions

    def expire(self, now_ms):
        """Refuses queued attempts whose deadline has passed."""
        actions = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _deadline_ms, key, service = heapq.heappop(self._deadlines)
            pool = self._runner_table.pools_by_service[service]
            attempt = pool.queued.get(key)
            if attempt is not None:
                actions.append(self._refuse_expired(pool, attempt, now_ms))
        return actions

    def refuse_queued(self, pool, code, now_ms):
        """Refuses all queued attempts of a pool."""
        return [
            _replies.refuse(pool.dequeue(key, now_ms), code)
            for key in list(pool.queued)
        ]

    def on_answered(self, attempt, event, now_ms):
        """Handles a runner's complete answer."""
        pool, runner = self._end_running(attempt)
        run_ms = now_ms - attempt.sent_ms
        succeeded = event.status < SERVER_ERROR_STATUS
        pool.record_attempt(runner, succeeded, run_ms, now_ms)
        runner.reset_backoff()
        self._release(pool, attempt.message.team, now_ms)
        self.update_runner(pool, runner, event, now_ms)
        started = self.dispatch(pool, now_ms)
        finished = _replies.finish(
            attempt,
            _Outcome.ANSWERED,
            run_ms,
            status=event.status,
            content_type=event.content_type,
            body=event.body,
            load=pool.load(),
        )
        return [finished, *started]

    def on_failed(self, attempt, event, now_ms):
        """Handles the end of an attempt without a complete answer."""
        pool, runner = self._end_running(attempt)
        if event.outcome is _Outcome.UNKNOWN:
            actions = self._hold_unknown(pool, runner, attempt, event, now_ms)
        else:
            actions = self._requeue(pool, runner, attempt, event, now_ms)
        return actions + self.dispatch(pool, now_ms)

    def update_runner(self, pool, runner, event, now_ms):
        """Applies a runner's report on its slots and on leaving."""
        # Without a report of slots, `leaving=False` only means that nothing
        # was reported.
        has_report = event.leaving or event.slots_used is not None
        if has_report and event.leaving != runner.leaving:
            runner.leaving = event.leaving
            runner.schedule_probe(now_ms)
            pool.update_capacity(now_ms)
        if event.slots_used is not None:
            for ended in runner.update_used_slots(event.slots_used, now_ms):
                self._release(pool, ended.team, now_ms)
        pool.update_router(runner, now_ms)

    def release_expired(self, pool, now_ms):
        """Releases slots and tokens whose unknown attempts have expired."""
        for runner in pool.runners_by_id.values():
            for ended in runner.release_expired(now_ms):
                self._release(pool, ended.team, now_ms)

    def _start(self, pool, attempt, runner, now_ms):
        pool.dequeue(attempt.key, now_ms)
        attempt.runner_id = runner.info.runner_id
        attempt.sent_ms = now_ms
        runner.sent_ms_by_key[attempt.key] = now_ms
        self.running_by_key[attempt.key] = attempt
        message = attempt.message
        pool.occupy_slot(message.team, now_ms)
        pool.update_router(runner, now_ms)
        return _messages.SendToRunner(
            request_id=message.request_id,
            attempt=message.attempt,
            runner_id=runner.info.runner_id,
            endpoint=runner.info.endpoint,
            queue=message.queue,
            timeout_ms=attempt.deadline_ms - now_ms,
            content_type=message.content_type,
            body=message.body,
        )

    def _end_running(self, attempt):
        del self.running_by_key[attempt.key]
        pool, runner = self._runner_table.find_for_attempt(attempt)
        del runner.sent_ms_by_key[attempt.key]
        return pool, runner

    def _hold_unknown(self, pool, runner, attempt, event, now_ms):
        """Holds slot and token of an attempt that may still run."""
        run_ms = now_ms - attempt.sent_ms
        pool.record_attempt(runner, False, run_ms, now_ms)
        release_ms = max(attempt.deadline_ms, now_ms) + self.unknown_hold_ms
        runner.unknown_by_key[attempt.key] = _runners.UnknownAttempt(
            attempt.message.team, now_ms, release_ms
        )
        runner.schedule_probe(now_ms)
        self.update_runner(pool, runner, event, now_ms)
        return [
            _replies.finish(
                attempt, _Outcome.UNKNOWN, run_ms, detail=event.detail
            )
        ]

    def _requeue(self, pool, runner, attempt, event, now_ms):
        """Requeues an attempt that was not executed, or refuses it."""
        self._release(pool, attempt.message.team, now_ms)
        attempt.tries += 1
        code = _Code.RUNNER_FAILED
        if event.outcome is _Outcome.REFUSED:
            code = _Code.OVERLOADED
            runner.back_off(now_ms)
        else:
            run_ms = now_ms - attempt.sent_ms
            pool.record_attempt(runner, False, run_ms, now_ms, reached=False)
            attempt.avoided = attempt.avoided | {attempt.runner_id}
        self.update_runner(pool, runner, event, now_ms)
        if self.stopping:
            return [_replies.refuse(attempt, _Code.LEAVING)]
        if not pool.slots():
            return [_replies.refuse(attempt, _Code.NO_RUNNER)]
        if attempt.tries >= self.runner_tries or pool.has_no_runner_except(
            attempt.avoided
        ):
            return [_replies.refuse(attempt, code)]
        pool.enqueue(attempt, now_ms, at_front=True)
        return []

    def _refuse_expired(self, pool, attempt, now_ms):
        pool.dequeue(attempt.key, now_ms)
        return _replies.refuse(attempt, _Code.DEADLINE_EXCEEDED)

    def _acquire(self, team, now_ms):
        return not team or self._tokens.acquire(team, now_ms)

    def _release(self, pool, team, now_ms):
        pool.release_slot(team, now_ms)
        if team:
            self._tokens.release(team, now_ms)
