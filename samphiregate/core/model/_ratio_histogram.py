"""Distribution of ratios, such as used against declared, or run times."""

import math

BUCKETS_PER_DOUBLING = 4
MIN_RATIO_LOG2 = -5
MAX_RATIO_LOG2 = 5
BUCKET_COUNT = (MAX_RATIO_LOG2 - MIN_RATIO_LOG2) * BUCKETS_PER_DOUBLING + 1


class RatioHistogram:
    """Histogram of ratios with logarithmic buckets and a bounded total.

    A ratio may be censored: known only to be above a bound, as that of a run
    that was stopped. Quantiles are then those of the product-limit estimate
    (Kaplan and Meier).

    Notes
    -----
    Its 41 counts take 0.4 KB, while an HDR histogram with two significant
    digits over the same range takes 10 KB, and there is one histogram for
    each team, work class and resource, or for each image.
    """

    __slots__ = ("censored", "counts", "quantile_cache", "total")

    def __init__(self):
        self.counts = [0] * BUCKET_COUNT
        self.censored = None  # counts of bounds, once there are any
        self.total = 0
        self.quantile_cache = {}

    def add(self, ratio, window):
        """Adds a ratio; halves all counts at a total of `window`."""
        self.counts[_bucket_of(ratio)] += 1
        self._count_one(window)

    def add_censored(self, bound, window):
        """Adds a ratio of which only a lower bound is known."""
        if self.censored is None:
            self.censored = [0] * BUCKET_COUNT
        self.censored[_bucket_of(bound)] += 1
        self._count_one(window)

    def _count_one(self, window):
        self.total += 1
        self.quantile_cache.clear()
        if self.total >= window:
            self.counts = [count // 2 for count in self.counts]
            self.total = sum(self.counts)
            if self.censored is not None:
                self.censored = [count // 2 for count in self.censored]
                self.total += sum(self.censored)

    def quantile(self, probability):
        """Returns the upper bound of the bucket that contains a quantile.

        Returns 1 if the histogram is empty. If all ratios above a bound are
        censored, no quantile is above that bound.
        """
        if probability not in self.quantile_cache:
            self.quantile_cache[probability] = self._find_quantile(probability)
        return self.quantile_cache[probability]

    def _find_quantile(self, probability):
        if self.censored is not None:
            return self._find_censored_quantile(probability)
        rank = probability * self.total
        cumulative = 0
        for bucket, count in enumerate(self.counts):
            cumulative += count
            if count and cumulative >= rank:
                return _upper_bound_of(bucket)
        return 1.0

    def _find_censored_quantile(self, probability):
        highest = 1.0
        for bucket, surviving in self._survival():
            highest = _upper_bound_of(bucket)
            if 1.0 - surviving >= probability:
                break
        return highest

    def _survival(self):
        """Yields each bucket that has any, and the share that is above it."""
        surviving = 1.0
        at_risk = self.total
        censored = self.censored or [0] * BUCKET_COUNT
        for bucket, count in enumerate(self.counts):
            if not count and not censored[bucket]:
                continue
            surviving *= 1.0 - count / at_risk
            yield bucket, surviving
            at_risk -= count + censored[bucket]


def _bucket_of(ratio):
    if ratio <= 0:
        return 0
    log2_offset = math.log2(ratio) - MIN_RATIO_LOG2
    bucket = math.ceil(log2_offset * BUCKETS_PER_DOUBLING)
    return min(max(bucket, 0), BUCKET_COUNT - 1)


def _upper_bound_of(bucket):
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING + MIN_RATIO_LOG2)
