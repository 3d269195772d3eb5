"""The configuration used by this VM; it never reverts to an older one."""

import collections

from samphiregate import errors
from samphiregate import keys


class ConfigurationHolder:
    """Holds the newest valid configuration.

    Parameters
    ----------
    decode : callable
        Decodes a `SiteConfiguration`; raises `BadInputError`.
    on_change : callable
        Called after a newer configuration was applied.
    log : DecisionLog

    Attributes
    ----------
    current : SiteConfiguration or None
    """

    def __init__(self, *, decode, on_change, log):
        self.current = None
        self._decode = decode
        self._on_change = on_change
        self._log = log
        self._routes_by_host = {}

    def apply_change(self, change):
        """Applies a change of the configuration's key.

        Keeps the current configuration if the key was removed, the new value
        cannot be decoded, or its version is not newer.
        """
        if change.item is None:
            self._log.write("configuration removed, the last one is kept")
            return
        try:
            newest = self._decode(change.item.value)
        except errors.BadInputError as error:
            self._log.write(
                "configuration refused",
                revision=change.revision,
                reason=error.detail,
            )
            return
        previous = self.current
        if previous is not None and newest.version <= previous.version:
            return
        self.current = newest
        self._routes_by_host = _by_host(newest.routes)
        self._log.write(
            "configuration taken",
            version=newest.version,
            before=previous.version if previous else None,
            routes=len(newest.routes),
        )
        self._on_change()

    def find_route(self, host, path):
        """Returns the route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key):
        """Returns the client account of a key, or None if it is unknown."""
        if self.current is None or not key:
            return None
        return self.current.account_by_key_hash.get(keys.hash_key(key))


def _by_host(routes):
    by_host = collections.defaultdict(list)
    for route in routes:
        by_host[route.host].append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.prefix))
    return dict(by_host)
