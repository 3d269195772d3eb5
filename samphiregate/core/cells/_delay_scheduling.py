"""Decides how long tasks wait for a place near their data or their gang.

The load that this answers: steps whose data is on one rack, and gangs that
are slow on several racks, while that rack is full. Placed at once elsewhere,
a task takes `far_x` times as long; waiting costs time too, and may be in vain.

A wait begins only if the expected gain is certain enough to pay for a wrong
estimate: with a gain of G, tasks wait up to half of G. Then a wait in vain
costs at most G/2, and a wait not begun loses at most G/2 if room becomes free
when it is expected. Longer runs far away also take room from other work. That
counts once more than half of the service's room is in use, up to a wait of the
whole of G when it is full.
"""

import collections
import enum

import attrs

from samphiregate.core.cells import _order
from samphiregate.core.cells import _rack_forecast

DEFAULT_MAX_PLACE_WAIT_MS = 5_000
# Of a job with nothing at work, while there is room for it elsewhere.
MAX_IDLE_JOB_WAIT_MS = 2_000
MAX_COMPARED_ENDPOINTS = 16  # far away, whose speeds are averaged


class WaitEnd(enum.Enum):
    """Why tasks no longer wait for a better place."""

    ROOM_LATE = "room there is expected too late"
    RACK_GONE = "no endpoint of the rack accepts tasks"
    TIME_OVER = "the wait took as long as it may"


@attrs.define(eq=False)
class PlaceWait:
    """The wait of a stage's tasks for a place near their data or gang.

    In memory only: after a takeover a wait may begin anew.

    Attributes
    ----------
    began_ms : int
    rack : str
    until_ms : float
        When tasks no longer wait.
    is_over : bool
        Whether it was given up; the stage waits no more then.
    """

    began_ms: int
    rack: str
    until_ms: float
    is_over: bool = False


@attrs.frozen
class PlaceTimes:
    """What a decision about a wait is based on, in milliseconds.

    Parameters
    ----------
    near_ms, far_ms : float
        Expected run time near the data or in one rack, and elsewhere.
    after_ms : float
        Expected time of the steps that depend on this one.
    others_end_ms : float
        When the runs of the step's other tasks are expected to end.
    crowding : float
        How much other work loses by room that is in use, from 0 (there is
        room for all) to 1 (the service is full).
    """

    near_ms: float
    far_ms: float
    after_ms: float = 0.0
    others_end_ms: float = 0.0
    crowding: float = 0.0


def crowding_of(used_share):
    """Returns the crowding of a service by the share of its room in use."""
    return max(0.0, 2 * used_share - 1)


def last_start_ms(times, stage, since_ms, now_ms, *, held_share=0.0):
    """Returns until when it pays to wait for a start near; `now_ms` if not.

    Parameters
    ----------
    times : PlaceTimes
    stage : Stage
    since_ms, now_ms : int
        When the wait began, and the time.
    held_share : float
        Share of the tasks' room that is kept idle, in the mean of the wait.
    """
    far_end_ms = now_ms + times.far_ms
    saved_ms = times.far_ms - times.near_ms
    if saved_ms <= 0:
        return now_ms
    # A step ends with its last task.
    sooner_ms = far_end_ms - max(now_ms + times.near_ms, times.others_end_ms)
    gain_ms = max(sooner_ms, 0.0) + times.crowding * saved_ms
    pays_ms = gain_ms / (2 + times.crowding * held_share)
    until_ms = since_ms + min(pays_ms, saved_ms)
    for end_ms in (stage.due_ms, stage.useful_until_ms):
        last_ms = end_ms - times.after_ms
        if far_end_ms <= last_ms:
            return min(until_ms, last_ms - times.far_ms)
        if now_ms + times.near_ms <= last_ms:
            # Only near can the job still be in time.
            return min(since_ms + saved_ms, last_ms - times.near_ms)
    return until_ms


