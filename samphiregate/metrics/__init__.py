"""Counters and histograms of a VM: sent to statsd, or read as text."""

from samphiregate.metrics._metrics import HistogramSummary
from samphiregate.metrics._metrics import Metrics
from samphiregate.metrics._vm import PATH
from samphiregate.metrics._vm import VmMetrics

__all__ = ["HistogramSummary", "Metrics", "PATH", "VmMetrics"]
