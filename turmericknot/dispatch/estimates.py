"""Run-time estimates from finished tasks; all times are in milliseconds."""

import math
from functools import lru_cache

SAMPLE_WINDOW = 48  # observations kept per estimator
REFRESH_SAMPLES = 8  # observations between recalculations of a trusted estimate
PRIOR_WEIGHT_SAMPLES = 2.0  # observations that the declared size counts as
MIN_TRUSTED_SAMPLES = 24  # from this number on the declared size is ignored
MAX_SIZE_CLASS = 24  # sizes from 2**24 ms (4.6 hours) on share one estimator
DEFAULT_RUN_MS = 200.0  # without declaration or observation; middle of the usual range
MIN_MEDIAN_STEP = 0.02  # smallest relative step of the running median
# Observations that the default counts as: the first runs to end are short ones and
# would pull the median down.
MEDIAN_PRIOR_SAMPLES = 20.0


class RunTimeEstimator:
    """Run-time estimate of the tasks of one team, class and declared size."""

    __slots__ = (
        "prior_ms",
        "count",
        "mean_ms",
        "p10_ms",
        "p90_ms",
        "_samples",
        "_unrefreshed",
    )

    def __init__(self, prior_ms):
        self.prior_ms = prior_ms if prior_ms > 0 else DEFAULT_RUN_MS
        self.count = 0
        self.mean_ms = self.p10_ms = self.p90_ms = self.prior_ms
        self._samples = []
        self._unrefreshed = 0


class RunningMedian:
    """Approximate median that is updated in constant time and memory."""

    __slots__ = ("value", "count")

    def __init__(self):
        self.value = DEFAULT_RUN_MS
        self.count = 0


@lru_cache(maxsize=1024)
def size_class(declared_ms):
    """Return the size class of a declared run time; its tasks share an estimator."""
    if declared_ms <= 1.0:
        return 0
    return min(MAX_SIZE_CLASS, round(math.log2(declared_ms)))


def observe_run_time(estimator, run_ms):
    """Add the run time of a finished task to an estimator."""
    samples = estimator._samples
    if len(samples) < SAMPLE_WINDOW:
        samples.append(run_ms)
    else:
        samples[estimator.count % SAMPLE_WINDOW] = run_ms
    estimator.count += 1
    estimator._unrefreshed += 1
    if (
        estimator._unrefreshed >= REFRESH_SAMPLES
        or estimator.count <= MIN_TRUSTED_SAMPLES
    ):
        _update_estimates(estimator)


def _update_estimates(estimator):
    estimator._unrefreshed = 0
    ordered = sorted(estimator._samples)
    size = len(ordered)
    estimator.mean_ms = _blend(estimator, sum(ordered) / size)
    estimator.p10_ms = _blend(estimator, ordered[size // 10])
    estimator.p90_ms = _blend(estimator, ordered[size * 9 // 10])


def _blend(estimator, observed_ms):
    """Return the weighted mean of an observed figure and the declared run time.

    The mean is geometric, so that a declaration that is wrong by a factor of 10 has
    the same weight whether it is too high or too low.
    """
    if estimator.count >= MIN_TRUSTED_SAMPLES or observed_ms <= 0:
        return observed_ms
    share = PRIOR_WEIGHT_SAMPLES / (PRIOR_WEIGHT_SAMPLES + estimator.count)
    return estimator.prior_ms**share * observed_ms ** (1.0 - share)


def update_median(median, run_ms):
    """Move the running median one step towards a run time."""
    if run_ms <= 0:
        return
    median.count += 1
    step = max(MIN_MEDIAN_STEP, 1.0 / (median.count + MEDIAN_PRIOR_SAMPLES))
    if run_ms > median.value:
        median.value *= 1.0 + step
    elif run_ms < median.value:
        median.value /= 1.0 + step


def is_long(estimator, median, long_factor):
    """Return whether tasks of this estimator count as long work."""
    return estimator.mean_ms > long_factor * median.value
