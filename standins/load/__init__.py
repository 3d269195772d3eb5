"""Sends an open-loop load to entry VMs and records what came back."""

from standins.load._balancer import Balancer
from standins.load._load import LoadResult
from standins.load._load import Outcome
from standins.load._load import RequestLoad
from standins.load._load import run_loads
from standins.load._load import send_at_once

__all__ = [
    "Balancer",
    "LoadResult",
    "Outcome",
    "RequestLoad",
    "run_loads",
    "send_at_once",
]
