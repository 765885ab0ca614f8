import socket

import pytest

from turmericknot.core.exceptions import ConfigurationError
from turmericknot.utils import logging, metrics


@pytest.fixture
def statsd_server():
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(("127.0.0.1", 0))
    server.settimeout(2)
    yield server
    metrics.close_metrics()
    server.close()


def test_event_is_one_line_of_pairs(capsys):
    """Guards against values that split a line or merge with the next pair."""
    logging.get_logger(entry="e1").info("job accepted", team="a b", text="x\ny")
    captured = capsys.readouterr()
    (line,) = captured.err.splitlines()
    assert captured.out == ""
    assert 'event="job accepted"' in line
    assert 'team="a b"' in line
    assert "entry=e1" in line


def test_events_below_the_level_are_dropped(capsys):
    logging.configure_logging("error")
    try:
        logging.get_logger().info("hidden")
    finally:
        logging.configure_logging("info")
    assert capsys.readouterr().err == ""


def test_unknown_level_raises_configuration_error():
    with pytest.raises(ConfigurationError, match="loud"):
        logging.configure_logging("loud")


def test_metrics_reach_statsd_without_reserved_characters(statsd_server):
    """Guards against a team name that is sent as part of another metric."""
    host, port = statsd_server.getsockname()
    metrics.configure_metrics(f"{host}:{port}", "tk")
    metrics.record_duration("response", "a.b:c|d", "price", 12.5)
    assert statsd_server.recv(512) == b"tk.response.a_b_c_d.price:12.500000|ms"
    metrics.increment_counter("refused", 3, team="carts")
    assert statsd_server.recv(512) == b"tk.refused.carts:3|c"


def test_nothing_is_sent_without_an_address():
    metrics.configure_metrics("", "tk")
    metrics.increment_counter("refused")
    metrics.record_duration("response", "carts", "price", 1.0)


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:port"])
def test_invalid_statsd_address_raises_configuration_error(address):
    with pytest.raises(ConfigurationError):
        metrics.configure_metrics(address)
