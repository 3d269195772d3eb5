"""Table of endpoints, with constant-time sampling of their ids."""

import attrs

IDLE_LOAD = 0.1


@attrs.define
class Endpoint:
    """Last reported load of one endpoint."""

    endpoint_id: str
    free: int = 0
    load: float = 0.0
    latency_ms: float = 0.0

    def score(self):
        """Returns the latency in ms, weighted by load; lower is better.

        `IDLE_LOAD` keeps the latency in the score of an idle endpoint.
        """
        return (IDLE_LOAD + self.load) * max(self.latency_ms, 1.0)


class SampledSet:
    """Set from which a random member can be drawn in constant time."""

    def __init__(self):
        self._members = []
        self._index_by_member = {}

    def __len__(self):
        return len(self._members)

    def __iter__(self):
        return iter(self._members)

    def __contains__(self, member):
        return member in self._index_by_member

    def add(self, member):
        """Adds a member; does nothing if it is already in the set."""
        if member not in self._index_by_member:
            self._index_by_member[member] = len(self._members)
            self._members.append(member)

    def discard(self, member):
        """Removes a member if it is in the set."""
        index = self._index_by_member.pop(member, None)
        if index is None:
            return
        last = self._members.pop()
        if index < len(self._members):
            self._members[index] = last
            self._index_by_member[last] = index

    def draw(self, random_state):
        """Returns a random member; raises ValueError if the set is empty."""
        return self._members[random_state.randrange(len(self._members))]


class EndpointTable:
    """Endpoints that a routing policy chooses from."""

    def __init__(self):
        self.endpoints_by_id = {}
        self.all_ids = SampledSet()
        self.free_ids = SampledSet()

    def update(self, event):
        """Applies an `EndpointChanged`; adds the endpoint if it is new."""
        endpoint = self.endpoints_by_id.get(event.endpoint_id)
        if endpoint is None:
            endpoint = Endpoint(event.endpoint_id)
            self.endpoints_by_id[event.endpoint_id] = endpoint
            self.all_ids.add(event.endpoint_id)
        endpoint.free = event.free
        endpoint.load = event.load
        endpoint.latency_ms = event.latency_ms
        if event.free > 0:
            self.free_ids.add(event.endpoint_id)
        else:
            self.free_ids.discard(event.endpoint_id)

    def remove(self, event):
        """Applies an `EndpointRemoved`."""
        self.endpoints_by_id.pop(event.endpoint_id, None)
        self.all_ids.discard(event.endpoint_id)
        self.free_ids.discard(event.endpoint_id)

    def candidates(self, question):
        """Returns the ids of endpoints with free slots, or of all.

        `excluded` is not applied.
        """
        return self.free_ids if question.only_free else self.all_ids
