import threading

import pytest

from turmericknot.utils.histograms import OVERFLOW, create_histogram_registry


@pytest.fixture
def registry():
    return create_histogram_registry(limit=2)


def test_figures_are_in_milliseconds(registry):
    for value_ms in range(1, 1001):
        registry.record_duration("response", "carts", "price", value_ms)
    (entry,) = registry.snapshot()
    assert entry["count"] == 1000
    assert entry["p50"] == pytest.approx(500, rel=0.01)
    assert entry["p99"] == pytest.approx(990, rel=0.01)
    assert entry["max"] == pytest.approx(1000, rel=0.01)


def test_number_of_histograms_is_bounded(registry):
    """Guards against memory growth from class names made up by callers."""
    for number in range(50):
        registry.record_duration("response", "carts", f"class{number}", 1.0)
    entries = registry.snapshot()
    assert len(entries) == 3
    other = [entry for entry in entries if entry["team"] == OVERFLOW]
    assert [entry["count"] for entry in other] == [48]


def test_merge_adds_counts(registry):
    registry.record_duration("response", "carts", "price", 5.0)
    other = create_histogram_registry()
    other.record_duration("response", "carts", "price", 500.0)
    other.merge(registry.snapshot())
    (entry,) = other.snapshot()
    assert entry["count"] == 2
    assert entry["p50"] == pytest.approx(5.0, rel=0.01)


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
