"""Compares the leases of simulated endpoints with what the owner counts on."""

CHECK_INTERVAL_MS = 20
ROUNDING_MS = 1


class LeaseWatch:
    """Looks for runs that may outlast the lease that the owner counts on.

    Parameters
    ----------
    simulation : CellSimulation

    Attributes
    ----------
    compared_count : int
        Leases that were compared.
    too_long : list
        Time, endpoint, and by how many milliseconds its lease is too long.
    """

    def __init__(self, simulation):
        self.compared_count = 0
        self.too_long = []
        self._simulation = simulation

    def check(self):
        """Compares the leases now, and at intervals from now on."""
        simulation = self._simulation
        if simulation.owner_up:
            endpoint_by_id = simulation.cell.cell_state.endpoint_by_id
            for endpoint in simulation.endpoint_by_id.values():
                known = endpoint_by_id.get(endpoint.endpoint_id)
                if known is not None and known.bookings_by_run:
                    self._compare(endpoint, known)
        simulation.at(CHECK_INTERVAL_MS, self.check)

    def _compare(self, endpoint, known):
        if not endpoint.run_by_key:
            return
        self.compared_count += 1
        left_ms = (endpoint.deadline_ms - endpoint.clock_ms) / (
            endpoint.clock_rate
        )
        ends_ms = self._simulation.now_ms + left_ms
        excess_ms = ends_ms - known.lease_ends_ms
        if excess_ms > ROUNDING_MS:
            self.too_long.append(
                (self._simulation.now_ms, endpoint.endpoint_id, excess_ms)
            )
