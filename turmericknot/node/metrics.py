"""Counters, gauges and response times of a process, as Prometheus text.

The library is imported at the first request for the text: a process that nobody
asks does not pay for it.
"""

from turmericknot.aio.server import HttpLimits, Response, create_http_server
from turmericknot.core.exceptions import AddressInUse
from turmericknot.utils import histograms
from turmericknot.utils.logging import get_logger

PATH = "/metrics"
PREFIX = "turmericknot_"
CONTENT_TYPE = "text/plain; version=0.0.4"
QUANTILES = (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999))


async def start_metrics(address, read):
    """Serve metrics; return the server, or None when the port is taken.

    ``read`` returns two dicts of numbers by name: counters and gauges.
    """

    async def handle(request):
        if request.path != PATH or request.method != "GET":
            return Response(404)
        return Response(200, render(*read()), content_type=CONTENT_TYPE)

    server = create_http_server(handle, HttpLimits())
    try:
        await server.start(address)
    except (AddressInUse, OSError) as error:
        get_logger().warning("metrics.not_served", address=address, reason=str(error))
        return None
    return server


def render(counters, gauges):
    """Return the text of counters, gauges and the histograms of this process."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
    )

    class Collector:
        """Hands over the present numbers."""

        def collect(self):
            """Yield one family for each name."""
            for name, value in sorted(counters.items()):
                yield CounterMetricFamily(PREFIX + name, name, value=value)
            for name, value in sorted(gauges.items()):
                yield GaugeMetricFamily(PREFIX + name, name, value=value)
            yield from _times(GaugeMetricFamily, CounterMetricFamily)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector())
    return generate_latest(registry)


def _times(gauge_family, counter_family):
    labels = ["queue", "outcome"]
    seconds = gauge_family(
        PREFIX + "response_seconds",
        "Response times by queue and outcome",
        labels=[*labels, "quantile"],
    )
    counts = counter_family(
        PREFIX + "responses", "Answered jobs by queue and outcome", labels=labels
    )
    for entry in histograms.snapshot():
        values = [entry["team"], entry["task_class"]]
        for name, quantile in QUANTILES:
            seconds.add_metric([*values, str(quantile)], entry[name] / 1000)
        counts.add_metric(values, entry["count"])
    yield seconds
    yield counts
