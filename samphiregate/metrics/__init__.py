"""Counters and histograms, kept in the process and sent to statsd."""

from samphiregate.metrics._metrics import HistogramSummary
from samphiregate.metrics._metrics import Metrics

__all__ = ["HistogramSummary", "Metrics"]
