"""The data centres that operators have drained.

An operator drains a data centre ahead of repairs, and takes it back later.
Until then its endpoints take no starts. What runs there goes on: the request
does not say that the endpoints leave, and work that is stopped without need
is lost to its caller. Long-running tasks, which do not end, are moved; see
`_drain_moves`.
"""

import attrs


@attrs.define(eq=False)
class DrainedDataCentres:
    """The drained data centres, and since when this owner knows.

    Attributes
    ----------
    since_ms_by_name : dict
    empty_names : set of str
        Those in which no run was left at the last look.
    """

    since_ms_by_name: dict = attrs.field(factory=dict)
    empty_names: set = attrs.field(factory=set)

    def accepts(self, endpoint):
        """Whether the data centre of an endpoint takes starts."""
        return endpoint.registration.zone not in self.since_ms_by_name

    def drained_ms(self, endpoint, now_ms):
        """Returns for how long its data centre is drained; None if not."""
        since_ms = self.since_ms_by_name.get(endpoint.registration.zone)
        return None if since_ms is None else now_ms - since_ms


def apply_drained(cell_state, event, now_ms):
    """Applies a `DataCentresDrained` event."""
    since_ms_by_name = cell_state.drained_data_centres.since_ms_by_name
    for name in sorted(event.names - since_ms_by_name.keys()):
        since_ms_by_name[name] = now_ms
        cell_state.log_decision(
            "data centre drained", **describe(cell_state, name)
        )
    for name in sorted(since_ms_by_name.keys() - event.names):
        drained_ms = now_ms - since_ms_by_name.pop(name)
        cell_state.log_decision(
            "data centre taken back",
            **describe(cell_state, name),
            drained_ms=drained_ms,
        )


def report_empty(cell_state, now_ms):
    """Logs which drained data centres have no runs any more."""
    drained = cell_state.drained_data_centres
    if not drained.since_ms_by_name:
        drained.empty_names.clear()
        return
    empty_names = {
        name for name, count in count_runs(cell_state).items() if not count
    }
    for name in sorted(empty_names - drained.empty_names):
        drained_ms = now_ms - drained.since_ms_by_name[name]
        cell_state.log_decision(
            "data centre empty", data_centre=name, drained_ms=drained_ms
        )
    drained.empty_names = empty_names


def describe(cell_state, name):
    """Returns what is in a data centre, for the log.

    Returns
    -------
    dict
        Its name, and the numbers of its endpoints, of the runs that may
        exist there, and of those that are long-running.
    """
    endpoints = [
        one
        for one in cell_state.endpoint_by_id.values()
        if one.registration.zone == name
    ]
    runs = [
        booking
        for one in endpoints
        for booking in one.bookings_by_run.values()
    ]
    return {
        "data_centre": name,
        "endpoints": len(endpoints),
        "runs": len(runs),
        "long_running": sum(one.step.long_running for one in runs),
    }


def count_runs(cell_state):
    """Returns the number of runs left in each drained data centre."""
    return {
        name: describe(cell_state, name)["runs"]
        for name in cell_state.drained_data_centres.since_ms_by_name
    }
