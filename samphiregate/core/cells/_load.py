"""Summary of the load of a cell."""

import collections

from samphiregate.core.cells import _drained_data_centres
from samphiregate.core.cells import _work


def describe(cell_state):
    """Returns the load of a cell, for logs and metrics.

    Parameters
    ----------
    cell_state : CellState

    Returns
    -------
    dict
        Long-running tasks without a run and those that run again; numbers of
        runs lost with their endpoint, by reason; preempted runs, as in
        `PreemptionCounts.describe`; numbers of waits for a better place, by
        what became of them; numbers of waiting tasks by queue and by reason;
        by service, the number of unreachable endpoints and the used shares of
        processors and accelerators; by service and account, the shares of
        `FairShares.describe`; where data centres are drained, the number of
        runs left in each.
    """
    waiting_by_queue = collections.Counter()
    waiting_by_reason = collections.Counter()
    for stage in cell_state.startable_stages.values():
        count = len(stage.startable())
        waiting_by_queue[stage.queue.name] += count
        if stage.waits_for is not None:
            waiting_by_reason[stage.waits_for.value] += count
    used = collections.defaultdict(lambda: _work.ZERO_RESOURCES)
    capacity = collections.defaultdict(lambda: _work.ZERO_RESOURCES)
    unreachable = collections.Counter()
    for endpoint in cell_state.endpoint_by_id.values():
        service = endpoint.registration.service
        capacity[service] += endpoint.registration.capacity
        used[service] += endpoint.registration.capacity - endpoint.free
        unreachable[service] += bool(endpoint.failed_polls)
    return {
        "run_gaps": cell_state.run_gaps.describe(cell_state.now_ms),
        "preemptions": cell_state.preemptions.describe(),
        "runs_lost": dict(cell_state.runs_lost_by_reason),
        "place_waits": dict(cell_state.place_waits),
        "waiting": dict(waiting_by_queue),
        "waits_for": dict(waiting_by_reason),
        "unreachable": dict(unreachable),
        **_describe_drained(cell_state),
        "account_shares": cell_state.fair_shares.describe(),
        "cpu_share": {
            service: round(
                used[service].cpu_millis / max(total.cpu_millis, 1), 2
            )
            for service, total in capacity.items()
        },
        "gpu_share": {
            service: round(used[service].gpus / total.gpus, 2)
            for service, total in capacity.items()
            if total.gpus
        },
    }


def _describe_drained(cell_state):
    runs_by_name = _drained_data_centres.count_runs(cell_state)
    return {"runs_in_drained": runs_by_name} if runs_by_name else {}
