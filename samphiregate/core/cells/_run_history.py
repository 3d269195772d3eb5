"""What the run times of an image have been, against the callers' estimates.

The load that this answers: estimates that are off by half, with a bias of
their own for each image, and images whose new versions take another time.
"""

import collections
import math
import statistics

import attrs

from samphiregate.core.cells import _run_samples
from samphiregate.core import model

MAX_STAGES = 48  # the latest ones count, so that changes are learned anew
MAX_TAIL_RUNS = 400
REFIT_SHARE = 0.1  # of the stages; a fit is made anew after so many changes
# Estimates count as right as long as this number of stages does not tell
# otherwise; a variance or slope is that of estimates as long as little is
# known of them.
PRIOR_STAGES = 2.0
PRIOR_SLOPE_VARIANCE = 0.25
PRIOR_VARIANCE = 0.1  # of logarithms, between stages


@attrs.frozen
class _StageTime:
    """The median run time of a stage; times as logarithms."""

    estimate: float
    median: float
    is_bound: bool
    spread: float | None
    count: int


@attrs.frozen
class Fit:
    """How run times follow from estimates; times as logarithms.

    Parameters
    ----------
    bias : float
        How much longer than estimated runs take in the median.
    slope : float
        Worth of the estimates: 1 if a stage with twice the estimate takes
        twice as long, 0 if it takes no longer.
    centre, reach : float
        Mean estimate, and how far others were from it.
    variance_between : float
        Of the stages, around what is expected of them.
    variance_within : float
        Of the tasks of a stage, around its median.
    """

    bias: float = 0.0
    slope: float = 1.0
    centre: float = 0.0
    reach: float = 0.0
    variance_between: float = PRIOR_VARIANCE
    variance_within: float = PRIOR_VARIANCE

    def expected(self, estimate):
        """Returns the expected run time for an estimate."""
        offset = min(max(estimate - self.centre, -self.reach), self.reach)
        return estimate + self.bias + (self.slope - 1.0) * offset

    @property
    def estimate_weight(self):
        """Number of ended tasks of a stage that count as much as this fit."""
        return self.variance_within / max(self.variance_between, 1e-3)


NO_FIT = Fit()


class RunHistory:
    """The latest stages of one image, or of a queue.

    Attributes
    ----------
    tail : RatioHistogram
        Run times of tasks, relative to what was expected of their stage.
    """

    def __init__(self):
        self._time_by_stage = collections.OrderedDict()
        self.tail = model.RatioHistogram()
        self._fit = NO_FIT
        self._unfitted_count = 0

    def add_stage(self, stage_id, estimate_ms, sample):
        """Adds or replaces the run times of a stage.

        Parameters
        ----------
        stage_id : hashable
        estimate_ms : float
        sample : StageSample
        """
        median = sample.median()
        estimate = math.log(max(estimate_ms, 1))
        time = math.log(max(median.ms, 1))
        if median.is_bound and time <= self.fit().expected(estimate):
            return
        self._time_by_stage[stage_id] = _StageTime(
            estimate,
            time,
            median.is_bound,
            sample.spread(median.ms),
            len(sample.run_time_by_index),
        )
        if len(self._time_by_stage) > MAX_STAGES:
            self._time_by_stage.popitem(last=False)
        self._unfitted_count += 1

    @property
    def stage_count(self):
        """Number of stages that count."""
        return len(self._time_by_stage)

    def fit(self):
        """Returns the `Fit` to the stages, at most a few of them older."""
        if self._unfitted_count > REFIT_SHARE * len(self._time_by_stage):
            self._fit = _fit(list(self._time_by_stage.values()))
            self._unfitted_count = 0
        return self._fit


def _fit(stages):
    """Fits medians to estimates, robustly, with the estimates as prior."""
    clip = _run_samples.clipped
    count = len(stages)
    median_bias = statistics.median(
        one.median - one.estimate for one in stages
    )
    centre = statistics.fmean(one.estimate for one in stages)
    offsets = [one.estimate - centre for one in stages]
    residuals = [
        clip(one.median - one.estimate - median_bias) for one in stages
    ]
    prior = PRIOR_VARIANCE / PRIOR_SLOPE_VARIANCE
    square_sum = sum(offset**2 for offset in offsets)
    product_sum = sum(
        offset * residual
        for offset, residual in zip(offsets, residuals, strict=True)
    )
    change = product_sum / (square_sum + prior)
    change = min(max(change, -1.0), 0.0)
    squares = [
        (residual - change * offset) ** 2
        for offset, residual in zip(offsets, residuals, strict=True)
    ]
    spreads = [one.spread for one in stages if one.spread is not None]
    return Fit(
        bias=median_bias * count / (count + PRIOR_STAGES),
        slope=1.0 + change,
        centre=centre,
        reach=max(map(abs, offsets)),
        variance_between=_with_prior(squares),
        variance_within=_with_prior(spreads),
    )


def _with_prior(squares):
    total = sum(squares) + PRIOR_STAGES * PRIOR_VARIANCE
    return total / (len(squares) + PRIOR_STAGES)
