"""Free capacity of one worker: capacity less own bookings and foreign use."""

import collections

from samphiregate.core import model
from samphiregate import parameters

NO_RESOURCES = model.Resources()
MAX_DOUBLINGS = 20


def _elementwise_max(first, second):
    return model.Resources(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mib, second.memory_mib),
        max(first.accelerators, second.accelerators),
    )


def _elementwise_min(first, second):
    return model.Resources(
        min(first.cpu_millis, second.cpu_millis),
        min(first.memory_mib, second.memory_mib),
        min(first.accelerators, second.accelerators),
    )


def _cap_below(resources, capacity):
    """Returns the cap on the room after a refused start.

    Each requested amount is capped one unit below `resources`, as the
    amount that was short is not known. An amount that was not requested is
    not capped.
    """
    return model.Resources(
        (resources.cpu_millis or capacity.cpu_millis + 1) - 1,
        (resources.memory_mib or capacity.memory_mib + 1) - 1,
        (resources.accelerators or capacity.accelerators + 1) - 1,
    )


class WorkerAllocation(parameters.Parameterised):
    """Tracks the free capacity of a worker shared with an older scheduler.

    Parameters
    ----------
    worker : model.WorkerInfo
        The worker.
    foreign_memory_ms : int
        How long a foreign amount still counts after it has decreased, in
        milliseconds.
    report_ttl_ms : int
        Age of the last report, in milliseconds, at which the worker no
        longer has room for new work.
    refusal_hold_ms : int
        How long the first refused start caps the room, in milliseconds.
    refusal_hold_cap_ms : int
        Upper bound of the hold time as it doubles, in milliseconds.

    Notes
    -----
    Foreign use is the total of a report less the use of our tasks in the
    same report, both measured at one instant. So a task that is booked but
    not yet reported is in neither and counts once, by its booking; a task
    that is released but still reported is in both and does not count.
    Foreign use increases with the first report that shows it, and decreases
    once all reports within `foreign_memory_ms` show the lower amount.

    Attributes
    ----------
    own_ : model.Resources
        Sum over our tasks of the larger of booking and last reported use.
    orphan_ : model.Resources
        Use by reported tasks of ours that are neither booked nor released,
        for example after a change of owner.
    foreign_ : model.Resources
        Foreign use that is deducted: the maximum of the recent reports.
    """

    parameter_table = {
        "foreign_memory_ms": parameters.Interval(int, 0, 600_000),
        "report_ttl_ms": parameters.Interval(int, 1, 3_600_000),
        "refusal_hold_ms": parameters.Interval(int, 1, 600_000),
        "refusal_hold_cap_ms": parameters.Interval(int, 1, 3_600_000),
    }

    def __init__(
        self,
        worker,
        *,
        foreign_memory_ms=2_000,
        report_ttl_ms=15_000,
        refusal_hold_ms=1_000,
        refusal_hold_cap_ms=60_000,
    ):
        self.worker = worker
        self.foreign_memory_ms = foreign_memory_ms
        self.report_ttl_ms = report_ttl_ms
        self.refusal_hold_ms = refusal_hold_ms
        self.refusal_hold_cap_ms = refusal_hold_cap_ms
        self.check_parameters()
        self.booking_by_task_ = {}
        self.used_by_task_ = {}
        self.own_ = NO_RESOURCES
        self.orphan_ = NO_RESOURCES
        self.foreign_ = NO_RESOURCES
        self.report_ms_ = None
        self.refusals_ = 0
        self.cap_ = None
        self.cap_until_ms_ = 0
        self.refused_ms_ = -1
        self._released = set()
        self._foreign_reports = collections.deque()

    def set_booking(self, task_id, resources):
        """Sets the booking of a task, replacing an earlier one."""
        self.release(task_id)
        self._released.discard(task_id)
        self.booking_by_task_[task_id] = resources
        self.own_ = self.own_ + resources

    def release(self, task_id):
        """Removes the booking of a task that is known not to run."""
        if task_id in self.booking_by_task_:
            self.own_ = self.own_ - self._demand_of(task_id)
            del self.booking_by_task_[task_id]
            self.used_by_task_.pop(task_id, None)
        self._released.add(task_id)

    def observe_report(self, used_total, used_by_task, report_ms, now_ms):
        """Applies a usage report.

        Parameters
        ----------
        used_total : model.Resources
            Total use on the worker, ours and foreign.
        used_by_task : dict of model.TaskId to model.Resources
            Use by each of our tasks, measured at the same instant.
        report_ms : int
            When the use was measured, monotonic milliseconds.
        now_ms : int
            Not used; `report_ms` is on the same clock.

        Notes
        -----
        A report older than the last one is ignored.
        """
        if self.report_ms_ is not None and report_ms < self.report_ms_:
            return
        self.report_ms_ = report_ms
        own_use = sum(used_by_task.values(), start=NO_RESOURCES)
        foreign = _elementwise_max(used_total - own_use, NO_RESOURCES)
        self._foreign_reports.append((report_ms, foreign))
        self._drop_old_reports(report_ms)
        self.foreign_ = self._max_foreign()
        started = used_by_task.keys() & self.booking_by_task_.keys()
        after_refusal = report_ms > self.refused_ms_
        if after_refusal and started - self.used_by_task_.keys():
            self._clear_refusals()
        self._released &= used_by_task.keys()
        orphans = used_by_task.keys() - started - self._released
        orphan_uses = (used_by_task[task] for task in orphans)
        self.orphan_ = sum(orphan_uses, start=NO_RESOURCES)
        self.used_by_task_ = {task: used_by_task[task] for task in started}
        demands = (self._demand_of(task) for task in self.booking_by_task_)
        self.own_ = sum(demands, start=NO_RESOURCES)

    def record_refused_start(self, resources, now_ms):
        """Records that the worker refused a start for lack of room.

        The caller releases the booking of the refused task. The room is
        capped below `resources` for a hold time. The hold time doubles with
        each further refusal, unless no report was measured since the
        previous one. Cap and hold time are reset by a report, measured after
        the refusal, that shows a newly started task.
        """
        if self.report_ms_ is None or self.report_ms_ > self.refused_ms_:
            self.refusals_ += 1
        doublings = min(max(self.refusals_ - 1, 0), MAX_DOUBLINGS)
        hold_ms = self.refusal_hold_ms * 2**doublings
        self.refused_ms_ = now_ms
        cap = _cap_below(resources, self.worker.capacity)
        if self.cap_ is not None and now_ms < self.cap_until_ms_:
            cap = _elementwise_min(cap, self.cap_)
        self.cap_ = cap
        self.cap_until_ms_ = now_ms + min(hold_ms, self.refusal_hold_cap_ms)

    def room(self, now_ms):
        """Returns the resources for new bookings; never negative."""
        if not self._has_fresh_report(now_ms) or self.worker.leaving:
            return NO_RESOURCES
        room = _elementwise_max(self._free_capacity(), NO_RESOURCES)
        if self.cap_ is not None and now_ms < self.cap_until_ms_:
            room = _elementwise_min(room, self.cap_)
        return room

    def excess(self):
        """Returns by how much the worker is overcommitted, or zero.

        Notes
        -----
        Foreign work can't be stopped from here, so this is the amount that
        our own tasks have to give back by being throttled, checkpointed or
        stopped. It is based on the last report alone and the tasks in it:
        room is computed from the largest recent foreign use, but work is
        stopped only for use that was measured at one instant.
        """
        if not self._foreign_reports:
            return NO_RESOURCES
        _report_ms, total = self._foreign_reports[-1]
        for task_id in self.used_by_task_:
            total = total + self._demand_of(task_id)
        return _elementwise_max(total - self.worker.capacity, NO_RESOURCES)

    def _demand_of(self, task_id):
        booking = self.booking_by_task_[task_id]
        used = self.used_by_task_.get(task_id)
        return booking if used is None else _elementwise_max(booking, used)

    def _max_foreign(self):
        total = NO_RESOURCES
        for _report_ms, amount in self._foreign_reports:
            total = _elementwise_max(total, amount)
        return total

    def _free_capacity(self):
        allocated = self.own_ + self.orphan_ + self.foreign_
        return self.worker.capacity - allocated

    def _has_fresh_report(self, now_ms):
        if self.report_ms_ is None:
            return False
        return now_ms - self.report_ms_ < self.report_ttl_ms

    def _drop_old_reports(self, report_ms):
        reports = self._foreign_reports
        oldest_ms = report_ms - self.foreign_memory_ms
        while len(reports) > 1 and reports[0][0] < oldest_ms:
            reports.popleft()

    def _clear_refusals(self):
        self.refusals_ = 0
        self.cap_ = None
