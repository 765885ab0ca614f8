import threading

import pytest

from turmericknot.utils.histograms import OVERFLOW_LABEL, create_histogram_registry


@pytest.fixture
def registry():
    return create_histogram_registry(limit=2)


def test_snapshot_is_in_milliseconds(registry):
    for value_ms in range(1, 1001):
        registry.record_duration("response", "carts", "price", value_ms)
    (row,) = registry.snapshot()
    assert row["count"] == 1000
    assert row["p50"] == pytest.approx(500, rel=0.01)
    assert row["p99"] == pytest.approx(990, rel=0.01)
    assert row["max"] == pytest.approx(1000, rel=0.01)


def test_number_of_histograms_is_bounded(registry):
    """Guards against unbounded memory: callers choose the names of task classes."""
    for number in range(50):
        registry.record_duration("response", "carts", f"class{number}", 1.0)
    rows = registry.snapshot()
    assert len(rows) == 3
    overflow = [row for row in rows if row["team"] == OVERFLOW_LABEL]
    assert [row["count"] for row in overflow] == [48]


def test_merge_adds_counts(registry):
    registry.record_duration("response", "carts", "price", 5.0)
    other = create_histogram_registry()
    other.record_duration("response", "carts", "price", 500.0)
    other.merge(registry.snapshot())
    (row,) = other.snapshot()
    assert row["count"] == 2
    assert row["p50"] == pytest.approx(5.0, rel=0.01)


def test_values_out_of_range_are_kept_at_the_bounds(registry):
    registry.record_duration("response", "carts", "price", -1.0)
    registry.record_duration("response", "carts", "price", 1e9)
    assert registry.snapshot()[0]["count"] == 2


def test_concurrent_records_are_all_counted(registry):
    def record_many():
        for _ in range(2000):
            registry.record_duration("response", "carts", "price", 1.0)

    threads = [threading.Thread(target=record_many) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert registry.snapshot()[0]["count"] == 8000
