"""Restores the runs that an earlier owner may have started."""

import attrs

from samphiregate.core.cells import _endpoints
from samphiregate.core.cells import _leases
from samphiregate.core.cells import _losses
from samphiregate.core.cells import _messages
from samphiregate.core.cells import _run_gaps
from samphiregate.core.cells import _tasks
from samphiregate.core.cells import _work


def restore(cell_state, entry, record, now_ms):
    """Reserves room for the runs that the record of a job names.

    The first poll shows which of them exist: from then on the endpoint has
    seen the new epoch and refuses late start orders of earlier owners. That
    holds also if the endpoint has restarted since the incarnation that the
    record names: the earlier owner may not have known of it when it ordered
    the start. A run that is no longer needed is stopped, as the stop that an
    earlier owner ordered may not have reached the endpoint.

    Parameters
    ----------
    cell_state : CellState
    entry : JobEntry
    record : JobRecord
    now_ms : int
    """
    for stage_record in record.stages:
        key = (stage_record.occurrence, stage_record.step)
        stage = entry.stages_by_key[key]
        for index, run, endpoint_id in stage_record.placed:
            endpoint = _find_endpoint(cell_state, entry, record, endpoint_id)
            _restore_run(
                cell_state, endpoint, record, stage.tasks[index], run, now_ms
            )
        for index, run, endpoint_id in stage_record.lapsed:
            endpoint = _find_endpoint(cell_state, entry, record, endpoint_id)
            _restore_lapsed_run(
                cell_state, endpoint, record, stage.tasks[index], run, now_ms
            )


def log_restored(cell_state, entry):
    """Logs the runs that are long-running or no longer needed."""
    told = [
        booking
        for booking in entry.bookings()
        if booking.step.long_running or not booking.task.needs_run
    ]
    if told:
        cell_state.log_decision(
            "runs restored",
            entry.job.job_id,
            state=entry.state.value,
            restored=_run_gaps.describe_runs(told),
        )


def _restore_run(cell_state, endpoint, record, task, run, now_ms):
    until_ms = cell_state.inherited_leases.inherit(
        endpoint.endpoint_id, now_ms
    )
    endpoint.expect_lease(until_ms)
    if _has_restarted(endpoint, record):
        # It may have got the order by the clock before.
        longest_ms = _leases.max_lease_ms(cell_state.max_hold_ms)
        endpoint.expect_lease(now_ms + longest_ms)
    booking = cell_state.reserve(task, run, endpoint, now_ms)
    # Counts as confirmed, so that the first poll releases the run if the
    # endpoint does not list it.
    booking.state = _tasks.RunState.RUNNING
    booking.confirmed_ms = now_ms
    booking.order_answered_ms = now_ms
    booking.incarnation_unix_ms = record.started_unix_ms_by_id.get(
        endpoint.endpoint_id, 0
    )
    booking.is_inherited = True
    if not task.needs_run:
        cell_state.stop(booking, now_ms)


def _restore_lapsed_run(cell_state, endpoint, record, task, run, now_ms):
    booking = _tasks.Booking(
        task,
        run,
        endpoint.endpoint_id,
        now_ms,
        confirmed_ms=now_ms,
        expected_ms=cell_state.run_times.expected_stage_ms(
            task.stage, endpoint
        ),
        is_inherited=True,
    )
    _losses.add_lapsed(endpoint, booking, now_ms)
    if _has_restarted(endpoint, record):
        _losses.release_crashed_runs(
            cell_state, endpoint, _losses.LossReason.RESTARTED, now_ms, []
        )


def _find_endpoint(cell_state, entry, record, endpoint_id):
    """Returns the endpoint of a run, in the incarnation that started it.

    Its entry in the store may be gone, or of an earlier incarnation.
    """
    started_unix_ms = record.started_unix_ms_by_id.get(endpoint_id, 0)
    endpoint = cell_state.endpoint_by_id.get(endpoint_id)
    if endpoint is None:
        registration = _messages.EndpointRegistered(
            endpoint_id,
            entry.job.queue.service,
            record.address_by_id.get(endpoint_id, ""),
            "",
            _work.ZERO_RESOURCES,
            started_unix_ms=started_unix_ms,
        )
        endpoint = _endpoints.Endpoint(registration, registered=False)
        cell_state.endpoint_by_id[endpoint_id] = endpoint
    elif endpoint.registration.started_unix_ms < started_unix_ms:
        endpoint.registration = attrs.evolve(
            endpoint.registration, started_unix_ms=started_unix_ms
        )
    return endpoint


def _has_restarted(endpoint, record):
    """Whether an endpoint has begun anew since a run was placed on it."""
    placed_on = record.started_unix_ms_by_id.get(endpoint.endpoint_id, 0)
    return 0 < placed_on < endpoint.registration.started_unix_ms
