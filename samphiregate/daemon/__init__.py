"""The daemon of an entry VM: settings, wiring and life cycle."""

from samphiregate.daemon._main import main
from samphiregate.daemon._settings import Settings

__all__ = ["Settings", "main"]
