"""Plays a trace in virtual time through one owner's scheduling loop."""

import collections
import heapq
import itertools

from bench.decisions import _lifecycle
from bench.decisions import _meter
from bench.decisions import _oracle
from bench.decisions import _records
from bench.decisions import _site
from samphiregate.core import model
from samphiregate.core import placement
from samphiregate.core import queueing

MAX_SKIPS = 16
STARVED_AGAIN_MS = 20_000
TICK_MS = 500
RETRY_WAIT_MS = 10_000


class Player:
    """One play of a trace under one set of policies.

    Parameters
    ----------
    trace : Trace
        What happens.
    arm : Arm
        Who decides.
    """

    def __init__(self, trace, arm):
        self.trace = trace
        self.arm = arm
        self.now_ms = 0
        self.site = _site.Site(trace.workers)
        self.oracle = _oracle.Oracle(trace)
        self.works_by_id = {}
        self.outcome = _records.Outcome(works=trace.works())
        self.total = sum(
            (worker.capacity for worker in trace.workers),
            start=model.Resources(),
        )
        self.largest_capacity = model.Resources(
            max(each.capacity.cpu_millis for each in trace.workers),
            max(each.capacity.memory_mib for each in trace.workers),
            max(each.capacity.accelerators for each in trace.workers),
        )
        self.meter = _meter.Meter(self.total, self.outcome)
        self.running_by_team = {}
        self.starved_ms_by_work = {}
        self._events = []
        self._order = itertools.count()
        self._dirty = False
        self.lifecycle = _lifecycle.Lifecycle(self)

    def at(self, time_ms, callback, *arguments):
        """Calls back at a time."""
        entry = (time_ms, next(self._order), callback, arguments)
        heapq.heappush(self._events, entry)

    def run(self):
        """Plays the trace and returns its outcome."""
        self._begin()
        events = self._events
        while events and events[0][0] <= self.trace.end_ms:
            self.now_ms, _order, callback, arguments = heapq.heappop(events)
            self.meter.advance(self.now_ms)
            callback(*arguments)
            while events and events[0][0] == self.now_ms:
                _time, _order, callback, arguments = heapq.heappop(events)
                callback(*arguments)
            if self._dirty:
                self._dirty = False
                self._dispatch()
                self.meter.note_backlog()
        self.meter.finish(self.trace.end_ms)
        self.outcome.violations = dict(self.oracle.violations)
        return self.outcome

    def wake(self):
        """Asks for a round of starts once this instant's events are in."""
        self._dirty = True

    def limit_left(self, team):
        """Returns how many more tasks a team may have running."""
        limit = self.trace.limit_by_team.get(team)
        if limit is None:
            return 1 << 30
        return limit - self.running_by_team.get(team, 0)

    def _begin(self):
        queue = self.arm.queue
        queue.observe(queueing.CapacityChanged(self.total), 0)
        queue.observe(queueing.WeightsChanged(self.trace.weight_by_team), 0)
        self.lifecycle.begin()
        for work in self.outcome.works:
            self.works_by_id[work.work_id] = work
            self.at(work.arrival_ms, self.lifecycle.arrive, work)
            if work.cancel_ms is not None:
                self.at(work.cancel_ms, self.lifecycle.cancel, work)
        for change in self.trace.foreign:
            self.at(change.at_ms, self.lifecycle.foreign_wants, change)
        self.at(TICK_MS, self._tick)

    def _tick(self):
        self.lifecycle.tick()
        self.wake()
        self.at(self.now_ms + TICK_MS, self._tick)

    def _dispatch(self):
        skipped_items = set()
        skips_by_team = collections.Counter()
        stuck_teams = set()
        failed_needs = []
        while len(skipped_items) < MAX_SKIPS:
            question = queueing.NextItem(
                frozenset(self.meter.limited_teams | stuck_teams),
                frozenset(skipped_items),
            )
            item = self.arm.queue.choose(question, self.now_ms)
            if item is None:
                return
            work = self.works_by_id[item.item_id]
            if not self._try_start(work, failed_needs):
                skipped_items.add(item.item_id)
                skips_by_team[work.team] += 1
                if skips_by_team[work.team] == self.arm.team_skips:
                    stuck_teams.add(work.team)

    def _try_start(self, work, failed_needs):
        if work.units > self.limit_left(work.team):
            if work.units == 1:
                self.meter.limited_teams.add(work.team)
            return False
        booking = self.lifecycle.booking_for(work)
        may_have_kept = work.work_id in self.starved_ms_by_work
        if not (work.urgent or may_have_kept) and any(
            units <= work.units and need.fits_in(booking)
            for units, need in failed_needs
        ):
            return False
        places = self._places_for(work, booking)
        if places is not None:
            return self.lifecycle.start(work, booking, places)
        if work.urgent and self.lifecycle.preempt_for(work, booking):
            return True
        if not work.failed_on:
            failed_needs.append((work.units, booking))
        self._note_starved(work, booking)
        return False

    def _places_for(self, work, booking):
        """Returns places; where the work failed, only after a while."""
        places = self._ask_places(work, booking, frozenset(work.failed_on))
        waited_ms = self.now_ms - work.failed_ms
        if places is None and work.failed_on and waited_ms > RETRY_WAIT_MS:
            places = self._ask_places(work, booking, frozenset())
        return places

    def _ask_places(self, work, booking, excluded):
        policy = self.arm.placement
        if work.units > 1:
            question = placement.PlaceGang(
                work.work_id, booking, work.units, excluded
            )
            return policy.choose(question, self.now_ms)
        question = placement.PlaceTask(
            work.work_id,
            work.work_class,
            booking,
            excluded,
            run_time_ms=work.declared_run_ms,
        )
        worker_id = policy.choose(question, self.now_ms)
        return None if worker_id is None else (worker_id,)

    def _note_starved(self, work, booking):
        starve_ms = self.arm.starve_ms
        if starve_ms is None or self.now_ms - work.queued_ms < starve_ms:
            return
        again_ms = self.starved_ms_by_work.get(work.work_id, 0)
        if self.now_ms < again_ms:
            return
        self.starved_ms_by_work[work.work_id] = self.now_ms + STARVED_AGAIN_MS
        starved = placement.GangStarved(work.work_id, booking, work.units)
        self.arm.placement.observe(starved, self.now_ms)
