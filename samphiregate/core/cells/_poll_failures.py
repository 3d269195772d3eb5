"""Applies polls that failed to the state of a cell."""

from samphiregate.core.cells import _incarnations
from samphiregate.core.cells import _losses
from samphiregate.core.cells import _messages

RETRY_MS = 300  # the first retry is sent at once
MIN_FAILED_POLLS = 2  # until an endpoint that has answered counts as silent


def apply_failure(cell_state, endpoint, event, now_ms):
    """Applies a `PollFailed` event.

    Parameters
    ----------
    cell_state : CellState
    endpoint : Endpoint
    event : PollFailed
    now_ms : int
    """
    endpoint.next_poll_ms = now_ms + (RETRY_MS if endpoint.failed_polls else 0)
    if event.fenced:
        cell_state.add_action(_messages.StepDown(event.endpoint_id))
        return
    endpoint.failed_polls += 1
    if endpoint.failed_polls == 1:
        endpoint.unreachable_since_ms = now_ms
        _log_unreachable(cell_state, endpoint, event, now_ms)
    if event.process_gone and _incarnations.concerns_present(endpoint, event):
        _losses.release_crashed_runs(
            cell_state, endpoint, _losses.LossReason.PROCESS_ENDED, now_ms
        )
        endpoint.reset_incarnation(now_ms)
        cell_state.remove_if_idle(endpoint)
    elif _is_silent(endpoint):
        cell_state.inherited_leases.record_silence(event.endpoint_id)


def _log_unreachable(cell_state, endpoint, event, now_ms):
    cell_state.log_decision(
        "endpoint unreachable",
        endpoint=event.endpoint_id,
        process_gone=event.process_gone,
        reason=event.reason,
        runs=len(endpoint.bookings_by_run),
        left_ms=max(endpoint.lease_ends_ms - now_ms, 0),
        inherited=not endpoint.has_answered,
    )


def _is_silent(endpoint):
    """Whether later owners are to know that an endpoint is silent.

    One lost answer does not show that; an endpoint that is listed gets no
    tasks until the store no longer lists it.
    """
    if not endpoint.has_answered:
        return True
    return bool(
        endpoint.failed_polls >= MIN_FAILED_POLLS and endpoint.bookings_by_run
    )
