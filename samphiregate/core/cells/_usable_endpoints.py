"""Endpoints that accept tasks of a service now, indexed by their room."""

import bisect

MAX_CACHED_NEEDS = 500


class RoomIndex:
    """Finds the endpoints with room for a task without looking at all.

    Parameters
    ----------
    endpoints : list of Endpoint
    rooms : list of Resources
        Upper bound of the room of each.
    """

    def __init__(self, endpoints, rooms):
        self._endpoints = endpoints
        self._rooms = rooms
        by_cpu = sorted(
            (room.cpu_millis, position) for position, room in enumerate(rooms)
        )
        self._cpu_millis = [cpu_millis for cpu_millis, _position in by_cpu]
        self._positions = [position for _cpu_millis, position in by_cpu]

    def fitting(self, need):
        """Returns the endpoints whose room fits `need`, in their order."""
        positions = sorted(self._fitting_positions(need))
        return [self._endpoints[position] for position in positions]

    def most_room_first(self, need):
        """Yields the endpoints whose room fits, the most processors first."""
        for position in self._fitting_positions(need)[::-1]:
            yield self._endpoints[position]

    def _fitting_positions(self, need):
        first = bisect.bisect_left(self._cpu_millis, need.cpu_millis)
        rooms = self._rooms
        return [
            position
            for position in self._positions[first:]
            if need.memory_mb <= rooms[position].memory_mb
            and need.gpus <= rooms[position].gpus
        ]


class UsableEndpoints:
    """Endpoints that accept tasks of a service during one plan.

    No room may become free while it is in use.

    Parameters
    ----------
    endpoints : list of Endpoint

    Attributes
    ----------
    endpoints : list of Endpoint
    position_by_id : dict
        Position in `endpoints`, by endpoint id.
    capacities : set of Resources
        The distinct capacities.
    """

    def __init__(self, endpoints):
        self.endpoints = endpoints
        self.position_by_id = {
            one.endpoint_id: position for position, one in enumerate(endpoints)
        }
        self._free_index = None
        self._expected_by_ms = {}
        self._endpoints_by_rack = None
        self._ids_large_for = {}
        self._capacities = [one.registration.capacity for one in endpoints]
        self.capacities = set(self._capacities)

    def same_endpoints(self, endpoints):
        """Whether these are the endpoints, with unchanged capacities."""
        return endpoints == self.endpoints and self._capacities == [
            one.registration.capacity for one in endpoints
        ]

    def renew(self):
        """Begins another plan on the same endpoints."""
        self._free_index = None
        self._endpoints_by_rack = None
        self._expected_by_ms = {}
        if len(self._ids_large_for) > MAX_CACHED_NEEDS:
            self._ids_large_for.clear()

    def with_room(self, need):
        """Returns the endpoints with room for a task, in their order."""
        return [
            one for one in self._free().fitting(need) if need.fits_in(one.free)
        ]

    def has_room(self, need):
        """Whether any endpoint has room for a task."""
        return any(
            need.fits_in(one.free)
            for one in self._free().most_room_first(need)
        )

    def _free(self):
        if self._free_index is None:
            rooms = [one.free for one in self.endpoints]
            self._free_index = RoomIndex(self.endpoints, rooms)
        return self._free_index

    def with_expected_room(self, need, at_ms):
        """Returns the endpoints that are expected to have room at a time."""
        index = self._expected_by_ms.get(at_ms)
        if index is None:
            rooms = [one.expected_room_at(at_ms) for one in self.endpoints]
            index = RoomIndex(self.endpoints, rooms)
            self._expected_by_ms[at_ms] = index
        return index.fitting(need)

    def endpoints_by_rack(self):
        """Returns lists of the endpoints, keyed by rack."""
        if self._endpoints_by_rack is None:
            by_rack = {}
            for one in self.endpoints:
                by_rack.setdefault(one.rack, []).append(one)
            self._endpoints_by_rack = by_rack
        return self._endpoints_by_rack

    def in_rack(self, rack):
        """Returns the `UsableEndpoints` of one rack."""
        return UsableEndpoints(self.endpoints_by_rack().get(rack, []))

    def used_share(self):
        """Returns the share of their scarcest resource that is in use."""
        free = [one.free for one in self.endpoints]
        return max(
            _used_share(
                sum(getattr(one, name) for one in free),
                sum(getattr(one, name) for one in self._capacities),
            )
            for name in ("cpu_millis", "memory_mb", "gpus")
        )

    def large_enough(self, need):
        """Returns the endpoints whose capacity fits a task."""
        return [
            one
            for one in self.endpoints
            if need.fits_in(one.registration.capacity)
        ]

    def named(self, endpoint_ids):
        """Returns those with one of the ids, in their order."""
        positions = self.position_by_id
        chosen = [positions[one] for one in endpoint_ids if one in positions]
        chosen.sort()
        return [self.endpoints[position] for position in chosen]

    def named_with_room(self, endpoint_ids, need):
        """Returns those with one of the ids and room for a task."""
        positions = self.position_by_id
        fitting = [
            positions[one]
            for one in endpoint_ids
            if one in positions
            and need.fits_in(self.endpoints[positions[one]].free)
        ]
        fitting.sort()
        return [self.endpoints[position] for position in fitting]

    def ids_large_for(self, need, min_share):
        """Returns the ids of those of whose capacity a task takes much.

        Parameters
        ----------
        need : Resources
        min_share : float
            Least share of the capacity.
        """
        ids = self._ids_large_for.get((need, min_share))
        if ids is None:
            ids = frozenset(
                one.endpoint_id
                for one in self.large_enough(need)
                if need.dominant_share(one.registration.capacity) >= min_share
            )
            self._ids_large_for[need, min_share] = ids
        return ids


def count_expected(stage, endpoints, at_ms):
    """Returns for how many tasks of a stage room is expected at a time.

    Parameters
    ----------
    stage : Stage
    endpoints : iterable of Endpoint
    at_ms : float
    """
    need = stage.step.booked
    return sum(
        min(
            need.count_fitting_in(one.expected_room_at(at_ms)),
            stage.max_more_on(one.endpoint_id),
        )
        for one in endpoints
    )


def _used_share(free, capacity):
    if not capacity:
        return 0.0
    return min(max(1 - free / capacity, 0.0), 1.0)
