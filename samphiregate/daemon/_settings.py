"""Settings of the daemon: flags, variables and their checks."""

import ipaddress
import secrets
import typing

import attrs
import cappa

from samphiregate import errors
from samphiregate import logs

VARIABLE_PREFIX = "SAMPHIREGATE_"
SHORTEST_SECRET_BYTES = 16
LONGEST_SECRET_BYTES = 64
LONGEST_ID = 64
LOG_LEVELS = ("debug", "info", "warning", "error")


def _flag(name, help_text, default=cappa.Empty):
    variable = VARIABLE_PREFIX + name.replace("-", "_").upper()
    return cappa.Arg(
        long=f"--{name}",
        help=help_text,
        default=cappa.Env(variable, default=default),
    )


@cappa.command(
    name="samphiregated",
    help="Runs one entry VM. Each flag has a variable SAMPHIREGATE_<FLAG>.",
)
@attrs.define(kw_only=True)
class Settings:
    """Settings of one entry VM; flags go before variables.

    Raises
    ------
    SettingError
        From `check`, naming the first flag that cannot be used.
    """

    data_centre: typing.Annotated[
        str, _flag("data-centre", "Name of this VM's data centre.")
    ]
    platform: typing.Annotated[
        str, _flag("platform", "ip:port of the platform's service.")
    ]
    secret: typing.Annotated[
        str,
        _flag("secret", "Secret that all entry VMs share, 16 to 64 bytes."),
    ]
    vm_id: typing.Annotated[
        str, _flag("vm-id", "Unique id; made at random when empty.", "")
    ]
    http_listen: typing.Annotated[
        str, _flag("http-listen", "ip:port for callers.", "127.0.0.1:8080")
    ]
    http_advertise: typing.Annotated[
        str,
        _flag(
            "http-advertise",
            "ip:port told to others; http-listen if empty.",
            "",
        ),
    ]
    peer_listen: typing.Annotated[
        str, _flag("peer-listen", "ip:port for entry VMs.", "127.0.0.1:8081")
    ]
    peer_advertise: typing.Annotated[
        str,
        _flag(
            "peer-advertise",
            "ip:port told to others; peer-listen if empty.",
            "",
        ),
    ]
    tls_certificate: typing.Annotated[
        str,
        _flag(
            "tls-certificate", "PEM file for callers; plain HTTP if empty.", ""
        ),
    ]
    tls_key: typing.Annotated[
        str, _flag("tls-key", "PEM file with the certificate's key.", "")
    ]
    operator_networks: typing.Annotated[
        str,
        _flag(
            "operator-networks",
            "Networks that see the state of all teams, by commas.",
            "127.0.0.0/8",
        ),
    ]
    statsd: typing.Annotated[
        str, _flag("statsd", "ip:port of statsd; none if empty.", "")
    ]
    log_format: typing.Annotated[
        str, _flag("log-format", "text or json.", "text")
    ]
    log_level: typing.Annotated[
        str, _flag("log-level", "One of: " + ", ".join(LOG_LEVELS), "info")
    ]
    shard_count: typing.Annotated[
        int,
        _flag("shard-count", "Shards a data centre; the same on all VMs.", 64),
    ]
    tick_ms: typing.Annotated[
        int, _flag("tick-ms", "Period of the state machines, ms.", 200)
    ]
    fleet_poll_ms: typing.Annotated[
        int,
        _flag(
            "fleet-poll-ms",
            "Period of reading the list of machines, ms.",
            1_000,
        ),
    ]
    lease_ms: typing.Annotated[
        int, _flag("lease-ms", "Lease of a running task, ms.", 15_000)
    ]
    renew_ms: typing.Annotated[
        int, _flag("renew-ms", "Period of renewing leases, ms.", 5_000)
    ]
    max_body_bytes: typing.Annotated[
        int, _flag("max-body-bytes", "Largest request body, bytes.", 1_048_576)
    ]
    longest_deadline_ms: typing.Annotated[
        int,
        _flag(
            "longest-deadline-ms", "Longest deadline of a request, ms.", 60_000
        ),
    ]
    max_connections: typing.Annotated[
        int, _flag("max-connections", "Callers' connections at a time.", 2_000)
    ]
    notice_ms: typing.Annotated[
        int,
        _flag(
            "notice-ms",
            "How long calls are still taken after SIGTERM, ms.",
            2_000,
        ),
    ]
    drain_ms: typing.Annotated[
        int,
        _flag("drain-ms", "Longest graceful stop after SIGTERM, ms.", 30_000),
    ]
    offline_ms: typing.Annotated[
        int,
        _flag(
            "offline-ms",
            "How long keys are accepted with no news of withdrawals, ms.",
            14_400_000,
        ),
    ]
    seed: typing.Annotated[
        int, _flag("seed", "Seed of random choices; 0 takes one.", 0)
    ]

    def check(self):
        """Checks every setting and fills in what is derived."""
        self.vm_id = self.vm_id or self._make_id()
        self.seed = self.seed or secrets.randbits(32)
        _check_name("data-centre", self.data_centre)
        _check_name("vm-id", self.vm_id)
        _check_secret(self.secret)
        for name in ("platform", "http_listen", "peer_listen"):
            _check_endpoint(_dashed(name), getattr(self, name))
        for name in ("http_advertise", "peer_advertise", "statsd"):
            if getattr(self, name):
                _check_endpoint(_dashed(name), getattr(self, name))
        for network in self.networks():
            _check_network("operator-networks", network)
        _check_choice("log-format", self.log_format, _LOG_FORMATS)
        _check_choice("log-level", self.log_level, LOG_LEVELS)
        if bool(self.tls_certificate) != bool(self.tls_key):
            raise errors.SettingError(
                "tls-key", "certificate and key go together"
            )
        for name, (low, high) in _BOUNDS_BY_NAME.items():
            _check_bounds(_dashed(name), getattr(self, name), low, high)
        if self.renew_ms * 2 > self.lease_ms:
            raise errors.SettingError(
                "renew-ms", "a lease must outlast two renewals"
            )

    def networks(self):
        """Returns the operators' networks."""
        return tuple(filter(None, self.operator_networks.split(",")))

    def _make_id(self):
        return f"{self.data_centre}-{secrets.token_hex(6)}"


