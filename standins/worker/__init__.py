"""A stand-in for the platform's workers."""

from standins.worker._worker import Worker

__all__ = ["Worker"]
