"""Histograms of durations by name, team and task class."""

import threading

from hdrh.histogram import HdrHistogram

# Durations are kept in microseconds: 1 us to 1 h, two significant digits. One
# histogram then takes 3328 counters of 4 bytes, about 13 KiB.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
US_PER_MS = 1000
# 512 histograms take about 7 MiB of the 256 MiB allowed for a process.
MAX_HISTOGRAMS = 512
# Team and class under which values are kept once the registry is full.
OVERFLOW = "(other)"

_QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


class HistogramRegistry:
    """Histograms of one process and the lock that guards them."""

    __slots__ = ("_histograms", "_limit", "_lock", "_size")

    def __init__(self, limit):
        self._histograms = {}
        self._limit = limit
        self._lock = threading.Lock()
        self._size = 0

    @property
    def size(self):
        """Return the number of histograms, without those for the overflow."""
        return self._size

    def record_duration(self, name, team, task_class, value_ms):
        """Add a duration; one out of range counts as the nearest bound."""
        value_us = min(max(round(value_ms * US_PER_MS), LOWEST_US), HIGHEST_US)
        with self._lock:
            self._histogram((name, team, task_class)).record_value(value_us)

    def merge(self, snapshot):
        """Add the histograms of another registry's snapshot."""
        for entry in snapshot:
            key = (entry["name"], entry["team"], entry["task_class"])
            with self._lock:
                self._histogram(key).decode_and_add(entry["encoded"])

    def snapshot(self):
        """Return one dict per histogram; durations are in milliseconds."""
        with self._lock:
            return [
                _describe(key, histogram)
                for key, histogram in sorted(self._histograms.items())
            ]

    def _histogram(self, key):
        """Return the histogram of the key; the caller holds the lock."""
        histogram = self._histograms.get(key)
        if histogram is not None:
            return histogram
        # Team and class names come from callers, so their number has no bound.
        if self._size >= self._limit:
            key = (key[0], OVERFLOW, OVERFLOW)
        if key not in self._histograms:
            self._size += key[1] != OVERFLOW
            self._histograms[key] = HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES
            )
        return self._histograms[key]


def create_histogram_registry(limit=MAX_HISTOGRAMS):
    """Return an empty registry that holds at most ``limit`` histograms."""
    return HistogramRegistry(limit)


# The registry of this process.
_process = create_histogram_registry()
record_duration = _process.record_duration
snapshot = _process.snapshot


def _describe(key, histogram):
    """Return the figures of a histogram and its mergeable encoded form."""
    name, team, task_class = key
    figures = {
        label: histogram.get_value_at_percentile(percentile) / US_PER_MS
        for label, percentile in _QUANTILES.items()
    }
    return {
        "name": name,
        "team": team,
        "task_class": task_class,
        "count": histogram.get_total_count(),
        **figures,
        "max": histogram.get_max_value() / US_PER_MS,
        "encoded": histogram.encode().decode("ascii"),
    }