_LOG_FORMATS = tuple(option.value for option in logs.LogFormat)

_BOUNDS_BY_NAME = {
    "shard_count": (1, 4_096),
    "tick_ms": (10, 1_000),
    "fleet_poll_ms": (100, 60_000),
    "lease_ms": (1_000, 600_000),
    "renew_ms": (100, 300_000),
    "max_body_bytes": (1, 8_388_608),
    "longest_deadline_ms": (100, 600_000),
    "max_connections": (1, 100_000),
    "drain_ms": (100, 600_000),
    "notice_ms": (0, 60_000),
    "offline_ms": (1_000, 2_592_000_000),
    "seed": (1, 2**64),
}


def _dashed(name):
    return name.replace("_", "-")


def _check_name(flag, value):
    allowed = value.replace("-", "").replace("_", "").replace(".", "")
    if not allowed.isalnum() or len(value) > LONGEST_ID:
        raise errors.SettingError(
            flag, "use 1 to 64 letters, digits, dots, dashes"
        )


def _check_secret(secret):
    length = len(secret.encode())
    if not SHORTEST_SECRET_BYTES <= length <= LONGEST_SECRET_BYTES:
        raise errors.SettingError("secret", "must have 16 to 64 bytes")


def _check_endpoint(flag, value):
    host, colon, port = value.rpartition(":")
    if not (host and colon and port.isdigit() and int(port) < 65_536):
        raise errors.SettingError(flag, f"{value!r} is not ip:port")


def _check_network(flag, value):
    try:
        ipaddress.ip_network(value)
    except ValueError as error:
        raise errors.SettingError(flag, str(error)) from error


def _check_choice(flag, value, options):
    if value not in options:
        raise errors.SettingError(flag, f"use one of {', '.join(options)}")


def _check_bounds(flag, value, low, high):
    if not low <= value <= high:
        raise errors.SettingError(flag, f"{value} is outside {low} to {high}")
