"""Applies changes of the endpoints' registrations to a cell."""

import attrs

from samphiregate.core.cells import _endpoints
from samphiregate.core.cells import _incarnations
from samphiregate.core.cells import _losses


def apply_registered(cell_state, event, now_ms):
    """Applies an `EndpointRegistered` event, new or changed.

    Returns
    -------
    Endpoint or None
        One of whose restart the event tells, and that may have runs still;
        its next answer shows which.
    """
    endpoint = cell_state.endpoint_by_id.get(event.endpoint_id)
    if endpoint is None:
        _release_replaced(cell_state, event.address, now_ms)
        endpoint = _endpoints.Endpoint(event)
        endpoint.update_leave_time(now_ms)
        endpoint.update_cold_time(now_ms)
        cell_state.endpoint_by_id[event.endpoint_id] = endpoint
        cell_state.log_decision(
            "endpoint listed",
            endpoint=event.endpoint_id,
            service=event.service,
            draining=event.draining,
        )
        return None
    if event.draining != endpoint.registration.draining:
        cell_state.log_decision(
            "endpoint draining" if event.draining else "endpoint ready",
            endpoint=event.endpoint_id,
            remaining_ms=event.remaining_ms,
        )
    endpoint.described_unix_ms = event.started_unix_ms
    previous = endpoint.registration
    if (
        event.started_unix_ms
        and event.started_unix_ms < previous.started_unix_ms
    ):
        # The registration was written before a restart that is already
        # known.
        event = attrs.evolve(event, started_unix_ms=previous.started_unix_ms)
    restarted = (
        previous.started_unix_ms
        and event.started_unix_ms > previous.started_unix_ms
    )
    if restarted:
        _losses.release_crashed_runs(
            cell_state,
            endpoint,
            _losses.LossReason.REGISTERED_AGAIN,
            now_ms,
            _incarnations.ended_by_entry(endpoint, event),
        )
        endpoint.reset_incarnation(now_ms)
    endpoint.update_registration(event)
    endpoint.registered = True
    endpoint.update_leave_time(now_ms)
    endpoint.update_cold_time(now_ms)
    return endpoint if restarted and endpoint.bookings_by_run else None


def _release_replaced(cell_state, address, now_ms):
    """Counts the ends of endpoints at whose address another one begins."""
    for endpoint in list(cell_state.endpoint_by_id.values()):
        replaced = endpoint.registration.address == address
        if replaced and endpoint.lapsed_bookings:
            _losses.release_crashed_runs(
                cell_state, endpoint, _losses.LossReason.REPLACED, now_ms
            )
            cell_state.remove_if_idle(endpoint)


def apply_deregistered(cell_state, event):
    """Applies an `EndpointDeregistered` event."""
    endpoint = cell_state.endpoint_by_id.get(event.endpoint_id)
    if endpoint is None:
        return
    endpoint.registered = False
    cell_state.log_decision(
        "endpoint unlisted",
        endpoint=event.endpoint_id,
        runs=len(endpoint.bookings_by_run),
    )
    cell_state.remove_if_idle(endpoint)
