"""Hand messages between owners and agents to the decisions, as the processes do."""

from turmericknot.scheduling import reports, runs, worker_leases, worker_starts
from turmericknot.wire import shard_messages as wire


def deliver_to_agent(state, stream, message, sent_at, now):
    """Hand a message of an owner to an agent; ``sent_at`` is that of the request."""
    match message:
        case wire.Grant():
            requested_at = sent_at if message.sequence else None
            worker_leases.granted(state, stream, message, requested_at, now)
        case wire.StartRuns():
            worker_starts.start_runs(state, stream, message, now)
        case wire.StopRuns():
            worker_starts.stop_runs(state, stream, message, now)
        case wire.NoteEnds():
            worker_leases.note_ends(state, message.life, message.numbers)


def deliver_to_owner(owner, agent, message, now):
    """Hand a message of an agent to an owner."""
    match message:
        case wire.RunsEnded():
            reports.ended(owner, agent, message.shard, message.life, message.ends, now)
        case wire.RunsRefused():
            reports.refused(owner, agent, message.shard, message.runs, now)
        case wire.ShardInventory():
            reports.inventory(
                owner, agent, message.shard, message.epoch, message.runs, now
            )
        case wire.WorkerChanged():
            reports.worker_changed(owner, agent, message.worker, now)
    runs.schedule(owner, now)
