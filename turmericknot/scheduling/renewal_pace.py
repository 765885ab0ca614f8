"""How long a lease renewal waits for the end of a run, and then for its answer.

Load pattern: dozens of runs end on a worker each second, and a few calls in a hundred
get no answer. A renewal without an answer hides the ends of all runs until it is given
up. An urgent job of wide steps has runs on many workers and bears a delay of about a
tenth of a second, so an end has to be seen within that time.

While all calls are answered, renewals that wait long cost the fewest calls. After a
lost answer they are short for a while. A worker or an agent that is merely slow loses
several answers in a row: the time for the answer then grows back.
"""

WAIT_S = 0.25
ANSWER_TIME_S = 0.15
WATCHFUL_WAIT_S = 0.04
WATCHFUL_ANSWER_TIME_S = 0.05
WATCHFUL_S = 3.0  # after the last lost answer


class RenewalPace:
    """Lost answers of one worker."""

    __slots__ = ("_lost_at", "_lost_in_a_row")

    def __init__(self):
        self._lost_at = None
        self._lost_in_a_row = 0

    @property
    def is_answer_lost(self):
        """Return whether the last renewal got no answer."""
        return self._lost_in_a_row > 0

    def record_answer(self):
        """Record the answer to a renewal."""
        self._lost_in_a_row = 0

    def record_lost_renewal(self, now):
        """Record that a renewal got no answer."""
        self._lost_in_a_row += 1
        self._lost_at = now

    def record_lost_call(self, now):
        """Record that another call got no answer."""
        self._lost_at = now

    def wait_s(self, now):
        """Return how long the worker may wait for the end of a run."""
        if self.is_answer_lost:
            return 0.0
        return WATCHFUL_WAIT_S if self._is_watchful(now) else WAIT_S

    def answer_time_s(self, now):
        """Return how long to wait for the answer after that."""
        if not self._is_watchful(now):
            return ANSWER_TIME_S
        return min(WATCHFUL_ANSWER_TIME_S * 2**self._lost_in_a_row, ANSWER_TIME_S)

    def _is_watchful(self, now):
        return self._lost_at is not None and now - self._lost_at < WATCHFUL_S


def create_renewal_pace():
    """Return the pace for a worker that has answered all calls."""
    return RenewalPace()
