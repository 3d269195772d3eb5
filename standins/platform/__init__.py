"""A stand-in of the platform: key-value service and lagging fleet list.

Run with ``python -m standins.platform``; the protocol is described in
docs/design/0001-architecture.md.
"""

from standins.platform._application import Application
from standins.platform._faults import Faults
from standins.platform._fleet import FleetList
from standins.platform._server import make_server
from standins.platform._server import serve
from standins.platform._values import KeyValues

__all__ = [
    "Application",
    "Faults",
    "FleetList",
    "KeyValues",
    "make_server",
    "serve",
]
