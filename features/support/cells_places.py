"""How the places of tasks change their run time in a simulated cell."""

from features.support import cells_work

RACK_LABEL_INDEX = 1
HOT_RACK = "r0"


def rack_of(endpoint):
    """Returns the rack of a simulated endpoint."""
    return endpoint.labels[RACK_LABEL_INDEX]


def factor(simulation, endpoint, step):
    """Returns the factor by which a task takes longer on an endpoint."""
    if not step.rack or rack_of(endpoint) == step.rack:
        return 1.0
    return simulation.far_x


def slow_if_spread(simulation, started):
    """Slows a gang with `same_rack` once its members are on several racks."""
    if not (started.step.gang and started.step.same_rack):
        return
    members = [
        (endpoint, run)
        for endpoint in simulation.endpoint_by_id.values()
        for run in endpoint.run_by_key.values()
        if (run.job_id, run.run) == (started.job_id, started.run)
    ]
    if len({rack_of(endpoint) for endpoint, _run in members}) < 2:
        return
    work_ms = simulation.work_ms(started.task_id) * simulation.far_x
    for _endpoint, run in members:
        run.ends_ms = run.started_ms + work_ms


class NeverFar:
    """A policy that waits for a near place for ever."""

    def select(self, request, candidates):
        """See `CandidatePolicy.select`."""
        step = request.stage.step
        if step.gang and step.same_rack:
            return self._one_rack(request, candidates)
        if not step.rack:
            return candidates
        return [one for one in candidates if one.endpoint.rack == step.rack]

    @staticmethod
    def _one_rack(request, candidates):
        by_rack = {}
        for one in candidates:
            by_rack.setdefault(one.endpoint.rack, []).append(one)
        need = request.stage.step.booked
        for in_rack in by_rack.values():
            fits = sum(need.count_fitting_in(one.free) for one in in_rack)
            if fits >= len(request.tasks):
                return in_rack
        return []


def wait_for_ever(simulation):
    """Makes the present owner wait for near places for ever."""
    simulation.cell._planner._candidate_policies = (NeverFar(),)


def fill_rack(simulation, rack, until_ms, *, spare=0, told_ms=None):
    """Fills the endpoints of a rack with one task each until a time.

    Parameters
    ----------
    simulation : CellSimulation
    rack : str
    until_ms : int
        From now on.
    spare : int
        Cores that stay free on each endpoint.
    told_ms : int or None
        The caller's estimate; the true time by default.
    """
    endpoints = [
        one
        for one in simulation.endpoint_by_id.values()
        if rack_of(one) == rack
    ]
    cpu = endpoints[0].capacity.cpu_millis - spare * 1_000
    estimate_ms = told_ms or until_ms
    step = cells_work.make_step(
        len(endpoints),
        cpu=cpu,
        estimate_ms=estimate_ms,
        rack=rack,
        most_per_endpoint=1,
    )
    job_id = f"fill-{rack}"
    simulation.factor_by_job[job_id] = (
        until_ms / estimate_ms / simulation.underestimate_factor
    )
    # Urgent, so that it is placed first.
    simulation.submit(cells_work.make_job(job_id, step, priority=0))
    simulation.run_for(50)
