"""Carries exchanges with workers over HTTP."""

from samphiregate.adapters.workers._codec import decode_report
from samphiregate.adapters.workers._codec import encode_exchange
from samphiregate.adapters.workers._exchanges import WorkerExchanges

__all__ = ["WorkerExchanges", "decode_report", "encode_exchange"]
