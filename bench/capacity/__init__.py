"""Slopes of what entry VMs keep and spend, for ``docs/CAPACITY.md``."""
