"""Metrics of a process as text."""

import asyncio

from turmericknot.aio.client import create_http_client
from turmericknot.node.metrics import render, start_metrics
from turmericknot.scheduling.owner import record_response


def test_text_of_counters_gauges_and_times():
    """On-call engineers have these figures only."""
    record_response("q-metrics", "succeeded", 0.25)
    text = render({"accepted": 3}, {"jobs_waiting": 2}).decode()
    assert "turmericknot_accepted_total 3.0" in text
    assert "turmericknot_jobs_waiting 2.0" in text
    labels = 'outcome="succeeded",quantile="0.99",queue="q-metrics"'
    assert f"turmericknot_response_seconds{{{labels}}} 0.25" in text


def test_taken_port_does_not_stop_the_process():
    """A process must serve its callers without metrics rather than not at all."""

    async def main():
        server = await start_metrics("127.0.0.1:0", lambda: ({}, {}))
        host, port = server._server.sockets[0].getsockname()
        assert await start_metrics(f"{host}:{port}", lambda: ({}, {})) is None
        reply = await create_http_client(f"{host}:{port}").request("GET", "/metrics")
        assert reply.status == 200
        server.stop()

    asyncio.run(main())
