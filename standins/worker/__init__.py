"""A stand-in for the platform's workers."""

from standins.worker._application import Application
from standins.worker._application import build_workers
from standins.worker._worker import Worker

__all__ = ["Application", "Worker", "build_workers"]
