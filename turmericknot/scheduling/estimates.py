"""Run times learned for each queue, which correct declared estimates."""

LEARN_WEIGHT = 0.05  # of the newest run
DEFAULT_RUN_S = 0.2  # for tasks that declare nothing in a queue not seen before
MIN_ESTIMATE_S = 0.001
MAX_RATIO = 10.0  # one run counts at most this many times its estimate


class RunTimes:
    """Mean ratio of run time to declared estimate for each queue."""

    __slots__ = ("_ratios", "_means")

    def __init__(self):
        self._ratios = {}
        self._means = {}

    def expect(self, queue, spec):
        """Return the seconds that a task of the queue is expected to run."""
        if spec.estimate <= 0:
            return self._means.get(queue, DEFAULT_RUN_S)
        return spec.estimate * self._ratios.get(queue, 1.0)

    def observe(self, queue, spec, run_s):
        """Learn from the run time of a finished task."""
        mean = self._means.get(queue, run_s)
        self._means[queue] = mean + LEARN_WEIGHT * (run_s - mean)
        if spec.estimate > 0:
            ratio = min(run_s / max(spec.estimate, MIN_ESTIMATE_S), MAX_RATIO)
            known = self._ratios.get(queue, 1.0)
            self._ratios[queue] = known + LEARN_WEIGHT * (ratio - known)


def create_run_times():
    """Return estimates that know nothing yet."""
    return RunTimes()
