"""A small site under a mixed load, from nothing to a table of results."""

from standins.demo._demo import main
from standins.demo._shares import shares_due

__all__ = ["main", "shares_due"]
