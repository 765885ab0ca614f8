"""Run times observed for each queue, used to correct declared estimates."""

NEWEST_RUN_WEIGHT = 0.05  # in the moving averages
DEFAULT_RUN_S = 0.2  # for tasks without an estimate in a queue without observations
MIN_ESTIMATE_S = 0.001
MAX_OBSERVED_RATIO = 10.0  # one run counts at most this many times its estimate


class RunTimes:
    """Mean ratio of run time to declared estimate for each queue."""

    __slots__ = ("_ratios", "_means")

    def __init__(self):
        self._ratios = {}
        self._means = {}

    def expected_run_s(self, queue, spec):
        """Return the seconds that a task of the queue is expected to run."""
        if spec.estimate <= 0:
            return self._means.get(queue, DEFAULT_RUN_S)
        return spec.estimate * self._ratios.get(queue, 1.0)

    def observe(self, queue, spec, run_s):
        """Update the averages with the run time of a finished task."""
        mean = self._means.get(queue, run_s)
        self._means[queue] = mean + NEWEST_RUN_WEIGHT * (run_s - mean)
        if spec.estimate > 0:
            ratio = min(run_s / max(spec.estimate, MIN_ESTIMATE_S), MAX_OBSERVED_RATIO)
            known = self._ratios.get(queue, 1.0)
            self._ratios[queue] = known + NEWEST_RUN_WEIGHT * (ratio - known)


def create_run_times():
    """Return estimates without observations."""
    return RunTimes()
