"""A cluster scheduler for unlike workloads that share one site."""

__version__ = "0.1.0"
