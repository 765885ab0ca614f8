"""Histograms of durations by name, team and task class."""

import threading

from hdrh.histogram import HdrHistogram

# Durations are stored in microseconds, from 1 us to 1 h with two significant digits.
# A histogram has 3328 counters of 4 bytes, about 13 KiB.
MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
US_PER_MS = 1000
# 512 histograms take about 7 MiB of the 256 MiB that a process may use.
MAX_HISTOGRAMS = 512
# Team and task class of the durations recorded once the registry is full.
OVERFLOW_LABEL = "(other)"

_QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


class HistogramRegistry:
    """Thread-safe set of histograms by name, team and task class."""

    __slots__ = ("_histograms", "_limit", "_lock", "_size")

    def __init__(self, limit):
        self._histograms = {}
        self._limit = limit
        self._lock = threading.Lock()
        self._size = 0

    @property
    def size(self):
        """Return the number of histograms, without the overflow histograms."""
        return self._size

    def record_duration(self, name, team, task_class, value_ms):
        """Record a duration; one out of range is clamped to the nearest bound."""
        value_us = min(
            max(round(value_ms * US_PER_MS), MIN_DURATION_US), MAX_DURATION_US
        )
        with self._lock:
            self._get_histogram((name, team, task_class)).record_value(value_us)

    def merge(self, snapshot):
        """Add the counts of a snapshot of another registry."""
        for row in snapshot:
            key = (row["name"], row["team"], row["task_class"])
            with self._lock:
                self._get_histogram(key).decode_and_add(row["encoded"])

    def snapshot(self):
        """Return a dict for each histogram, with durations in milliseconds."""
        with self._lock:
            return [
                _summarize_histogram(key, histogram)
                for key, histogram in sorted(self._histograms.items())
            ]

    def _get_histogram(self, key):
        """Return the histogram of a key or create it; the caller holds the lock."""
        histogram = self._histograms.get(key)
        if histogram is not None:
            return histogram
        # Callers choose the names of teams and task classes, so their number is
        # unbounded.
        if self._size >= self._limit:
            key = (key[0], OVERFLOW_LABEL, OVERFLOW_LABEL)
        if key not in self._histograms:
            self._size += key[1] != OVERFLOW_LABEL
            self._histograms[key] = HdrHistogram(
                MIN_DURATION_US,
                MAX_DURATION_US,
                SIGNIFICANT_DIGITS,
                word_size=COUNTER_BYTES,
            )
        return self._histograms[key]


def create_histogram_registry(limit=MAX_HISTOGRAMS):
    """Return an empty registry of at most ``limit`` histograms.

    Once it is full, new teams and task classes share one more histogram per name.
    """
    return HistogramRegistry(limit)


# The registry of this process.
_process_registry = create_histogram_registry()
record_duration = _process_registry.record_duration
snapshot = _process_registry.snapshot


def _summarize_histogram(key, histogram):
    """Return the count, quantiles and maximum, and the encoded form for merging."""
    name, team, task_class = key
    quantiles_ms = {
        label: histogram.get_value_at_percentile(percentile) / US_PER_MS
        for label, percentile in _QUANTILES.items()
    }
    return {
        "name": name,
        "team": team,
        "task_class": task_class,
        "count": histogram.get_total_count(),
        **quantiles_ms,
        "max": histogram.get_max_value() / US_PER_MS,
        "encoded": histogram.encode().decode("ascii"),
    }
