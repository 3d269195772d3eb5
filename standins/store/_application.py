"""HTTP interface of the store."""

import urllib.parse

import gevent
import orjson

from standins.store import _values

PREFIX = "/samphiregate/"


class Application:
    """WSGI application of a store.

    Parameters
    ----------
    values : Values
    delay_s : callable
        Returns how long the next call but watches and renewals takes.
    """

    def __init__(self, values, delay_s=lambda: 0):
        self.values = values
        self.delay_s = delay_s

    def __call__(self, environ, start_response):
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        data = environ["wsgi.input"].read()
        name, _slash, argument = (
            environ["PATH_INFO"].removeprefix(PREFIX).partition("/")
        )
        call = getattr(self, "_" + name.replace("-", "_"))
        if name not in ("kv-watch", "kv-keep"):
            gevent.sleep(self.delay_s())
        try:
            document = call(
                argument, query, orjson.loads(data) if data else {}
            )
            status = "200 OK" if document is not None else "404 Not Found"
        except _values.ConditionError as error:
            status = "412 Precondition Failed"
            document = {"items": error.items}
        except _values.NoLeaseError:
            status, document = "404 Not Found", {}
        body = orjson.dumps(document or {})
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    def _kv_key(self, _argument, query, _document):
        self.values.end_expired()
        return self.values.row_by_key.get(query["key"])

    def _kv_range(self, _argument, query, _document):
        items = [
            row
            for row in self.values.rows(query["prefix"])
            if row["key"] > query.get("after", "")
        ]
        return {
            "items": items,
            "more_pages": False,
            "current_rev": self.values.revision,
        }

    def _kv_watch(self, _argument, query, _document):
        events = self.values.wait_for_events(
            query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
        )
        return {"events": events, "current_rev": self.values.revision}

    def _kv_txn(self, _argument, _query, document):
        revision = self.values.commit(
            document["expected_rev"], document["set_keys"], document["remove"]
        )
        return {"revision": revision}

    def _kv_lease(self, _argument, _query, document):
        ttl_ms = document["ttl_ms"]
        return {"lease": self.values.grant(ttl_ms / 1000), "ttl_ms": ttl_ms}

    def _kv_keep(self, argument, _query, _document):
        self.values.renew(int(argument))
        return {}

    def _kv_lease_end(self, argument, _query, _document):
        self.values.end(int(argument))
        return {}
