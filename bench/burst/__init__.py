"""Many requests at the same moment, each matched to its own answer."""

from bench.burst._burst import run

__all__ = ["run"]
