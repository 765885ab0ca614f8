"""Sends the agent's judgement of its worker to the entries, and its metrics."""

from turmericknot.scheduling import worker_health

from .clock import steady_time


def attach_health(links, runs, streams):
    """Send the judgement to those of the entries that know another one."""
    for stream, message in worker_health.due_reports(runs, streams, steady_time()):
        links.send(stream, message)


def metric_values(runs):
    """Return the counters and gauges of an agent that judges its worker."""
    health = runs.health
    if health is None:
        return {}, {}
    gauges = {
        "worker_health_state": int(health.state),
        "worker_slowdown": health.speed.slowdown,
    }
    return {"worker_failures": health.failures}, gauges
