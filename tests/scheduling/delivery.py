"""Delivery of messages between owners and agents, as their processes do it."""

from turmericknot.scheduling import (
    evacuation,
    reports,
    runs,
    worker_leases,
    worker_starts,
)
from turmericknot.wire import shard_messages as wire


def deliver_to_agent(state, stream, message, sent_at, now):
    """Deliver a message of an owner to an agent.

    ``sent_at`` is the time of the grant request that the message answers.
    """
    match message:
        case wire.Grant():
            requested_at = sent_at if message.sequence else None
            worker_leases.grant_received(state, stream, message, requested_at, now)
            worker_starts.start_queued_runs(state, now)
        case wire.StartRuns():
            worker_starts.start_runs(state, stream, message, now)
        case wire.StopRuns():
            worker_starts.stop_runs(state, stream, message, now)
        case wire.NoteEnds():
            worker_leases.ends_acknowledged(state, message.life, message.numbers)
        case wire.EvacuationUpdate():
            if evacuation.update_received(state, message, "entry"):
                worker_starts.start_queued_runs(state, now)


def deliver_to_owner(owner, agent, message, now):
    """Deliver a message of an agent to an owner."""
    reports.message_received(owner, agent, message, now)
    runs.schedule_tasks(owner, now)
