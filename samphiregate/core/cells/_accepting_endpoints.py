"""Finds the endpoints that accept tasks, once in a plan."""

import collections

from samphiregate.core.cells import _usable_endpoints


class UsableByStage:
    """The endpoints that accept tasks of a stage.

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
        self._usable_by_key = {}
        self._last_usable_by_key = {}
        self._accepting_by_service = None

    def find(self, stage, now_ms, *, ignores_failures=False):
        """Returns the endpoints that accept tasks of the stage now.

        Free capacity, tickets and held endpoints are not considered; nor is
        the backoff after failed tasks if `ignores_failures`. The result is
        the same for all stages of a service and label in one plan.
        """
        key = (
            stage.queue.service,
            stage.step.required_label,
            ignores_failures,
        )
        usable = self._usable_by_key.get(key)
        if usable is None:
            endpoints = self._find_endpoints(*key, now_ms)
            usable = self._last_usable_by_key.get(key)
            if usable is None or not usable.same_endpoints(endpoints):
                usable = _usable_endpoints.UsableEndpoints(endpoints)
            usable.renew()
            self._usable_by_key[key] = usable
        return usable

    def begin_plan(self):
        """Begins a plan, for which the usable endpoints are found anew."""
        self._accepting_by_service = None
        if self._usable_by_key:
            self._last_usable_by_key = self._usable_by_key
            self._usable_by_key = {}

    def _find_endpoints(self, service, label, ignores_failures, now_ms):
        if self._accepting_by_service is None:
            self._accepting_by_service = self._find_accepting(now_ms)
        return [
            endpoint
            for endpoint, backs_off in self._accepting_by_service[service]
            if (ignores_failures or not backs_off)
            and (not label or label in endpoint.registration.labels)
        ]

    def _find_accepting(self, now_ms):
        """Returns rows of an endpoint and whether it backs off, by service."""
        by_service = collections.defaultdict(list)
        accepts_starts = self._cell_state.accepts_starts
        for endpoint in self._cell_state.endpoint_by_id.values():
            if (
                accepts_starts(endpoint)
                and endpoint.backoff_until_ms <= now_ms
            ):
                backs_off = self._is_backing_off(endpoint.endpoint_id, now_ms)
                row = (endpoint, backs_off)
                by_service[endpoint.registration.service].append(row)
        return by_service
