"""Metrics of a process in the Prometheus text format."""

import asyncio

from turmericknot.aio.client import create_http_client
from turmericknot.node.metrics import render_metrics, start_metrics_server
from turmericknot.scheduling.owner import record_response


def test_render_counters_gauges_and_response_times():
    """These figures are the only ones that on-call engineers have."""
    record_response("q-metrics", "succeeded", 0.25)
    text = render_metrics({"accepted": 3}, {"jobs_waiting": 2}).decode()
    assert "turmericknot_accepted_total 3.0" in text
    assert "turmericknot_jobs_waiting 2.0" in text
    labels = 'outcome="succeeded",quantile="0.99",queue="q-metrics"'
    assert f"turmericknot_response_seconds{{{labels}}} 0.25" in text


def test_port_in_use_does_not_stop_the_process():
    """A process must serve its callers even when the metrics port is in use."""

    async def main():
        server = await start_metrics_server("127.0.0.1:0", lambda: ({}, {}))
        host, port = server._server.sockets[0].getsockname()
        assert await start_metrics_server(f"{host}:{port}", lambda: ({}, {})) is None
        reply = await create_http_client(f"{host}:{port}").request("GET", "/metrics")
        assert reply.status == 200
        server.stop()

    asyncio.run(main())
