"""Carries exchanges with workers over HTTP."""

from samphiregate.adapters.workers._codec import decode_report
from samphiregate.adapters.workers._codec import encode_exchange

__all__ = ["decode_report", "encode_exchange"]
