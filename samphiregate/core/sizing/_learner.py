"""Learns the ratio of used to declared resources."""

import math

from samphiregate.core import base
from samphiregate.core import model
from samphiregate.core.sizing import _messages
from samphiregate import parameters


class SizeLearner(base.Policy):
    """Computes bookings between the declared size and the observed use.

    Parameters
    ----------
    quantile : float
        Share of the observed tasks whose use a booking should cover.
    confident_samples : int
        Tasks after which observed and declared sizes have equal weight.
    window : int
        Observed tasks of one team and work class after which all counts
        are halved, so that older tasks lose weight.
    random_state : random.Random or None
        Unused; accepted so that policies are interchangeable.

    Notes
    -----
    Accelerators are booked as declared, because they can't be shared.
    """

    parameter_table = {
        "quantile": parameters.Interval(float, 0.5, 1.0),
        "confident_samples": parameters.Interval(int, 1, 100_000),
        "window": parameters.Interval(int, 2, 1_000_000),
    }

    def __init__(
        self,
        *,
        quantile=0.95,
        confident_samples=10,
        window=1_000,
        random_state=None,
    ):
        self.quantile = quantile
        self.confident_samples = confident_samples
        self.window = window
        self.random_state = random_state
        self.check_parameters()
        self.histograms_by_kind_ = {}

    @base.singledispatchmethod
    def observe(self, event, now_ms):
        """Applies `UsageObserved`; other events are ignored."""

    @observe.register
    def _(self, event: _messages.UsageObserved, now_ms):
        kind = (event.team, event.work_class)
        histograms = self.histograms_by_kind_.get(kind)
        if histograms is None:
            histograms = (model.RatioHistogram(), model.RatioHistogram())
            self.histograms_by_kind_[kind] = histograms
        declared, used = event.declared, event.used
        cpu, memory = histograms
        if declared.cpu_millis > 0:
            ratio = used.cpu_millis / declared.cpu_millis
            cpu.add(ratio, self.window)
        if declared.memory_mib > 0:
            ratio = used.memory_mib / declared.memory_mib
            memory.add(ratio, self.window)

    @base.singledispatchmethod
    def choose(self, question, now_ms):
        """Returns the resources to book for a `ComputeBooking`.

        Raises TypeError for any other question.
        """
        raise TypeError(
            f"expected ComputeBooking, not {type(question).__name__}"
        )

    @choose.register
    def _(self, question: _messages.ComputeBooking, now_ms):
        declared = question.declared
        kind = (question.team, question.work_class)
        histograms = self.histograms_by_kind_.get(kind)
        booking = declared
        if histograms is not None:
            cpu, memory = histograms
            booking = model.Resources(
                self._booking(declared.cpu_millis, cpu),
                self._booking(declared.memory_mib, memory),
                declared.accelerators,
            )
        if question.capacity is not None:
            booking = _clipped(booking, question.capacity)
        return booking

    def describe(self):
        """Returns the factors and sample count of each team and work class."""
        return {
            "policy": "size-learner",
            "kinds": {
                f"{team}/{work_class.value}": {
                    "samples": cpu.total,
                    "cpu": round(self._factor(cpu), 4),
                    "memory": round(self._factor(memory), 4),
                }
                for (team, work_class), (
                    cpu,
                    memory,
                ) in self.histograms_by_kind_.items()
            },
        }

    def _factor(self, histogram):
        samples = histogram.total
        if not samples:
            return 1.0
        observed = histogram.quantile(self.quantile)
        weight = samples / (samples + self.confident_samples)
        return 1.0 + (observed - 1.0) * weight

    def _booking(self, declared, histogram):
        return math.ceil(declared * self._factor(histogram))


def _clipped(booking, capacity):
    return model.Resources(
        min(booking.cpu_millis, capacity.cpu_millis),
        min(booking.memory_mib, capacity.memory_mib),
        min(booking.accelerators, capacity.accelerators),
    )
