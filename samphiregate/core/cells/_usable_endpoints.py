"""Endpoints that accept tasks of a service now, indexed by their room."""

import bisect


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
        self._positions = sorted(
            range(len(rooms)), key=lambda position: rooms[position].cpu_millis
        )
        self._cpu_millis = [
            rooms[position].cpu_millis for position in self._positions
        ]

    def fitting(self, need):
        """Returns the endpoints whose room fits `need`, in their order."""
        first = bisect.bisect_left(self._cpu_millis, need.cpu_millis)
        rooms = self._rooms
        positions = [
            position
            for position in self._positions[first:]
            if need.memory_mb <= rooms[position].memory_mb
            and need.gpus <= rooms[position].gpus
        ]
        positions.sort()
        return [self._endpoints[position] for position in positions]


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
        self.capacities = {one.registration.capacity for one in endpoints}
        self._free = RoomIndex(endpoints, [one.free for one in endpoints])
        self._expected_by_ms = {}

    def with_room(self, need):
        """Returns the endpoints with room for a task, in their order."""
        return [
            one for one in self._free.fitting(need) if need.fits_in(one.free)
        ]

    def with_expected_room(self, need, at_ms):
        """Returns the endpoints that are expected to have room at a time."""
        index = self._expected_by_ms.get(at_ms)
        if index is None:
            rooms = [one.expected_room_at(at_ms) for one in self.endpoints]
            index = RoomIndex(self.endpoints, rooms)
            self._expected_by_ms[at_ms] = index
        return index.fitting(need)

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