class DelayScheduling:
    """Leaves out endpoints far away while a wait for a near one pays.

    A `CandidatePolicy` and an `UnplacedPolicy`.

    Parameters
    ----------
    cell_state : CellState
    max_wait_ms : int
        Longest wait of a stage, whatever it would gain; 0 for none.
    """

    def __init__(self, *, cell_state, max_wait_ms=DEFAULT_MAX_PLACE_WAIT_MS):
        self._cell_state = cell_state
        self._max_wait_ms = max_wait_ms
        self._open_stages = {}
        self._forecast_by_rack = {}
        self._without_room_by_rack = collections.defaultdict(list)
        self._crowding_by_usable = {}

    def select(self, request, candidates):
        """See `CandidatePolicy.select`."""
        step = request.stage.step
        if not self._applies(request):
            return candidates
        if step.gang:
            return self._select_for_gang(request, candidates)
        return self._select_for_tasks(request, candidates)

    def handle_unplaced(self, requests, now_ms):
        """Notes the waits that were paid; see `UnplacedPolicy`."""
        self._forecast_by_rack = {}
        self._without_room_by_rack.clear()
        self._crowding_by_usable = {}
        if not self._open_stages:
            return
        unplaced = {id(request.stage) for request in requests}
        for key, stage in list(self._open_stages.items()):
            if stage.entry.state.is_final:
                del self._open_stages[key]
            elif id(stage) not in unplaced and not any(
                task.is_waiting for task in stage.tasks
            ):
                self._note_paid(stage, now_ms)

    def _applies(self, request):
        """Whether tasks of the request may wait for a better place."""
        step = request.stage.step
        return (
            self._cell_state.locality.matters
            and self._max_wait_ms > 0
            and not step.long_running
            and not request.is_restart
            and bool(step.rack or (step.gang and step.same_rack))
        )

    # Tasks that run by themselves

    def _select_for_tasks(self, request, candidates):
        step, now_ms = request.stage.step, request.now_ms
        near, far = [], []
        for one in candidates:
            (near if one.endpoint.rack == step.rack else far).append(one)
        missing = len(request.tasks) - _count_fitting(step, near)
        if missing <= 0:
            return candidates
        if step.rack not in request.usable.endpoints_by_rack():
            self._give_up(request.stage, WaitEnd.RACK_GONE, now_ms)
            return candidates
        if not far:
            self._note_without_room(request, missing)
            self._give_up_late(request.stage, now_ms)
            return candidates
        times = self._times(request, far)
        until_ms = self._until_ms(request.stage, times, now_ms)
        if until_ms <= now_ms:
            self._give_up(request.stage, WaitEnd.TIME_OVER, now_ms)
            return candidates
        forecast = self._forecast(request, step.rack)
        self._claim_for_those_ahead(request, forecast, until_ms)
        slots = self._useful_slots(
            request, forecast, missing, until_ms, now_ms + times.far_ms
        )
        if len(slots) < missing:
            # The step ends with the tasks that go far away.
            times = attrs.evolve(times, others_end_ms=now_ms + times.far_ms)
            until_ms = self._until_ms(request.stage, times, now_ms)
            slots = [one for one in slots if one.at_ms <= until_ms]
        if not slots:
            self._give_up(request.stage, WaitEnd.ROOM_LATE, now_ms)
            return candidates
        forecast.claim(step, slots, times.near_ms)
        self._wait(request.stage, step.rack, times, until_ms, slots, now_ms)
        return near + _limited(step, far, missing - len(slots))

    def _useful_slots(self, request, forecast, count, until_ms, far_end_ms):
        """Returns slots in which tasks end sooner than far away."""
        stage = request.stage
        slots = forecast.slots(
            stage.step, count, until_ms, self._max_on(request)
        )
        run_times = self._cell_state.run_times
        return [
            one
            for one in slots
            if one.at_ms
            + run_times.expected_ms(stage.queue, stage.step, one.endpoint)
            <= far_end_ms
        ]

    def _note_without_room(self, request, count):
        """Notes tasks that want a rack and could go nowhere in this plan."""
        key = (id(request.usable), request.stage.step.rack)
        self._without_room_by_rack[key].append((request, count))

    def _claim_for_those_ahead(self, request, forecast, until_ms):
        """Claims room for tasks ahead in line that could go nowhere else."""
        key = (id(request.usable), request.stage.step.rack)
        for ahead, count in self._without_room_by_rack.pop(key, ()):
            stage = ahead.stage
            slots = forecast.slots(
                stage.step, count, until_ms, self._max_on(ahead)
            )
            run_ms = self._cell_state.run_times.expected_ms(
                stage.queue, stage.step
            )
            forecast.claim(stage.step, slots, run_ms)
            if len(slots) < count:
                # What is behind in line gets nothing in time.
                return

    # Gangs

    def _select_for_gang(self, request, candidates):
        stage, now_ms = request.stage, request.now_ms
        step, count = stage.step, len(request.tasks)
        by_rack = {}
        for one in candidates:
            by_rack.setdefault(one.endpoint.rack, []).append(one)
        racks = [step.rack] if step.rack else list(by_rack)
        fitting = [
            rack
            for rack in racks
            if _count_fitting(step, by_rack.get(rack, ())) >= count
        ]
        if fitting:
            return [one for rack in fitting for one in by_rack[rack]]
        if _count_fitting(step, candidates) < count:
            self._give_up_late(stage, now_ms)
            return candidates
        times = self._times(request, candidates)
        # Room that comes free bit by bit is idle for half of the wait.
        until_ms = self._until_ms(stage, times, now_ms, held_share=0.5)
        if until_ms <= now_ms:
            self._give_up(stage, WaitEnd.TIME_OVER, now_ms)
            return candidates
        slot = self._gang_slot(request, until_ms)
        if slot is None:
            self._give_up(stage, WaitEnd.ROOM_LATE, now_ms)
            return candidates
        at_ms, rack = slot
        first_slot = [_rack_forecast.Slot(at_ms, None)]
        self._wait(stage, rack, times, until_ms, first_slot, now_ms)
        return []

    def _gang_slot(self, request, until_ms):
        """Returns when the gang fits in a rack, and the rack; None if late."""
        stage = request.stage
        racks = request.usable.endpoints_by_rack()
        if stage.step.rack:
            racks = [stage.step.rack]
        elif stage.place_wait is not None:
            # The rack whose room is held for the gang, if it still serves.
            racks = [stage.place_wait.rack, *racks]
        best = None
        max_on = self._max_on(request)
        for rack in racks:
            forecast = self._forecast(request, rack)
            if forecast is None:
                continue
            at_ms = forecast.gang_ms(
                stage.step, len(request.tasks), until_ms, max_on
            )
            if at_ms is None:
                continue
            if stage.place_wait is not None and rack == stage.place_wait.rack:
                return at_ms, rack
            if best is None or at_ms < best[0]:
                best = (at_ms, rack)
        return best

    # What decisions are based on

    def _times(self, request, far):
        """Returns the `PlaceTimes` of a request.

        `far` are candidates that its tasks could take without waiting.
        """
        stage = request.stage
        run_times = self._cell_state.run_times
        compared = far[:MAX_COMPARED_ENDPOINTS]
        locality = self._cell_state.locality
        anywhere_ms = sum(
            run_times.expected_ms(stage.queue, stage.step, one.endpoint)
            / locality.factor(stage.step, one.endpoint)
            for one in compared
        ) / len(compared)
        return PlaceTimes(
            near_ms=run_times.expected_ms(stage.queue, stage.step),
            far_ms=anywhere_ms * locality.far_x,
            after_ms=_order.path_after_ms(
                stage.entry.job, stage.number, run_times
            ),
            others_end_ms=max(
                (
                    booking.sent_ms + booking.expected_ms
                    for task in stage.tasks
                    for booking in task.bookings_by_run.values()
                ),
                default=0.0,
            ),
            crowding=self._crowding(request.usable),
        )

    def _until_ms(self, stage, times, now_ms, *, held_share=0.0):
        """Returns until when the stage may wait; the past if not any more."""
        wait = stage.place_wait
        if wait is not None and wait.is_over:
            return now_ms
        since_ms = now_ms if wait is None else wait.began_ms
        until_ms = last_start_ms(
            times, stage, since_ms, now_ms, held_share=held_share
        )
        if not times.crowding and not any(stage.entry.bookings()):
            until_ms = min(until_ms, since_ms + MAX_IDLE_JOB_WAIT_MS)
        return min(until_ms, since_ms + self._max_wait_ms)

    def _max_on(self, request):
        """Returns a function that tells how many tasks may go somewhere."""
        stage = request.stage

        def max_on(endpoint):
            if stage.queue.advice and (
                endpoint.endpoint_id not in stage.ticket_by_id
            ):
                return 0
            return stage.max_more_on(endpoint.endpoint_id)

        return max_on

    def _forecast(self, request, rack):
        """Returns the forecast of a rack; None if it has no endpoint."""
        key = (id(request.usable), rack)
        if key not in self._forecast_by_rack:
            endpoints = request.usable.endpoints_by_rack().get(rack)
            self._forecast_by_rack[key] = endpoints and (
                _rack_forecast.RackForecast(endpoints, request.now_ms)
            )
        return self._forecast_by_rack[key]

    def _crowding(self, usable):
        """Returns the crowding of a service, computed once in a plan."""
        crowding = self._crowding_by_usable.get(id(usable))
        if crowding is None:
            crowding = crowding_of(usable.used_share())
            self._crowding_by_usable[id(usable)] = crowding
        return crowding

    # The waits of stages

    def _wait(self, stage, rack, times, until_ms, slots, now_ms):
        """Begins the wait of a stage, or updates it."""
        wait = stage.place_wait
        if wait is not None:
            wait.rack, wait.until_ms = rack, until_ms
            return
        stage.place_wait = PlaceWait(now_ms, rack, until_ms)
        entry = stage.entry
        self._open_stages[entry.job.job_id, stage.key] = stage
        self._cell_state.place_waits["begun"] += 1
        self._cell_state.log_decision(
            "place wait begun",
            entry.job.job_id,
            step=stage.key,
            rack=rack,
            near_ms=round(times.near_ms),
            far_ms=round(times.far_ms),
            expected_wait_ms=round(slots[-1].at_ms - now_ms),
            max_wait_ms=round(until_ms - now_ms),
            crowding=round(times.crowding, 2),
        )

    def _give_up_late(self, stage, now_ms):
        """Ends the wait of a stage if it took as long as it may."""
        wait = stage.place_wait
        if wait is not None and now_ms >= wait.until_ms:
            self._give_up(stage, WaitEnd.TIME_OVER, now_ms)

    def _give_up(self, stage, reason, now_ms):
        wait = stage.place_wait
        if wait is None or wait.is_over:
            return
        wait.is_over = True
        entry = stage.entry
        self._open_stages.pop((entry.job.job_id, stage.key), None)
        self._cell_state.place_waits["given up"] += 1
        self._cell_state.log_decision(
            "place wait given up",
            entry.job.job_id,
            step=stage.key,
            rack=wait.rack,
            reason=reason.value,
            waited_ms=now_ms - wait.began_ms,
        )

    def _note_paid(self, stage, now_ms):
        wait, stage.place_wait = stage.place_wait, None
        entry = stage.entry
        del self._open_stages[entry.job.job_id, stage.key]
        self._cell_state.place_waits["paid"] += 1
        self._cell_state.log_decision(
            "place wait paid",
            entry.job.job_id,
            step=stage.key,
            rack=wait.rack,
            waited_ms=now_ms - wait.began_ms,
        )


def _count_fitting(step, candidates):
    need = step.booked
    return sum(
        min(one.max_count, need.count_fitting_in(one.free))
        for one in candidates
    )


def _limited(step, candidates, count):
    """Returns candidates with room for `count` tasks at most.

    Those that would be left with the least room are kept.
    """
    need = step.booked
    kept = []
    ranked = sorted(
        candidates,
        key=lambda one: (
            one.penalty,
            one.free.dominant_share(one.endpoint.registration.capacity),
        ),
    )
    for one in ranked:
        if count <= 0:
            break
        fits = min(one.max_count, need.count_fitting_in(one.free), count)
        kept.append(attrs.evolve(one, max_count=fits))
        count -= fits
    return kept
