"""Requests whose callers wait at this edge."""

import attrs

from samphiregate.core.requests import _messages


@attrs.define
class PendingRequest:
    """A request that has not been answered.

    Parameters
    ----------
    attempt : int
        Number of the current attempt; 0 before the first.
    owner : str
        Entry VM that holds the attempt; empty while none does.
    waiting_since_ms : int
        Since when the request waits for an owner.
    tried : frozenset of str
        Entry VMs that refused it, ended it unknown or were lost with it.
    refusal : RequestRefused or None
        The last refusal.
    key_withdrawn : bool
        Whether its key was withdrawn after it arrived.
    may_have_run : bool
        Whether an earlier attempt ended with unknown outcome.
    """

    request: _messages.RequestArrived
    team: str
    service: str
    arrived_ms: int
    attempt: int = 0
    owner: str = ""
    waiting_since_ms: int = 0
    tried: frozenset[str] = frozenset()
    refusal: _messages.RequestRefused | None = None
    key_withdrawn: bool = False
    may_have_run: bool = False


class PendingTable:
    """Pending requests, indexed by id, owner and key hash."""

    def __init__(self):
        self.requests_by_id = {}
        self.ids_by_owner = {}
        self.ids_by_key_hash = {}
        self.count_by_team = {}
        self.waiting_ids = {}
        self.body_bytes = 0

    def __len__(self):
        return len(self.requests_by_id)

    def get(self, request_id):
        """Returns the pending request, or None."""
        return self.requests_by_id.get(request_id)

    def add(self, pending):
        """Adds a request that has no owner yet."""
        request = pending.request
        self.requests_by_id[request.request_id] = pending
        self.body_bytes += request.body_bytes
        team = pending.team
        self.count_by_team[team] = self.count_by_team.get(team, 0) + 1
        _add(self.ids_by_key_hash, request.key_hash, request.request_id)

    def remove(self, pending):
        """Removes a request from the table and its indexes."""
        request = pending.request
        self.set_owner(pending, "")
        self.waiting_ids.pop(request.request_id, None)
        del self.requests_by_id[request.request_id]
        self.body_bytes -= request.body_bytes
        self.count_by_team[pending.team] -= 1
        if not self.count_by_team[pending.team]:
            del self.count_by_team[pending.team]
        _discard(self.ids_by_key_hash, request.key_hash, request.request_id)

    def set_owner(self, pending, owner):
        """Sets the entry VM that holds the attempt; empty for none."""
        request_id = pending.request.request_id
        _discard(self.ids_by_owner, pending.owner, request_id)
        pending.owner = owner
        if owner:
            _add(self.ids_by_owner, owner, request_id)
            self.waiting_ids.pop(request_id, None)

    def set_waiting(self, pending, now_ms):
        """Marks a request as waiting for an owner."""
        request_id = pending.request.request_id
        if request_id not in self.waiting_ids:
            self.waiting_ids[request_id] = None
            pending.waiting_since_ms = now_ms

    def with_owner(self, owner):
        """Returns the requests whose attempt an entry VM holds."""
        ids = self.ids_by_owner.get(owner, {})
        return [self.requests_by_id[request_id] for request_id in ids]

    def with_key(self, key_hash):
        """Returns the requests that came with a key."""
        ids = self.ids_by_key_hash.get(key_hash, {})
        return [self.requests_by_id[request_id] for request_id in ids]

    def waiting(self):
        """Returns the requests that wait for an owner."""
        return [
            self.requests_by_id[request_id] for request_id in self.waiting_ids
        ]


def _add(ids_by_name, name, request_id):
    if name:
        ids_by_name.setdefault(name, {})[request_id] = None


def _discard(ids_by_name, name, request_id):
    ids = ids_by_name.get(name)
    if ids is not None:
        ids.pop(request_id, None)
        if not ids:
            del ids_by_name[name]
