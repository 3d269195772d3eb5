"""A stand-in for the older scheduler, which drains over time."""

from standins.older._scheduler import OlderScheduler

__all__ = ["OlderScheduler"]
