"""Finds what to stop so that urgent tasks get room.

The cheapest first, by the work that callers lose for each task that gets
room; all tasks of a request get room, or nothing is stopped.
"""

import collections
import heapq

import attrs

from samphiregate.core.cells import _policy_queries
from samphiregate.core.cells import _preemption_costs
from samphiregate.core.cells import _preemption_room
from samphiregate.core.cells import _run_forecast
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work

MAX_PREEMPTIONS_PER_TASK = 2


@attrs.frozen(eq=False)
class Allotment:
    """Tasks of a stage that get room on an endpoint.

    Parameters
    ----------
    room : EndpointRoom
    count : int
        Number of tasks.
    stoppables : list of Stoppable
        What is stopped for them.
    """

    room: object
    count: int
    stoppables: list


class VictimSearch:
    """Finds room for urgent tasks, in one plan and on one set of endpoints.

    Parameters
    ----------
    cell_state : CellState
    claims : Claims
        Room that is held for urgent tasks already.
    usable : UsableEndpoints
    now_ms : int
    stop_ms : float
        How long a stop is expected to take.
    delay_ms : float
        For how long the room is expected to be used.

    Attributes
    ----------
    costs : PreemptionCosts
    """

    def __init__(
        self, *, cell_state, claims, usable, now_ms, stop_ms, delay_ms
    ):
        self._cell_state = cell_state
        self._now_ms = now_ms
        self._soonest_ms = now_ms + stop_ms
        self._room_by_id = {
            one.endpoint_id: _preemption_room.EndpointRoom(
                one, now_ms, claims.claimed(one.endpoint_id)
            )
            for one in usable.endpoints
        }
        self.costs = _preemption_costs.PreemptionCosts(
            run_times=cell_state.run_times,
            capacity=usable.endpoints[0].registration.capacity,
            now_ms=now_ms,
            stop_ms=stop_ms,
            delay_ms=delay_ms,
        )
        self._has_stoppables = False
        self._failed_by_need = {}
        self._is_spared_by_job = {}
        self._late_ids = set()

    def allot_by_itself(self, request, count, at_ms):
        """Takes room that is expected to be free without any stop."""
        stage = request.stage
        need = stage.step.booked
        allotments = []
        for room in self._rooms_for(request):
            if count <= 0:
                break
            fitting = min(
                need.count_fitting_in(room.room_at(at_ms)),
                stage.max_more_on(room.endpoint.endpoint_id),
                count,
            )
            if fitting > 0:
                room.take(need.scaled_by(fitting))
                allotments.append(Allotment(room, fitting, []))
                count -= fitting
        return allotments

    def give_back(self, stage, allotments):
        """Gives room back that is not to be used after all."""
        for one in allotments:
            one.room.take(stage.step.booked.scaled_by(-one.count))

    def allot_by_stops(self, request, count, budget):
        """Selects what to stop so that `count` tasks find room.

        Returns
        -------
        tuple
            List of `Allotment` and their cost; an empty list if not all of
            the tasks would find room within the budget.
        """
        if not self._has_stoppables:
            self._has_stoppables = True
            self._find_stoppables()
        stage = request.stage
        if self._is_hopeless(stage, count, budget):
            return [], 0.0
        offers = []
        for room in self._rooms_for(request):
            self._push_offer(offers, room, stage, count, 0)
        missing = count
        chosen, loss = [], 0.0
        placed_by_id = collections.Counter()
        late_ids = set(self._late_ids)
        state_by_id = {}
        while offers and missing > 0:
            rate, endpoint_id, version, allotment = heapq.heappop(offers)
            room = allotment.room
            placed = placed_by_id[endpoint_id]
            if version != room.version:
                self._push_offer(offers, room, stage, missing, placed)
                continue
            # None that follows is cheaper.
            if loss + rate * missing >= budget:
                break
            made_late_ids = set(late_ids)
            cost = _cost(allotment.stoppables, made_late_ids)
            if loss + cost >= budget:
                continue
            late_ids = made_late_ids
            taken = min(allotment.count, missing)
            allotment = attrs.evolve(allotment, count=taken)
            self._apply(allotment, stage.step.booked, state_by_id)
            chosen.append(allotment)
            loss += cost
            missing -= taken
            placed_by_id[endpoint_id] += taken
            self._push_offer(offers, room, stage, missing, placed + taken)
        if missing > 0:
            for endpoint_id, state in state_by_id.items():
                self._room_by_id[endpoint_id].restore(state)
            self._note_hopeless(stage, count, budget)
            return [], 0.0
        self._late_ids = late_ids
        return chosen, loss

    def _is_hopeless(self, stage, count, budget):
        """Whether a search for no more, with no less to lose, found nothing.

        Stops since then have left only dearer runs.
        """
        return any(
            count >= failed_count and budget <= failed_budget
            for failed_count, failed_budget in self._failed_by_need.get(
                _need_key(stage), ()
            )
        )

    def _note_hopeless(self, stage, count, budget):
        # Tickets and spread restrict the endpoints of a single stage.
        if not stage.queue.advice and not stage.step.most_per_endpoint:
            self._failed_by_need.setdefault(_need_key(stage), []).append(
                (count, budget)
            )

    def _push_offer(self, offers, room, stage, count, placed):
        """Adds what it costs to make room on an endpoint, if possible."""
        selection = room.select(stage.step.booked)
        if selection is None:
            return
        endpoint_id = room.endpoint.endpoint_id
        stoppables, fitting = selection
        most = stage.max_more_on(endpoint_id) - placed
        fitting = min(fitting, most, count)
        if fitting > 0:
            cost = sum(one.cost for one in stoppables)
            allotment = Allotment(room, fitting, stoppables)
            offer = (cost / fitting, endpoint_id, room.version, allotment)
            heapq.heappush(offers, offer)

    def _apply(self, allotment, need, state_by_id):
        """Counts the stops and takes the room that they leave.

        `state_by_id` gets the earlier state of each endpoint that changes.
        """
        stopped = {one.bookings for one in allotment.stoppables}
        changed_ids = {allotment.room.endpoint.endpoint_id}
        for bookings in stopped:
            changed_ids.update(one.endpoint_id for one in bookings)
        for endpoint_id in changed_ids & self._room_by_id.keys():
            room = self._room_by_id[endpoint_id]
            state_by_id.setdefault(endpoint_id, room.state())
            room.remove_stopped(stopped)
        allotment.room.take(need.scaled_by(allotment.count))

    def _rooms_for(self, request):
        """Yields the rooms where tasks of a request may be placed."""
        stage = request.stage
        isolated_ids = self._cell_state.isolated_runs.endpoint_ids()
        endpoint_ids = self._room_by_id
        if stage.queue.advice:
            endpoint_ids = _policy_queries.ids_with_ticket(
                stage, self._soonest_ms
            )
        for endpoint_id in endpoint_ids:
            if (
                endpoint_id in self._room_by_id
                and endpoint_id not in isolated_ids
                and endpoint_id not in request.barred_ids
                and stage.max_more_on(endpoint_id) > 0
            ):
                yield self._room_by_id[endpoint_id]

    def _find_stoppables(self):
        """Finds what may be stopped on each endpoint, with its cost."""
        seen_runs = set()
        for room in list(self._room_by_id.values()):
            for booking in room.endpoint.bookings_by_run.values():
                stage = booking.task.stage
                if stage.queue.priority <= _work.URGENT_PRIORITY:
                    continue
                if not stage.step.gang:
                    self._add_stoppable((booking,))
                elif (stage, booking.run) not in seen_runs:
                    seen_runs.add((stage, booking.run))
                    self._add_stoppable(_members(stage, booking.run))

    def _add_stoppable(self, bookings):
        if not all(self._may_stop(one) for one in bookings):
            return
        lost = sum(self.costs.lost_work(one) for one in bookings)
        late_work = 0.0
        if any(self.costs.makes_late(one) for one in bookings):
            late_work = self.costs.job_work(bookings[0].task.stage.entry)
        freed = {}
        for booking in bookings:
            endpoint_id = booking.endpoint_id
            booked = booking.step.booked
            freed[endpoint_id] = (
                freed[endpoint_id] + booked if endpoint_id in freed else booked
            )
        for endpoint_id, resources in freed.items():
            if endpoint_id in self._room_by_id:
                self._room_by_id[endpoint_id].add_stoppable(
                    _preemption_room.Stoppable(
                        bookings, endpoint_id, resources, lost, late_work
                    )
                )

    def _may_stop(self, booking):
        """Whether a run may be stopped, and would not end as soon."""
        task = booking.task
        step = booking.step
        if step.long_running or booking.state is _tasks.RunState.STOPPING:
            return False
        if step.gang and booking.state is not _tasks.RunState.RUNNING:
            return False
        if task.preempted_count >= MAX_PREEMPTIONS_PER_TASK:
            return False
        if self._cell_state.isolated_runs.contains(booking):
            return False
        if self._is_spared(task.stage.entry):
            return False
        ends_ms = _run_forecast.end_ms(booking, self._now_ms)
        return ends_ms > self._soonest_ms

    def _is_spared(self, entry):
        """Whether as many runs of a job were preempted as it has tasks."""
        job_id = entry.job.job_id
        if job_id not in self._is_spared_by_job:
            counts = [
                task.preempted_count
                for stage in entry.stages_by_key.values()
                for task in stage.tasks
            ]
            self._is_spared_by_job[job_id] = sum(counts) >= len(counts)
        return self._is_spared_by_job[job_id]


def _need_key(stage):
    return (stage.step.booked, bool(stage.step.gang))


def _cost(stoppables, late_ids):
    """Returns what stops cost; a job is made late only once.

    `late_ids` gets the jobs that they make late.
    """
    cost = 0.0
    for one in stoppables:
        cost += one.lost
        if one.late_work and one.job_id not in late_ids:
            late_ids.add(one.job_id)
            cost += one.late_work
    return cost


def _members(stage, run):
    """Returns the bookings of all members of a gang's run."""
    return tuple(
        booking
        for task in stage.tasks
        for number, booking in task.bookings_by_run.items()
        if number == run
    )
