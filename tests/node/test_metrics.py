"""Metrics of a process in the Prometheus text format."""

import asyncio

from turmericknot.aio.client import create_http_client
from turmericknot.node.metrics import render_metrics, start_metrics_server
from turmericknot.node.traffic_log import take_snapshot, traffic_fields
from turmericknot.scheduling.owner import record_response
from turmericknot.wire.shard_messages import Grant
from turmericknot.wire.traffic import count_message, create_traffic_counters


def test_render_counters_gauges_and_response_times():
    """These figures are the only ones that on-call engineers have."""
    record_response("q-metrics", "succeeded", 0.25)
    text = render_metrics({"accepted": 3}, {"jobs_waiting": 2}).decode()
    assert "turmericknot_accepted_total 3.0" in text
    assert "turmericknot_jobs_waiting 2.0" in text
    labels = 'outcome="succeeded",quantile="0.99",queue="q-metrics"'
    assert f"turmericknot_response_seconds{{{labels}}} 0.25" in text


def test_messages_are_counted_by_kind():
    """Guards against a cost of control traffic that nobody can attribute."""
    traffic = create_traffic_counters()
    count_message(traffic.sent, Grant, 20)
    count_message(traffic.sent, Grant, 22)
    text = render_metrics({}, {}, traffic).decode()
    labels = 'direction="sent",kind="Grant"'
    assert f"turmericknot_messages_total{{{labels}}} 2.0" in text
    assert f"turmericknot_message_bytes_total{{{labels}}} 42.0" in text
    before = take_snapshot(create_traffic_counters(), 10.0, 1.0)
    after = take_snapshot(traffic, 15.0, 1.25)
    fields = traffic_fields(before, after)
    assert fields == {"seconds": 5.0, "cpu": 0.25, "sent": "Grant:2:42", "received": ""}


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
