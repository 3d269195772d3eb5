"""The list of entry VMs, workers and runners, which lags."""

import collections

ID_FIELD_BY_KIND = {
    "entry_vms": "vm_id",
    "workers": "worker_id",
    "runners": "runner_id",
}


class FleetList:
    """A list whose changes show only after a lag.

    Parameters
    ----------
    lag_ms : int
        Time until a change shows.
    clock_ms : callable
        Returns the time in milliseconds.
    """

    def __init__(self, *, lag_ms, clock_ms):
        self.lag_ms = lag_ms
        self.version = 1
        self._clock_ms = clock_ms
        self._shown = {kind: {} for kind in ID_FIELD_BY_KIND}
        self._pending = collections.deque()

    def put(self, kind, document):
        """Adds an entry, or replaces the one of the same id."""
        entry_id = document[ID_FIELD_BY_KIND[kind]]
        self._change(kind, entry_id, document)

    def remove(self, kind, entry_id):
        """Removes an entry."""
        self._change(kind, entry_id, None)

    def put_all(self, documents):
        """Replaces the whole list by `documents`, lists keyed by kind."""
        for kind, id_field in ID_FIELD_BY_KIND.items():
            wanted = {
                document[id_field]: document
                for document in documents.get(kind, [])
            }
            for entry_id in self._ids(kind) - wanted.keys():
                self.remove(kind, entry_id)
            for document in wanted.values():
                self.put(kind, document)

    def document(self, data_centre=None):
        """Returns what shows now.

        Parameters
        ----------
        data_centre : str or None
            Leaves out the workers and runners of other data centres.
        """
        self.show_due()
        return {
            kind: [
                _entry_for(entry, data_centre)
                for entry in self._shown[kind].values()
                if data_centre in (None, entry.get("data_centre"))
                or kind == "entry_vms"
            ]
            for kind in ID_FIELD_BY_KIND
        }

    def show_due(self):
        """Lets every change show whose lag is over."""
        now_ms = self._clock_ms()
        while self._pending and self._pending[0][0] <= now_ms:
            _due_ms, kind, entry_id, document = self._pending.popleft()
            if document is None:
                self._shown[kind].pop(entry_id, None)
            else:
                self._shown[kind][entry_id] = document
            self.version += 1

    def _ids(self, kind):
        ids = set(self._shown[kind])
        for _due_ms, changed_kind, entry_id, document in self._pending:
            if changed_kind == kind:
                (ids.discard if document is None else ids.add)(entry_id)
        return ids

    def _change(self, kind, entry_id, document):
        due_ms = self._clock_ms() + self.lag_ms
        self._pending.append((due_ms, kind, entry_id, document))


def _entry_for(entry, data_centre):
    """Returns an entry as one data centre sees it.

    Tests put proxies between data centres: the others are shown
    ``remote_peer_endpoint``, if there is one, as the peer endpoint.
    """
    remote = entry.get("remote_peer_endpoint")
    if remote is None or data_centre in (None, entry["data_centre"]):
        return entry
    return {**entry, "peer_endpoint": remote}
