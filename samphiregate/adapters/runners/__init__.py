"""The HTTP client of runners."""

from samphiregate.adapters.runners._pool import RunnerPool

__all__ = ["RunnerPool"]
