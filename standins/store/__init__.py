"""Stand-in of the users' metadata store: keys, watches and leases."""

from standins.store._application import Application
from standins.store._values import Values

__all__ = ["Application", "Values"]
