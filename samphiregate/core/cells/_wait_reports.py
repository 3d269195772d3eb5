"""Logs what long-running tasks without a run wait for."""

import collections

from samphiregate.core.cells import _tasks

REPORT_INTERVAL_MS = 1_000
MIN_WAIT_MS = 1_000  # a shorter wait is not reported
MAX_LINES_PER_REPORT = 20
MAX_LINES_PER_GAP = 10

REASON_BY_STATE = {
    _tasks.RunState.PLANNED: "the store to take the record",
    _tasks.RunState.STARTING: "an answer to the order to start",
    _tasks.RunState.RUNNING: "an inherited run",
    _tasks.RunState.STOPPING: "the end of a run that is stopped",
}
NOT_TRIED = "the first attempt to place it"


class WaitReporter:
    """Reports the waits of a cell, when what a task waits for changes.

    Parameters
    ----------
    cell_state : CellState
    is_backing_off : callable
        Takes an endpoint id and the time; returns whether the endpoint gets
        no tasks because too many failed there.
    """

    def __init__(self, *, cell_state, is_backing_off):
        self._cell_state = cell_state
        self._is_backing_off = is_backing_off
        self._next_ms = 0

    def report(self, now_ms):
        """Logs the waits that changed, one line for each job."""
        run_gaps = self._cell_state.run_gaps
        if now_ms < self._next_ms or not run_gaps.gap_by_id:
            return
        self._next_ms = now_ms + REPORT_INTERVAL_MS
        run_gaps.drop_ended()
        states_by_service = {}
        reported_ids = set()
        for gap in run_gaps.gap_by_id.values():
            job_id = gap.task.task_id.job_id
            if len(reported_ids) >= MAX_LINES_PER_REPORT:
                return
            if job_id in reported_ids or not _is_due(gap, now_ms):
                continue
            reported_ids.add(job_id)
            self._report_one(gap, states_by_service, now_ms)

    def _report_one(self, gap, states_by_service, now_ms):
        service = gap.task.stage.queue.service
        if service not in states_by_service:
            states_by_service[service] = self._endpoint_states(service, now_ms)
        placed = self._cell_state.run_gaps.placed_by_service[service]
        gap.told_reason = _reason(gap)
        gap.told_count += 1
        self._cell_state.log_decision(
            "task waits",
            gap.task.task_id.job_id,
            task=gap.task.task_id.position,
            reason=gap.told_reason,
            waited_ms=now_ms - gap.since_ms,
            inherited=gap.inherited,
            epoch=self._cell_state.epoch,
            placed_meanwhile=placed - gap.placed_before,
            endpoint_states=states_by_service[service],
            **self._run_fields(gap, now_ms),
        )

    def _run_fields(self, gap, now_ms):
        booking = _booking(gap)
        if booking is None:
            return {"run": gap.task.last_run}
        endpoint = self._cell_state.endpoint_by_id[booking.endpoint_id]
        return {
            "run": booking.run,
            "endpoint": booking.endpoint_id,
            "left_ms": max(endpoint.lease_ends_ms - now_ms, 0),
        }

    def _endpoint_states(self, service, now_ms):
        return dict(
            collections.Counter(
                self._endpoint_state(endpoint, now_ms)
                for endpoint in self._cell_state.endpoint_by_id.values()
                if endpoint.registration.service == service
            )
        )

    def _endpoint_state(self, endpoint, now_ms):
        if not endpoint.registered:
            return "unlisted"
        if endpoint.registration.draining:
            return "draining"
        if not self._cell_state.drained_data_centres.accepts(endpoint):
            return "data centre drained"
        if endpoint.failed_polls:
            return "unreachable"
        if not endpoint.has_answered:
            return "not answered yet"
        if endpoint.backoff_until_ms > now_ms or self._is_backing_off(
            endpoint.endpoint_id, now_ms
        ):
            return "backing off"
        return "usable"


def _is_due(gap, now_ms):
    return (
        now_ms - gap.since_ms >= MIN_WAIT_MS
        and gap.told_count < MAX_LINES_PER_GAP
        and _reason(gap) != gap.told_reason
    )


def _reason(gap):
    booking = _booking(gap)
    if booking is not None:
        return REASON_BY_STATE[booking.state]
    waits_for = gap.task.stage.waits_for
    return NOT_TRIED if waits_for is None else waits_for.value


def _booking(gap):
    return next(iter(gap.task.bookings_by_run.values()), None)
