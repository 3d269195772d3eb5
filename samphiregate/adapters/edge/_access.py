"""Who a caller is: the team of its key, or an operator by its address."""

import ipaddress

from samphiregate.adapters.edge import _headers
from samphiregate import errors

STARTED_RETRY_MS = 1_000


class Access:
    """Tells the team of a call, and whether it comes from an operator.

    Parameters
    ----------
    configuration_replica : ConfigurationReplica
        Keys in force.
    operator_networks : tuple of str
        Networks whose callers see the state of every team.
    """

    def __init__(self, *, configuration_replica, operator_networks):
        self._replica = configuration_replica
        self._networks = tuple(
            ipaddress.ip_network(name) for name in operator_networks
        )

    def team_of(self, environ):
        """Returns the team of the key that came along.

        Raises
        ------
        SamphiregateError
            Without a key that is in force.
        """
        team = self.team_or_none(environ)
        if team is None:
            raise errors.SamphiregateError(
                errors.ErrorCode.KEY_REFUSED, "this call needs a key"
            )
        return team

    def team_or_none(self, environ):
        """Returns the team of the key, or None without a key.

        Raises
        ------
        SamphiregateError
            If a key came along that is not in force.
        """
        key_hash = _headers.key_hash(environ)
        if not key_hash:
            return None
        if not self._replica.can_verify_keys:
            raise errors.UnavailableError(
                "this entry VM cannot judge keys now",
                retry_after_ms=STARTED_RETRY_MS,
            )
        team = self._replica.team_for_key_hash(key_hash)
        if team is None:
            raise errors.SamphiregateError(
                errors.ErrorCode.KEY_REFUSED,
                "the key is unknown or was withdrawn",
            )
        return team

    def is_operator(self, environ):
        """Returns whether the call comes from an operator's network."""
        address = ipaddress.ip_address(environ.get("REMOTE_ADDR", "0.0.0.0"))
        return any(address in network for network in self._networks)
