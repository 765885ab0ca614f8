"""The speed of a worker, as its agent measures it from the runs of all owners.

Answers workers of unequal speed within a pool, and workers that turn several times
slower at a peak: owners rank workers by the figure, so it must settle within ten to
twenty runs, be stable, and change at once when the worker does.

The figure is the ratio of run time to expected run time, as a mean by queue over up to
64 runs: a queue whose run times are estimated badly weighs no more than its share. Run
times have long tails (a log-normal sigma of 0.8), with which a mean of 64 is certain to
about a tenth. A sudden slowdown is a factor on top of this mean, found from the
progress of the current runs, before they end, or from the median of the last ends.
"""

from collections import deque

MAX_AVERAGED_RUNS = 64
PRIOR_RUNS = 2  # weight of the speed that is assumed before the first run
MAX_OBSERVED_RATIO = 4.0  # of one run to the mean
RECENT_RUNS = 7
MAX_RECENT_RATIO = 9.0
# A worker is slow when the median of its recent runs takes this many times as long as
# usual, or that of its current runs, among which long ones prevail.
SLOW_RATIO = 3.0
SLOW_CURRENT_RATIO = 4.0
RECOVERED_RATIO = 2.0
RECOVERED_MIN_RUNS = 5
MIN_RECENT_RUNS = 3  # to measure how slow a slow worker is
# Without runs, half of the logarithm of a sudden slowdown is forgotten in this time.
SLOW_MEMORY_S = 4.0
FORGOTTEN_RATIO = 1.5  # smaller sudden slowdowns are forgotten at once


class WorkerSpeed:
    """Ratio of observed to expected run times on one worker."""

    __slots__ = (
        "_runs",
        "_observed_at",
        "_queue_means",
        "_usual",
        "_sudden",
        "_sudden_at",
        "_slow_since",
        "_recent",
    )

    def __init__(self, now):
        self._runs = 0
        self._observed_at = now
        self._queue_means = {}  # queue -> (mean ratio, runs)
        self._usual = 1.0  # mean over the queues
        self._sudden = 1.0  # factor of a sudden slowdown; 1 without one
        self._sudden_at = now  # when the factor was last measured or reduced
        self._slow_since = now  # when a sudden slowdown was last found, or had ended
        self._recent = deque(maxlen=RECENT_RUNS)  # ratios to the usual run time

    @property
    def slowdown(self):
        """Return the run time in relation to the expected one."""
        return self._usual * self._sudden

    @property
    def is_slow(self):
        """Return whether the worker has turned several times slower than usual."""
        return self._sudden != 1.0

    @property
    def runs(self):
        """Return the number of ended runs that the figure rests on."""
        return self._runs

    @property
    def observed_at(self):
        """Return when the speed was last measured."""
        return self._observed_at

    def observe_run(self, queue, ratio, started_at, now):
        """Update the speed with the ratio of run time to expected run time.

        Once the worker has turned slow, the runs that end first are those that began
        before: they do not show that it has recovered.
        """
        self._runs += 1
        self._observed_at = now
        if self.is_slow and started_at < self._slow_since:
            return
        self._recent.append(min(ratio / self._usual, MAX_RECENT_RATIO))
        if self.is_slow:
            self._measure_slowdown(now)
        elif len(self._recent) == RECENT_RUNS and _median(self._recent) > SLOW_RATIO:
            self._set_sudden(_mean(self._recent), now)
        else:
            self._average(queue, ratio)

    def observe_pace(self, pace, now):
        """Detect or confirm a sudden slowdown by the median pace of current runs."""
        ratio = 1 / (pace * self._usual)
        if self.is_slow and ratio > RECOVERED_RATIO:
            self._observed_at = self._sudden_at = now
        elif not self.is_slow and ratio > SLOW_CURRENT_RATIO:
            self._observed_at = now
            self._set_sudden(ratio, now)

    def forget_old_slowdown(self, now):
        """Reduce a sudden slowdown that no run has confirmed for some time.

        Otherwise a worker that gets no runs because it was slow would stay unused.
        """
        if self.is_slow and now - self._sudden_at > SLOW_MEMORY_S:
            self._set_sudden(self._sudden**0.5, now)

    def _measure_slowdown(self, now):
        count = len(self._recent)
        if count >= RECOVERED_MIN_RUNS and _mean(self._recent) < RECOVERED_RATIO:
            self._set_sudden(1.0, now)
        elif count >= MIN_RECENT_RUNS:
            self._set_sudden(max(_mean(self._recent), RECOVERED_RATIO), now)

    def _set_sudden(self, factor, now):
        was_slow = self.is_slow
        self._sudden_at = now
        self._sudden = factor if factor >= FORGOTTEN_RATIO else 1.0
        if self.is_slow != was_slow:
            self._slow_since = now
            self._recent.clear()

    def _average(self, queue, ratio):
        mean, runs = self._queue_means.get(queue, (self._usual, 0))
        ratio = min(ratio, MAX_OBSERVED_RATIO * self._usual)
        mean += (ratio - mean) / min(runs + 1 + PRIOR_RUNS, MAX_AVERAGED_RUNS)
        self._queue_means[queue] = (mean, min(runs + 1, MAX_AVERAGED_RUNS))
        means = self._queue_means.values()
        total = sum(runs for _, runs in means)
        self._usual = sum(mean * runs for mean, runs in means) / total


def _median(values):
    return sorted(values)[len(values) // 2]


def _mean(values):
    return sum(values) / len(values)


def create_worker_speed(now):
    """Return the speed of a worker that has had no runs: as expected."""
    return WorkerSpeed(now)
