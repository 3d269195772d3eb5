"""Escrowed tokens of each team's upper limit."""

from samphiregate.core.limits._holder import TokenHolder

__all__ = ["TokenHolder"]
