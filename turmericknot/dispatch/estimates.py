"""Run-time estimates learned from finished tasks; all times in milliseconds."""

import math
from functools import lru_cache

SAMPLES = 48  # observations kept per estimator
REFRESH_EVERY = 8  # observations between two sorts of a full window
PRIOR_SAMPLES = 2.0  # weight of a declared size against observations
TRUSTED_SAMPLES = 24  # from here on the declared size is ignored
MAX_BUCKET = 24  # sizes from 2**24 ms (4.6 hours) share one estimator
DEFAULT_MS = 200.0  # without declaration or observation; middle of the usual range
MEDIAN_STEP = 0.02  # relative step of the running median
MEDIAN_PRIOR = 20.0  # observations that the default is worth; short tasks end first


class Estimator:
    """Hold the last run times of one team, class and declared size."""

    __slots__ = ("prior", "count", "mean", "low", "high", "_ring", "_fresh")

    def __init__(self, prior):
        self.prior = prior if prior > 0 else DEFAULT_MS
        self.count = 0
        self.mean = self.low = self.high = self.prior
        self._ring = []
        self._fresh = 0


class Median:
    """Hold a running median that costs the same for any number of values."""

    __slots__ = ("value", "count")

    def __init__(self):
        self.value = DEFAULT_MS
        self.count = 0


@lru_cache(maxsize=1024)
def bucket(declared_ms):
    """Return the size class of a declaration: tasks in it share an estimator."""
    if declared_ms <= 1.0:
        return 0
    return min(MAX_BUCKET, round(math.log2(declared_ms)))


def observe(estimator, run_ms):
    """Add the run time of a finished task."""
    ring = estimator._ring
    if len(ring) < SAMPLES:
        ring.append(run_ms)
    else:
        ring[estimator.count % SAMPLES] = run_ms
    estimator.count += 1
    estimator._fresh += 1
    if estimator._fresh >= REFRESH_EVERY or estimator.count <= TRUSTED_SAMPLES:
        _refresh(estimator)


def _refresh(estimator):
    estimator._fresh = 0
    ordered = sorted(estimator._ring)
    size = len(ordered)
    estimator.mean = _blend(estimator, sum(ordered) / size)
    estimator.low = _blend(estimator, ordered[size // 10])
    estimator.high = _blend(estimator, ordered[size * 9 // 10])


def _blend(estimator, learned):
    """Mix a learned figure with the declared one.

    The mean is geometric: a declaration that is wrong by a factor of 10 then
    weighs the same whether it is too high or too low.
    """
    if estimator.count >= TRUSTED_SAMPLES or learned <= 0:
        return learned
    share = PRIOR_SAMPLES / (PRIOR_SAMPLES + estimator.count)
    return estimator.prior**share * learned ** (1.0 - share)


def observe_median(median, run_ms):
    """Move the running median one step towards a value."""
    if run_ms <= 0:
        return
    median.count += 1
    step = max(MEDIAN_STEP, 1.0 / (median.count + MEDIAN_PRIOR))
    if run_ms > median.value:
        median.value *= 1.0 + step
    elif run_ms < median.value:
        median.value /= 1.0 + step


def is_long(estimator, median, long_factor):
    """Tell whether tasks of this estimator count as long work."""
    return estimator.mean > long_factor * median.value
