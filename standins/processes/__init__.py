"""Starts processes for demos, tests and measurements, and ends them."""

from standins.processes._processes import free_endpoint
from standins.processes._processes import free_endpoints
from standins.processes._processes import LANE_VARIABLE
from standins.processes._processes import Process
from standins.processes._processes import ProcessGroup
from standins.processes._processes import StartError
from standins.processes._processes import wait_until

__all__ = [
    "LANE_VARIABLE",
    "Process",
    "ProcessGroup",
    "StartError",
    "free_endpoint",
    "free_endpoints",
    "wait_until",
]
