"""Tasks of a simulated cell that end the processes of their endpoints."""

import collections
import functools

from samphiregate.core import cells

ENTRY_LIFETIME_MS = 4_500  # of an endpoint whose process has ended


class Crashes:
    """Ends the processes of endpoints that start certain tasks.

    Parameters
    ----------
    simulation : CellSimulation

    Attributes
    ----------
    delay_ms_by_task : dict
        How long after its start a task ends its endpoint's process.
    away_ms : int
        After which the endpoint is back.
    changes_id : bool
        Whether it then has another id, at the same address.
    listeners : list of callable
        Called without arguments at each crash.
    count_by_task : collections.Counter
        Crashes under each of these tasks.
    lost_counts : list of int
        Runs of other tasks that were lost in each crash.
    """

    def __init__(self, simulation):
        self.delay_ms_by_task = {}
        self.away_ms = 3_000
        self.changes_id = False
        self.listeners = []
        self.count_by_task = collections.Counter()
        self.lost_counts = []
        self._simulation = simulation
        self._replaced_count = 0

    def note_start(self, endpoint, key):
        """Ends the endpoint's process later if the task does so."""
        delay_ms = self.delay_ms_by_task.get(key[0])
        if delay_ms is not None:
            crash = functools.partial(
                self._crash, endpoint, endpoint.incarnation, key
            )
            self._simulation.at(delay_ms, crash)

    def _crash(self, endpoint, incarnation, key):
        if endpoint.incarnation != incarnation:
            return
        if key not in endpoint.run_by_key:
            return
        task_id = key[0]
        self.count_by_task[task_id] += 1
        self.lost_counts.append(len(endpoint.run_by_key) - 1)
        self.end_process(endpoint)
        for listener in list(self.listeners):
            listener()

    def end_process(self, endpoint):
        """Ends the process of an endpoint; it is back after `away_ms`."""
        simulation = self._simulation
        if not self.changes_id:
            endpoint.restart(self.away_ms)
            return
        endpoint.leave()
        simulation.at(self.away_ms, functools.partial(self._replace, endpoint))
        gone = cells.EndpointDeregistered(endpoint.endpoint_id)
        simulation.at(
            ENTRY_LIFETIME_MS, functools.partial(simulation.announce, gone)
        )

    def _replace(self, endpoint):
        endpoint.is_replaced = True
        self._replaced_count += 1
        self._simulation.add_endpoint(
            f"{endpoint.endpoint_id}-{self._replaced_count}",
            cpu=endpoint.capacity.cpu_millis,
            labels=endpoint.labels,
            address=endpoint.address,
        )
