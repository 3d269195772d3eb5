"""Keys with revisions, their history, and leases."""

import time

import gevent
import gevent.event


class ConditionError(Exception):
    """An expected revision differs; `items` holds the present rows."""

    def __init__(self, items):
        super().__init__()
        self.items = items


class NoLeaseError(Exception):
    """There is no such lease."""


class Values:
    """What the store holds; watches wait for changes of it."""

    def __init__(self):
        self.revision = 1
        self.row_by_key = {}
        self.events = []
        self._end_s_by_lease = {}
        self._ttl_s_by_lease = {}
        self._changed = gevent.event.Event()

    def set(self, key, value, lease=0):
        """Sets one key; `value` is base64 text."""
        self.commit([], [{"key": key, "value": value, "lease": lease}], [])

    def commit(self, expected, writes, removals):
        """Writes and removes keys if all revisions are as expected."""
        self.end_expired()
        rows = [
            self.row_by_key.get(row["key"], {"key": row["key"], "revision": 0})
            for row in expected
        ]
        if [row["revision"] for row in rows] != [
            row["revision"] for row in expected
        ]:
            raise ConditionError(rows)
        for write in writes:
            if write.get("lease", 0) not in {0, *self._end_s_by_lease}:
                raise NoLeaseError
        self.revision += 1
        for write in writes:
            self._write(write)
        for key in removals:
            self._remove(key)
        self._changed.set()
        self._changed.clear()
        return self.revision

    def _write(self, write):
        before = self.row_by_key.get(write["key"], {})
        row = {
            "key": write["key"],
            "value": write["value"],
            "lease": write.get("lease", 0),
            "revision": self.revision,
            "created_rev": before.get("created_rev", self.revision),
        }
        self.row_by_key[row["key"]] = row
        self.events.append(row)

    def _remove(self, key):
        if self.row_by_key.pop(key, None) is not None:
            self.events.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def rows(self, prefix):
        """Returns the rows under a prefix."""
        self.end_expired()
        keys = sorted(self.row_by_key)
        return [self.row_by_key[key] for key in keys if key.startswith(prefix)]

    def wait_for_events(self, prefix, after, wait_s):
        """Returns the events under a prefix after a revision."""
        end_s = time.monotonic() + wait_s
        while True:
            self.end_expired()
            found = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return found
            self._changed.wait(min(left_s, 0.1))

    def grant(self, ttl_s):
        """Returns the id of a new lease."""
        lease = len(self._ttl_s_by_lease) + 1
        self._ttl_s_by_lease[lease] = ttl_s
        self._end_s_by_lease[lease] = time.monotonic() + ttl_s
        return lease

    def renew(self, lease):
        """Renews a lease; raises `NoLeaseError`."""
        self.end_expired()
        if lease not in self._end_s_by_lease:
            raise NoLeaseError
        ttl_s = self._ttl_s_by_lease[lease]
        self._end_s_by_lease[lease] = time.monotonic() + ttl_s

    def end(self, lease):
        """Ends a lease and removes its keys."""
        self._end_s_by_lease.pop(lease, None)
        keys = [
            key
            for key, row in self.row_by_key.items()
            if row["lease"] == lease
        ]
        if keys:
            self.commit([], [], keys)

    def end_expired(self):
        """Ends the leases whose time has passed."""
        now_s = time.monotonic()
        for lease, end_s in list(self._end_s_by_lease.items()):
            if end_s <= now_s:
                self.end(lease)
