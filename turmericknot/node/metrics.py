"""Counters, gauges and response times of a process in the Prometheus text format.

The Prometheus client library is imported on the first scrape, so that a process that
is never scraped does not spend time and memory on it.
"""

from turmericknot.aio.server import HttpLimits, Response, create_http_server
from turmericknot.core.exceptions import AddressInUse
from turmericknot.utils import histograms
from turmericknot.utils.logging import get_logger
from turmericknot.wire.traffic import iter_directions

METRICS_PATH = "/metrics"
METRIC_PREFIX = "turmericknot_"
CONTENT_TYPE = "text/plain; version=0.0.4"
QUANTILES = (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999))


async def start_metrics_server(address, read_values, traffic=None):
    """Serve metrics; return the server, or None if it cannot listen.

    ``read_values`` returns two dicts of values by metric name: counters and gauges.
    ``traffic`` holds the TrafficCounters of the links between processes.
    """

    async def handle(request):
        if request.path != METRICS_PATH or request.method != "GET":
            return Response(404)
        body = render_metrics(*read_values(), traffic)
        return Response(200, body, content_type=CONTENT_TYPE)

    server = create_http_server(handle, HttpLimits())
    try:
        await server.start(address)
    except (AddressInUse, OSError) as error:
        get_logger().warning("metrics.not_served", address=address, reason=str(error))
        return None
    return server


def render_metrics(counters, gauges, traffic=None):
    """Render counters, gauges, response times and message counts of this process."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
    )

    class Collector:
        """Collector of the given values and the response times."""

        def collect(self):
            """Yield one metric family for each name."""
            for name, value in sorted(counters.items()):
                yield CounterMetricFamily(METRIC_PREFIX + name, name, value=value)
            for name, value in sorted(gauges.items()):
                yield GaugeMetricFamily(METRIC_PREFIX + name, name, value=value)
            yield from _response_families(GaugeMetricFamily, CounterMetricFamily)
            if traffic is not None:
                yield from _message_families(CounterMetricFamily, traffic)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector())
    return generate_latest(registry)


def _response_families(gauge_family, counter_family):
    labels = ["queue", "outcome"]
    response_times = gauge_family(
        METRIC_PREFIX + "response_seconds",
        "Response times by queue and outcome",
        labels=[*labels, "quantile"],
    )
    response_counts = counter_family(
        METRIC_PREFIX + "responses", "Answered jobs by queue and outcome", labels=labels
    )
    for entry in histograms.snapshot():
        values = [entry["team"], entry["task_class"]]
        for name, quantile in QUANTILES:
            response_times.add_metric([*values, str(quantile)], entry[name] / 1000)
        response_counts.add_metric(values, entry["count"])
    yield response_times
    yield response_counts


def _message_families(counter_family, traffic):
    labels = ["direction", "kind"]
    messages = counter_family(
        METRIC_PREFIX + "messages",
        "Messages on links between processes by direction and kind",
        labels=labels,
    )
    message_bytes = counter_family(
        METRIC_PREFIX + "message_bytes",
        "Bytes of these messages, without framing",
        labels=labels,
    )
    for direction, counters in iter_directions(traffic):
        for message_type, counter in counters.types.items():
            values = [direction, message_type.__name__]
            messages.add_metric(values, counter.messages)
            message_bytes.add_metric(values, counter.bytes)
    yield messages
    yield message_bytes
