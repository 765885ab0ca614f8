"""Virtual time: a heap of events."""

from heapq import heappop, heappush


class Clock:
    """The present virtual time and the events to come."""

    __slots__ = ("_now", "_events", "_last_number")

    def __init__(self):
        self._now = 0.0
        self._events = []  # heap of (time, number, function, arguments)
        self._last_number = 0

    @property
    def now(self):
        """Return the virtual time in seconds."""
        return self._now

    def call_later(self, delay_s, function, *arguments):
        """Call a function after a delay; equal times keep the order of the calls."""
        self._last_number += 1
        event = (self._now + delay_s, self._last_number, function, arguments)
        heappush(self._events, event)

    def call_repeatedly(self, interval_s, function, first_delay_s=0.0):
        """Call a function again and again."""

        def call():
            function()
            self.call_later(interval_s, call)

        self.call_later(first_delay_s, call)

    def run_until(self, end_s):
        """Play all events up to a time."""
        while self._events and self._events[0][0] <= end_s:
            self._now, _, function, arguments = heappop(self._events)
            function(*arguments)
        self._now = end_s


def create_clock():
    """Return a clock at 0 without events."""
    return Clock()
