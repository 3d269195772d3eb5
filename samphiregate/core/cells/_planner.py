"""Decides where tasks are placed, and which policy queries are needed."""

import math

import attrs

from samphiregate.core.cells import _accepting_endpoints
from samphiregate.core.cells import _drain_moves
from samphiregate.core.cells import _holds
from samphiregate.core.cells import _isolation
from samphiregate.core.cells import _order
from samphiregate.core.cells import _placement
from samphiregate.core.cells import _placement_request
from samphiregate.core.cells import _plan_shares
from samphiregate.core.cells import _policy_queries
from samphiregate.core.cells import _retries
from samphiregate.core.cells import _run_gaps
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _wait_reasons

URGENT_LIMIT_SHARE = 0.2  # of an account's limit
# After this wait, interrupted tasks may go to endpoints that are backing off.
MAX_RESTART_WAIT_MS = 2_000
SUSPECT_PENALTY = 2.0  # on a cost between 0 and 1
RECENT_ANSWER_MS = 500  # for the choice of an endpoint for a restart
MAX_CHECKED_ENDPOINTS = 16  # in one plan, for one stage


class Planner:
    """Plans on which endpoints the tasks of a cell are placed.

    Parameters
    ----------
    cell_state : CellState
    policy_queries : PolicyQueries
    failure_backoff : FailureBackoff
        Tells on which endpoints tasks failed lately.
    check_endpoint : callable
        Takes an endpoint and the time; polls the endpoint.
    slowness_estimator : SlownessEstimator
        Supplies the cost that placement adds for slow endpoints.
    candidate_policies : tuple of CandidatePolicy
        Asked in this order.
    unplaced_policies : tuple of UnplacedPolicy
    may_make_room : callable or None
        Takes a `PlacementRequest`; returns whether runs may be stopped for
        its tasks. None if none ever are.
    """

    def __init__(
        self,
        *,
        cell_state,
        policy_queries,
        failure_backoff,
        check_endpoint,
        slowness_estimator,
        candidate_policies=(),
        unplaced_policies=(),
        may_make_room=None,
    ):
        self._cell_state = cell_state
        self._policy_queries = policy_queries
        self._failure_backoff = failure_backoff
        self._check_endpoint = check_endpoint
        self._slowness_estimator = slowness_estimator
        self._candidate_policies = candidate_policies
        self._unplaced_policies = unplaced_policies
        self._may_make_room = may_make_room or (lambda request: False)
        self._unplaced = []
        self._drain_moves = _drain_moves.DrainMoves(cell_state=cell_state)
        self._packing = _placement.Packing()
        self._plan_shares = _plan_shares.PlanShares()
        self._usable = _accepting_endpoints.UsableByStage(
            cell_state=cell_state,
            is_backing_off=failure_backoff.is_backing_off,
        )

    def plan(self, now_ms, query_slots):
        """Places waiting tasks where they fit, the most urgent stages first.

        Interrupted long-running tasks go before all others.

        Parameters
        ----------
        now_ms : int
        query_slots : int
            Number of VMs that can query the policy service; each has one
            query in flight at a time.
        """
        cell_state = self._cell_state
        self._usable.begin_plan()
        self._unplaced = []
        holds = _holds.Holds(self._drain_moves.held_ids(now_ms))
        stages = _order.sort_stages(
            self._plan_shares.choose(cell_state.startable_stages.values()),
            now_ms,
            cell_state.fair_shares,
        )
        suspected = cell_state.isolated_runs.strongly_suspected_stages(
            cell_state
        )
        if suspected:
            stages.sort(key=lambda stage: stage not in suspected)
        for stage in stages:
            for group in _retries.groups(
                cell_state, stage, stage.interrupted()
            ):
                self._plan_stage(stage, group, holds, now_ms, is_restart=True)
        for stage in stages:
            tasks = stage.startable()
            if not tasks:
                if not any(task.is_waiting for task in stage.tasks):
                    del cell_state.startable_stages[
                        stage.entry.job.job_id, stage.key
                    ]
                continue
            interrupted = set(stage.interrupted())
            first_starts = [one for one in tasks if one not in interrupted]
            for group in _retries.groups(cell_state, stage, first_starts):
                self._plan_stage(stage, group, holds, now_ms)
        for policy in self._unplaced_policies:
            policy.handle_unplaced(self._unplaced, now_ms)
        self._plan_moves(holds, now_ms)
        self._policy_queries.send_queries(query_slots, now_ms)

    def _plan_stage(self, stage, tasks, holds, now_ms, is_restart=False):
        """Places tasks of a stage; asks for tickets and holds for the rest."""
        account = stage.entry.job.account
        tasks = self._within_account_limit(
            stage, tasks, account, is_restart=is_restart
        )
        if not tasks:
            stage.waits_for = _wait_reasons.WaitReason.ACCOUNT_LIMIT
            return
        tasks = self._within_record_limit(stage, tasks)
        if not tasks:
            stage.waits_for = _wait_reasons.WaitReason.RECORD_LIMIT
            return
        usable = self._usable.find(
            stage,
            now_ms,
            ignores_failures=is_restart and _is_overdue(tasks, now_ms),
        )
        # Endpoints are held for restarts, but not against other restarts.
        barring = _holds.Holds() if is_restart else holds
        candidates = self._candidates(stage, usable, barring, now_ms)
        if not is_restart and _retries.is_recent_failure(stage, tasks, now_ms):
            candidates = _retries.without_suspects(
                stage, candidates, self._failure_backoff
            )
        cell_state = self._cell_state
        is_isolated = _isolation.is_suspect(cell_state, stage, tasks[0])
        if is_isolated:
            only_idle = _isolation.waits_for_idle(cell_state, tasks, now_ms)
            candidates = _isolation.candidates_for(
                stage.step, candidates, only_idle=only_idle
            )
        request = _placement_request.PlacementRequest(
            stage, tasks, usable, now_ms, is_restart, frozenset(barring)
        )
        candidates = self._select(request, candidates)
        chosen = self._choose(stage, tasks, candidates, now_ms, is_restart)
        if chosen:
            self._place(stage, tasks, chosen, now_ms)
        if len(chosen) == len(tasks):
            return
        self._unplaced.append(
            attrs.evolve(request, tasks=tasks[len(chosen) :])
        )
        stage.waits_for = _wait_reasons.of_stage(
            stage, usable, candidates, barring
        )
        self._query_and_hold(
            request, len(tasks) - len(chosen), holds, is_isolated
        )

    def _select(self, request, candidates):
        """Returns what all candidate policies leave of the candidates."""
        for policy in self._candidate_policies:
            candidates = policy.select(request, candidates)
        return candidates

    def _query_and_hold(self, request, unplaced_count, holds, is_isolated):
        """Asks for tickets and holds endpoints for tasks without a place.

        Parameters
        ----------
        request : PlacementRequest
            With all tasks that were to be placed.
        unplaced_count : int
            How many of them were not.
        holds : Holds
            Gets the endpoints that are held from now on.
        is_isolated : bool
            Whether they wait for an endpoint without other runs.
        """
        stage, usable, now_ms = request.stage, request.usable, request.now_ms
        within = usable
        if stage.waits_for_place:
            # What is far away is left to others, also by queries and holds.
            within = usable.in_rack(stage.place_wait.rack)
        if stage.queue.advice:
            self._policy_queries.request(
                stage,
                within,
                unplaced_count,
                now_ms,
                is_restart=request.is_restart,
                makes_room=self._may_make_room(request),
            )
        if is_isolated:
            stage.waits_for = _wait_reasons.WaitReason.ISOLATION
            _holds.hold_for_isolation(stage, usable, holds, now_ms)
        elif request.is_restart:
            _holds.hold_for_restarts(
                stage, usable, unplaced_count, holds, now_ms
            )
        elif stage.waits_for_place and stage.step.gang:
            _holds.hold_for_gang(stage, usable, within, holds)
        else:
            _holds.hold_for_large_tasks(
                stage, within, unplaced_count, holds, now_ms
            )

    def _plan_moves(self, holds, now_ms):
        """Moves tasks off drained data centres, after all that waits."""
        for stage, bookings in self._drain_moves.movable(now_ms):
            usable = self._usable.find(stage, now_ms)
            tasks = [one.task for one in bookings]
            request = _placement_request.PlacementRequest(
                stage, tasks, usable, now_ms, is_restart=True
            )
            # A ticket has to outlast the move.
            started_ms = now_ms + _drain_moves.MOVE_MS
            candidates = self._candidates(stage, usable, holds, started_ms)
            candidates = self._select(request, candidates)
            chosen = self._choose(
                stage, tasks, candidates, now_ms, is_restart=True
            )
            if stage.queue.advice and not chosen:
                self._policy_queries.request(stage, usable, len(tasks), now_ms)
            for booking, endpoint in zip(bookings, chosen, strict=False):
                self._drain_moves.begin(booking, endpoint, now_ms)
                holds.add(endpoint.endpoint_id)

    def _choose(self, stage, tasks, candidates, now_ms, is_restart):
        """Chooses endpoints for tasks.

        A start that is ordered from a silent endpoint costs its whole lease.
        So a restart goes to endpoints that answered lately; if these do not
        suffice, others are polled, and chosen once they have answered. Each
        plan polls further ones, without waiting for those that are silent.
        """
        count = len(tasks)
        if not is_restart:
            return self._packing.choose(stage.step, count, candidates)
        answered_since_ms = now_ms - RECENT_ANSWER_MS
        recent, quiet = [], []
        for one in candidates:
            is_recent = one.endpoint.answered_ms >= answered_since_ms
            (recent if is_recent else quiet).append(one)
        chosen = self._packing.choose(stage.step, count, recent)
        if len(chosen) < count:
            need = stage.step.booked
            unchecked = [
                one
                for one in quiet
                if need.fits_in(one.free)
                and one.endpoint.next_check_ms <= now_ms
            ]
            for one in unchecked[:MAX_CHECKED_ENDPOINTS]:
                self._check_endpoint(one.endpoint, now_ms)
        return chosen

    def plan_copies(self, now_ms, should_copy):
        """Places copies of speculative tasks that run longer than expected.

        Steps with the fewest tasks left go first, as they end with the last.

        Parameters
        ----------
        now_ms : int
        should_copy : callable
            Takes a task and the time.
        """
        self._usable.begin_plan()
        slow = []
        for entry in self._cell_state.entry_by_id.values():
            if entry.state.is_final or not entry.has_speculative:
                continue
            for stage in entry.stages_by_key.values():
                if stage.opened_ms is None or stage.is_done:
                    continue
                tasks = [
                    one for one in stage.tasks if should_copy(one, now_ms)
                ]
                if tasks:
                    slow.append((stage, tasks))
        slow.sort(key=lambda one: len(one[0].tasks) - one[0].done_count)
        for stage, tasks in slow:
            self._place_copies(stage, tasks, now_ms)

    def _place_copies(self, stage, tasks, now_ms):
        tasks = self._within_account_limit(
            stage, tasks, stage.entry.job.account
        )
        usable = self._usable.find(stage, now_ms)
        if stage.queue.advice:
            self._policy_queries.request(stage, usable, len(tasks), now_ms)
        for task in tasks:
            booking = next(iter(task.bookings_by_run.values()))
            candidates = [
                one
                for one in self._candidates(
                    stage, usable, _holds.Holds(), now_ms
                )
                if one.endpoint.endpoint_id != booking.endpoint_id
            ]
            if _isolation.needs_isolation(self._cell_state, task):
                candidates = _isolation.candidates_for(
                    stage.step, candidates, only_idle=False
                )
            request = _placement_request.PlacementRequest(
                stage, [task], usable, now_ms
            )
            candidates = self._select(request, candidates)
            chosen = self._packing.choose(stage.step, 1, candidates)
            if chosen:
                self._place(stage, [task], chosen, now_ms)

    def _within_account_limit(self, stage, tasks, account, is_restart=False):
        """Returns the leading tasks that fit within the account's limit.

        If the account submitted urgent jobs recently, its other jobs leave
        `URGENT_LIMIT_SHARE` of the limit free for further urgent ones; not
        so the restarts of interrupted tasks.
        """
        account_limits = self._cell_state.account_limits
        limit_share = 1.0
        if (
            stage.queue.priority
            and not is_restart
            and self._cell_state.has_recent_urgent_work(account)
        ):
            limit_share = 1.0 - URGENT_LIMIT_SHARE
        demand = stage.step.demand
        if account_limits.allows(
            account, demand.scaled_by(len(tasks)), limit_share
        ):
            return tasks
        if stage.step.gang:
            return []
        allowed = 0
        while account_limits.allows(
            account, demand.scaled_by(allowed + 1), limit_share
        ):
            allowed += 1
        return tasks[:allowed]

    def _within_record_limit(self, stage, tasks):
        """Returns the tasks that the record of their job may name."""
        max_open = self._cell_state.max_open_tasks_of(stage.entry)
        allowed = stage.entry.may_open(tasks, max_open)
        if stage.step.gang and len(allowed) < len(tasks):
            return []
        return allowed

    def _candidates(self, stage, usable, holds, now_ms):
        """Returns the endpoints with room that may run tasks of the stage."""
        need = stage.step.booked
        if stage.queue.advice:
            ticketed = _policy_queries.ids_with_ticket(stage, now_ms)
            with_room = usable.named_with_room(ticketed, need)
        else:
            with_room = usable.with_room(need)
        candidates = []
        isolated_ids = self._cell_state.isolated_runs.endpoint_ids()
        for endpoint in with_room:
            endpoint_id = endpoint.endpoint_id
            if endpoint_id in isolated_ids or (
                endpoint_id in holds
                and holds.bars(
                    endpoint_id, self._end_ms(stage, endpoint, now_ms)
                )
            ):
                continue
            max_count = stage.max_more_on(endpoint_id)
            if max_count > 0:
                penalty = self._slowness_estimator.penalty(endpoint_id, now_ms)
                if self._failure_backoff.is_suspect(endpoint_id):
                    penalty += SUSPECT_PENALTY
                candidates.append(
                    _placement.Candidate(
                        endpoint, endpoint.free, max_count, penalty
                    )
                )
        return candidates

    def _end_ms(self, stage, endpoint, now_ms):
        """Returns when a task that starts now has ended with some margin."""
        if stage.step.long_running:
            return math.inf
        run_ms = self._cell_state.run_times.expected_stage_ms(stage, endpoint)
        return _tasks.overdue_ms(now_ms, run_ms)

    def _place(self, stage, tasks, chosen, now_ms):
        """Reserves room for tasks on the chosen endpoints.

        Their start orders are sent once the record of the job is stored.
        """
        cell_state = self._cell_state
        run = None
        if stage.step.gang:
            run = max(task.last_run for task in tasks) + 1
        bookings = [
            cell_state.reserve(
                task, run or task.last_run + 1, endpoint, now_ms
            )
            for task, endpoint in zip(tasks, chosen, strict=False)
        ]
        cell_state.mark_dirty(stage.entry)
        for booking in bookings:
            booking.version = stage.entry.version
        if stage.step.gang:
            self._expect_gang_place(stage.step, bookings, chosen)
        cell_state.log_decision(
            "tasks placed",
            stage.entry.job.job_id,
            step=stage.key,
            placed=len(chosen),
            wanted=len(tasks),
            waited_ms=now_ms - (stage.opened_ms or now_ms),
            endpoints=sorted({one.endpoint_id for one in chosen}),
            runs=[
                (one.task.task_id.index, one.run, one.endpoint_id)
                for one in bookings[: _run_gaps.MAX_RUNS_TOLD]
            ],
            **_describe_places(stage.step, chosen),
        )
        cell_state.run_gaps.placed_by_service[stage.queue.service] += len(
            bookings
        )

    def _expect_gang_place(self, step, bookings, chosen):
        """Expects all members to run as long as the place of one makes it."""
        locality = self._cell_state.locality
        factor = locality.gang_factor(step, chosen)
        for booking, endpoint in zip(bookings, chosen, strict=False):
            booking.gang_factor = factor
            booking.expected_ms *= factor / locality.factor(step, endpoint)


def _describe_places(step, chosen):
    """Returns the fields of a log line that tell how near tasks were placed.

    There are none for steps that run equally well anywhere.
    """
    if step.rack:
        near_count = sum(one.rack == step.rack for one in chosen)
        return {"near": near_count, "far": len(chosen) - near_count}
    if step.gang and step.same_rack:
        return {"racks": len({one.rack for one in chosen})}
    return {}


def _is_overdue(tasks, now_ms):
    """Whether one of the tasks was interrupted `MAX_RESTART_WAIT_MS` ago."""
    return any(
        task.interrupted_ms is not None
        and now_ms - task.interrupted_ms >= MAX_RESTART_WAIT_MS
        for task in tasks
    )
