"""Stops less urgent runs for urgent tasks that would else be late.

Answers bursts of short urgent jobs on endpoints that are full of long tasks
whose callers have time: room that becomes free by itself comes too late.

Only tasks of the first priority preempt, and only those of less urgent
queues. So no chain of preemptions can come back to a task.
"""

import collections

import attrs

from samphiregate.core.cells import _isolation
from samphiregate.core.cells import _preemption_claims
from samphiregate.core.cells import _preemption_search
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work

SEARCH_INTERVAL_MS = 50  # between two searches for runs to stop
MAX_STAGES_PER_SEARCH = 16
DEFAULT_STOP_MS = 400.0  # until stops were seen
MAX_STOP_MS = 1_000  # a longer one tells of a silent endpoint, not of stops
STOP_SMOOTHING_FACTOR = 0.2
SEARCH_REST_FACTOR = 10  # multiple of a search's time until the next one


class Preemption:
    """Stops runs for urgent tasks, and holds the room that they leave.

    A `CandidatePolicy` and an `UnplacedPolicy`.

    Parameters
    ----------
    cell_state : CellState

    Attributes
    ----------
    stop_ms_ : float
        How long a stop takes, from those seen.
    """

    def __init__(self, *, cell_state):
        self.stop_ms_ = DEFAULT_STOP_MS
        self._cell_state = cell_state
        self._claims = _preemption_claims.Claims()
        self._spent_by_occurrence = {}
        self._has_searched = False
        self._next_search_ms = 0

    # Room that is held

    def select(self, request, candidates):
        """Leaves out the room that is held for tasks of other stages."""
        if not self._claims or request.is_restart:
            return candidates
        need = request.stage.step.booked
        allowed = []
        for candidate in candidates:
            endpoint_id = candidate.endpoint.endpoint_id
            unusable = self._claims.unusable(endpoint_id, request.stage)
            if unusable is not None:
                free = candidate.free - unusable
                if not need.fits_in(free):
                    continue
                candidate = attrs.evolve(candidate, free=free)
            allowed.append(candidate)
        return allowed

    def _settle(self, requests, now_ms):
        """Ends the claims that were met, or are of no more use."""
        waiting = collections.Counter()
        for request in requests:
            waiting[request.stage] += len(request.tasks)
        for stage, claims in self._claims.by_stage().items():
            for claim in claims:
                self._note_ended_stops(claim, now_ms)
            self._settle_stage(stage, claims, waiting[stage], now_ms)

    def _settle_stage(self, stage, claims, waiting_count, now_ms):
        if not waiting_count or stage.entry.state.is_final:
            self._drop(claims, now_ms, "no task waits")
            return
        accepts_starts = self._cell_state.accepts_starts
        kept = []
        for claim in claims:
            endpoint = self._cell_state.endpoint_by_id.get(claim.endpoint_id)
            waits = claim.stopped or stage.step.gang
            if endpoint is None or not accepts_starts(endpoint):
                self._drop([claim], now_ms, "its endpoint is not usable")
            elif now_ms > claim.until_ms:
                self._drop([claim], now_ms, "the stop came too late")
            elif not waits:
                # A plan had its room to use.
                self._drop([claim], now_ms, "the room is free")
            else:
                kept.append(claim)
        self._shorten(kept, waiting_count, now_ms)

    def _shorten(self, claims, waiting_count, now_ms):
        """Reduces claims to the tasks of a stage that still wait."""
        for claim in claims:
            claim.count = min(claim.count, waiting_count)
            waiting_count -= claim.count
            if not claim.count:
                self._drop([claim], now_ms, "room came elsewhere")

    def _note_ended_stops(self, claim, now_ms):
        endpoint = self._cell_state.endpoint_by_id.get(claim.endpoint_id)
        for booking in list(claim.stopped):
            if endpoint and booking.key in endpoint.bookings_by_run:
                continue
            claim.stopped.remove(booking)
            took_ms = min(now_ms - claim.made_ms, MAX_STOP_MS)
            self.stop_ms_ += STOP_SMOOTHING_FACTOR * (took_ms - self.stop_ms_)

    def _drop(self, claims, now_ms, outcome):
        for claim in claims:
            self._claims.remove(claim)
            self._cell_state.log_decision(
                "preempted room released",
                claim.stage.entry.job.job_id,
                step=claim.stage.key,
                endpoint=claim.endpoint_id,
                tasks=claim.count,
                outcome=outcome,
                waited_ms=now_ms - claim.made_ms,
                stops_pending=len(claim.stopped),
            )

    # Runs that are stopped

    def handle_unplaced(self, requests, now_ms):
        """See `UnplacedPolicy.handle_unplaced`."""
        if self._claims:
            self._settle(requests, now_ms)
        if now_ms < self._next_search_ms:
            return
        urgent = [one for one in requests if self._may_preempt(one)]
        if not urgent:
            return
        self._next_search_ms = now_ms + SEARCH_INTERVAL_MS
        self._spent_by_occurrence = {
            key: spent
            for key, spent in self._spent_by_occurrence.items()
            if key[0] in self._cell_state.entry_by_id
        }
        self._has_searched = True
        delay_ms = _longest_run_ms(self._cell_state, urgent)
        search_by_usable = {}
        count = 0
        for request in urgent:
            key = id(request.usable)
            if key not in search_by_usable:
                search_by_usable[key] = _preemption_search.VictimSearch(
                    cell_state=self._cell_state,
                    claims=self._claims,
                    usable=request.usable,
                    now_ms=now_ms,
                    stop_ms=self.stop_ms_,
                    delay_ms=delay_ms,
                )
            count += self._preempt_for(request, search_by_usable[key], now_ms)
            if count >= MAX_STAGES_PER_SEARCH:
                return

    def note_plan_time(self, elapsed_ms, now_ms):
        """Delays the next search if the latest plan searched.

        So searches take a small part of an owner's processor time.
        """
        if self._has_searched:
            self._has_searched = False
            rest_ms = elapsed_ms * SEARCH_REST_FACTOR
            self._next_search_ms = max(self._next_search_ms, now_ms + rest_ms)

    def may_make_room(self, request):
        """Whether runs may be stopped for the tasks of a request."""
        if request.stage.queried_ids or request.stage.query_in_flight:
            return False
        return self._may_preempt(request) and any(
            booking.task.stage.queue.priority > _work.URGENT_PRIORITY
            for endpoint in request.usable.endpoints
            for booking in endpoint.bookings_by_run.values()
        )

    def _may_preempt(self, request):
        stage = request.stage
        return (
            stage.queue.is_urgent
            and stage.entry.within_share
            and not stage.step.long_running
            and not stage.waits_for_place
            and bool(request.usable.endpoints)
            and not _isolation.is_suspect(
                self._cell_state, stage, request.tasks[0]
            )
        )

    def _preempt_for(self, request, search, now_ms):
        """Stops runs for a request if that gains more than it loses.

        Returns
        -------
        bool
            Whether endpoints were searched.
        """
        stage = request.stage
        path_ms = search.costs.path_ms(stage)
        latest_ms = stage.due_ms - path_ms
        ready_ms = now_ms + self.stop_ms_ + self._cell_state.store_wait_ms
        count = len(request.tasks) - self._claims.count_of(stage)
        count = self._within_limit(stage, count)
        if ready_ms > latest_ms or count <= 0:
            return False
        # One stop before the latest start: if that room does not come after
        # all, there is still time to stop a run.
        by_itself = search.allot_by_itself(
            request, count, latest_ms - self.stop_ms_
        )
        missing = count - sum(one.count for one in by_itself)
        if not missing:
            return True
        key = (stage.entry.job.job_id, stage.occurrence)
        gain = search.costs.job_work(stage.entry)
        spent = self._spent_by_occurrence.get(key, 0.0)
        stops, loss = search.allot_by_stops(request, missing, gain - spent)
        if not stops:
            search.give_back(stage, by_itself)
            return True
        self._spent_by_occurrence[key] = spent + loss
        claimed = stops + (by_itself if stage.step.gang else [])
        self._claim(stage, claimed, latest_ms, now_ms)
        self._log(request, stops, missing, gain, loss, latest_ms, now_ms)
        for allotment in stops:
            for stoppable in allotment.stoppables:
                self._stop(stoppable, stage, search.costs, now_ms)
        return True

    def _within_limit(self, stage, count):
        """Returns for how many tasks the account's limit leaves room.

        Beside the tasks of the account for which room is claimed already.
        """
        entry = stage.entry
        claimed = self._claims.claimed_by(entry.job.account)
        allows = self._cell_state.account_limits.allows
        demand = stage.step.demand
        allowed = count
        while allowed > 0 and not allows(
            entry.job.account, claimed + demand.scaled_by(allowed)
        ):
            allowed -= 1
        if stage.step.gang and allowed < count:
            return 0
        return allowed

    def _claim(self, stage, allotments, latest_ms, now_ms):
        """Claims the room of the allotments, one claim for each endpoint."""
        stopped = collections.defaultdict(set)
        for booking in _stopped_bookings(allotments):
            # A run that was not ordered yet leaves its room at once.
            if booking.state is not _tasks.RunState.PLANNED:
                stopped[booking.endpoint_id].add(booking)
        counts = collections.Counter()
        for allotment in allotments:
            counts[allotment.room.endpoint.endpoint_id] += allotment.count
        for endpoint_id, count in counts.items():
            claim = _preemption_claims.Claim(
                stage,
                endpoint_id,
                count,
                now_ms,
                latest_ms,
                list(stopped[endpoint_id]),
            )
            self._claims.add(claim)

    def _stop(self, stoppable, urgent_stage, costs, now_ms):
        cell_state = self._cell_state
        first = stoppable.bookings[0]
        entry = first.task.stage.entry
        for booking in stoppable.bookings:
            lost_core_ms = costs.lost_core_ms(booking)
            cell_state.preemptions.note(entry.job.queue.name, lost_core_ms)
            booking.task.preempted_count += 1
            cell_state.log_decision(
                "run preempted",
                entry.job.job_id,
                task=booking.task.task_id.position,
                run=booking.run,
                endpoint=booking.endpoint_id,
                preempted_for=urgent_stage.entry.job.job_id,
                percent=booking.percent,
                lost_core_ms=round(lost_core_ms),
                checkpoints=booking.step.checkpoints,
                preempted_before=booking.task.preempted_count - 1,
            )
            cell_state.stop(booking, now_ms)
        cell_state.mark_dirty(entry)

    def _log(self, request, stops, missing, gain, loss, latest_ms, now_ms):
        stage = request.stage
        self._cell_state.log_decision(
            "runs preempted for tasks",
            stage.entry.job.job_id,
            step=stage.key,
            tasks=missing,
            waiting=len(request.tasks),
            stopped=len(_stopped_bookings(stops)),
            endpoints=sorted({one.room.endpoint.endpoint_id for one in stops}),
            start_within_ms=round(latest_ms - now_ms),
            stop_ms=round(self.stop_ms_),
            gain=round(gain),
            loss=round(loss),
        )


def _stopped_bookings(allotments):
    return [
        booking
        for allotment in allotments
        for stoppable in allotment.stoppables
        for booking in stoppable.bookings
    ]


def _longest_run_ms(cell_state, requests):
    """Returns the longest expected run time of the requests' tasks."""
    return max(
        cell_state.run_times.expected_ms(one.stage.queue, one.stage.step)
        for one in requests
    )
