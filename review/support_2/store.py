"""Stand-in of the platform's metadata store, after the page PROTOCOL."""

import asyncio
import base64
import bisect
import json
import time

from support_2 import web

PREFIX = "/samphiregate/"
PAGE_ITEMS = 500
VALUE_BYTES = 1_048_576  # platform.value_bytes


class Store:
    """Keys with revisions, watches and leases.

    Parameters
    ----------
    answer_ms : int
        Time that an answer takes.

    Attributes
    ----------
    fault : callable or None
        Takes the name of a call and its document; returns None, or the
        seconds after which the call is executed while it gets no answer.
    refused_values : int
        Transactions that were refused as a value was too large.
    """

    def __init__(self, answer_ms=4):
        self.answer_ms = answer_ms
        self.fault = None
        self.revision = 1
        self.calls = {}
        self.refused_values = 0
        self._item_by_key = {}
        self._sorted_keys = []
        self._events = []
        self._event_revisions = []
        self._ttl_s_by_lease = {}
        self._end_s_by_lease = {}
        self._keys_by_lease = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._server = web.Server(self._answer)
        self._expiry = None

    async def start(self):
        """Begins to serve; returns the address."""
        await self._server.start()
        self._expiry = asyncio.ensure_future(self._expire())
        return self._server.address

    def close(self):
        """Stops."""
        self._expiry.cancel()
        self._server.close()

    # Access of the platform itself

    def put(self, key, value):
        """Writes a key for the operator or a runner; `value` is bytes."""
        self._commit([(key, value, 0)], [])

    def put_all(self, rows):
        """Writes rows of key and value, each under a revision of its own."""
        for key, value in rows:
            self._commit([(key, value, 0)], [])

    def remove(self, key):
        """Removes a key for the operator or a runner."""
        if key in self._item_by_key:
            self._commit([], [key])

    def value(self, key):
        """Returns the value of a key; None without one."""
        item = self._item_by_key.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def keys(self, prefix):
        """Returns the keys under a prefix."""
        first = bisect.bisect_left(self._sorted_keys, prefix)
        found = []
        for key in self._sorted_keys[first:]:
            if not key.startswith(prefix):
                break
            found.append(key)
        return found

    # Calls

    async def _answer(self, request):
        name, _slash, argument = request.path.removeprefix(PREFIX).partition(
            "/"
        )
        document = request.json()
        self.calls[name] = self.calls.get(name, 0) + 1
        await asyncio.sleep(self.answer_ms / 1000)
        late_s = self.fault and self.fault(name, document)
        if late_s is not None:
            asyncio.get_running_loop().call_later(
                late_s, self._execute, name, argument, document
            )
            return web.NO_ANSWER
        if name == "kv-watch":
            return await self._watch(request.query)
        if name == "kv-key":
            return self._get(request.query["key"])
        if name == "kv-range":
            return self._range(request.query)
        return self._execute(name, argument, document)

    def _execute(self, name, argument, document):
        if name == "kv-txn":
            return self._transact(document)
        if name == "kv-lease":
            return self._grant(document)
        lease = int(argument)
        if name == "kv-keep":
            if lease not in self._end_s_by_lease:
                return 404, {}
            ttl_s = self._ttl_s_by_lease[lease]
            self._end_s_by_lease[lease] = time.monotonic() + ttl_s
            return 200, {"ttl_ms": round(ttl_s * 1000)}
        self._end(lease)
        return 200, {}

    def _get(self, key):
        item = self._item_by_key.get(key)
        if item is None:
            return 404, {"current_rev": self.revision}
        return 200, {**item, "current_rev": self.revision}

    def _range(self, query):
        prefix = query["prefix"]
        after = query.get("after", "")
        if after:
            first = bisect.bisect_right(self._sorted_keys, after)
        else:
            first = bisect.bisect_left(self._sorted_keys, prefix)
        keys = []
        more = False
        for key in self._sorted_keys[first:]:
            if not key.startswith(prefix):
                break
            if len(keys) == PAGE_ITEMS:
                more = True
                break
            keys.append(key)
        return 200, {
            "items": [self._item_by_key[key] for key in keys],
            "more_pages": more,
            "current_rev": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            first = bisect.bisect_right(self._event_revisions, after)
            current = self.revision
            found = [
                event
                for event in self._events[first:]
                if event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "current_rev": current}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def _transact(self, document):
        expected = document["expected_rev"]
        writes = document["set_keys"]
        removals = document["remove"]
        if any(_size(write["value"]) > VALUE_BYTES for write in writes):
            self.refused_values += 1
            return 413, {}
        if len(expected) + len(writes) + len(removals) > 32:
            return 400, {}
        present = [
            self._item_by_key.get(row["key"])
            or {"key": row["key"], "revision": 0}
            for row in expected
        ]
        if [row["revision"] for row in present] != [
            row["revision"] for row in expected
        ]:
            return 412, {"items": present}
        for write in writes:
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
            if write.get("lease", 0) not in {0, *self._end_s_by_lease}:
                return 404, {}
        rows = [
            (
                write["key"],
                base64.b64decode(write["value"]),
                write.get("lease", 0),
            )
            for write in writes
        ]
        self._commit(rows, removals)
        return 200, {"revision": self.revision}

    def _commit(self, rows, removals):
        self.revision += 1
        for key, value, lease in rows:
            before = self._item_by_key.get(key)
            if before is None:
                bisect.insort(self._sorted_keys, key)
            elif before["lease"]:
                self._keys_by_lease[before["lease"]].discard(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created_rev": before["created_rev"]
                if before
                else self.revision,
                "lease": lease,
            }
            if lease:
                self._keys_by_lease[lease].add(key)
            self._item_by_key[key] = item
            self._add_event(item)
        for key in removals:
            before = self._item_by_key.pop(key, None)
            if before is None:
                continue
            position = bisect.bisect_left(self._sorted_keys, key)
            del self._sorted_keys[position]
            if before["lease"]:
                self._keys_by_lease[before["lease"]].discard(key)
            self._add_event(
                {"key": key, "revision": self.revision, "tombstone": True}
            )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _add_event(self, event):
        self._events.append(event)
        self._event_revisions.append(self.revision)

    def _grant(self, document):
        self._last_lease += 1
        ttl_s = max(document["ttl_ms"], 1_000) / 1000
        self._ttl_s_by_lease[self._last_lease] = ttl_s
        self._end_s_by_lease[self._last_lease] = time.monotonic() + ttl_s
        self._keys_by_lease[self._last_lease] = set()
        return 200, {
            "lease": self._last_lease,
            "ttl_ms": round(ttl_s * 1000),
        }

    def _end(self, lease):
        if self._end_s_by_lease.pop(lease, None) is None:
            return
        keys = sorted(self._keys_by_lease[lease])
        if keys:
            self._commit([], keys)
        del self._keys_by_lease[lease]

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, end_s in list(self._end_s_by_lease.items()):
                if end_s <= now_s:
                    self._end(lease)


def _size(value):
    """Returns the number of bytes of a value in base64."""
    return len(value) * 3 // 4 - value[-2:].count("=")


def encode(document):
    """Returns a document as the platform stores it."""
    return json.dumps(document).encode()
