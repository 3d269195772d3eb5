"""Random faults of the endpoints and the owner of a simulated cell."""

import functools

MIN_AWAY_MS = 300
MAX_AWAY_MS = 1_500
MAX_ENTRY_MS = 1_600  # after the start of the process
SILENT_MS = 400
MAX_CUT_MS = 12_000
MAX_OWNERLESS_MS = 2_500


def inject(simulation, kinds):
    """Injects one fault of the kinds; lasting ones end by themselves.

    Parameters
    ----------
    simulation : CellSimulation
    kinds : tuple of callable
        Functions of this module; each takes the simulation and an endpoint.
    """
    rnd = simulation.random
    endpoint = rnd.choice(list(simulation.endpoint_by_id.values()))
    rnd.choice(kinds)(simulation, endpoint)


def restart(simulation, endpoint):
    """Restarts an endpoint, whose entry follows later."""
    endpoint.register_ms = simulation.random.randint(0, MAX_ENTRY_MS)
    endpoint.restart(simulation.random.randint(MIN_AWAY_MS, MAX_AWAY_MS))


def lose_answers(simulation, endpoint):
    """Loses half of the answers of an endpoint for a while."""
    endpoint.unanswered_share = 0.5
    _reset_later(simulation, endpoint, "unanswered_share", 0.0, SILENT_MS)


def cut(simulation, endpoint):
    """Cuts an endpoint off for a while; its runs go on."""
    endpoint.is_partitioned = True
    span_ms = simulation.random.randint(100, MAX_CUT_MS)
    _reset_later(simulation, endpoint, "is_partitioned", False, span_ms)


def change_owner(simulation, endpoint):
    """Lets another owner take over after a while without one."""
    del endpoint
    simulation.kill_owner()
    simulation.run_for(simulation.random.randint(10, MAX_OWNERLESS_MS))
    simulation.take_over()


def _reset_later(simulation, endpoint, name, value, span_ms):
    simulation.at(span_ms, functools.partial(setattr, endpoint, name, value))
