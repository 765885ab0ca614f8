"""Handlers of the messages that entries send to an agent."""

from turmericknot.dispatch import commands
from turmericknot.dispatch.agent_state import (
    QueuedTask,
    entry_links,
    send,
    send_heartbeat,
    update_windows,
)
from turmericknot.dispatch.agent_tasks import (
    remove_queued,
    return_queued,
    start_queued,
)
from turmericknot.dispatch.results import build_job_inventory
from turmericknot.wire import messages
from turmericknot.wire.messages import TaskStatus


def handle_message(state, link, message, now, wall):
    """Apply a message of an entry; ignore types that this version does not know."""
    handler = _message_handlers.get(type(message))
    if handler is None:
        return []
    return handler(state, link, message, now, wall)


def _assign(state, link, message, now, wall):
    link.holder.waiting = message.waiting
    link.holder.entitlement = message.entitlement
    indexes = [spec.index for spec in message.tasks]
    fenced_by = state.fences.fenced_by(message.owner, message.job)
    if fenced_by:
        rejected = messages.Rejected(message.job, indexes, message.owner, fenced_by)
        return [send(link, rejected, now)]
    refusal = _refusal_reason(state, message, wall)
    if refusal:
        return [send(link, messages.Returned(message.job, indexes, refusal), now)]
    out, repeated = [], []
    record = state.store.get(message.job)
    for spec in message.tasks:
        if record is not None and record.has_started(spec.index):
            repeated += _known_result(record, spec.index)
            continue
        if _is_task_queued(state, message.job, spec.index):
            continue
        state.queue.append(
            QueuedTask(link.stream, message, spec, now, now + message.deadline_in_s)
        )
        link.holder.busy += 1
    if repeated:
        out.append(send(link, messages.Results(message.job, repeated), now))
    out += start_queued(state, now, wall)
    return out + update_windows(state, now)


def _refusal_reason(state, message, wall):
    if state.draining:
        return state.draining
    if state.worker is None:
        return "no_target"
    if wall > message.expires_at:
        return "key_expired"
    return ""


def _known_result(record, index):
    if index in record.results:
        return [record.results[index]]
    if index in record.forgotten:
        return [messages.TaskResult(index, TaskStatus.UNKNOWN, error="result_dropped")]
    return []


def _is_task_queued(state, job, index):
    return any(q.assign.job == job and q.spec.index == index for q in state.queue)


def _demand_received(state, link, message, now, wall):
    link.holder.waiting = message.waiting
    link.holder.entitlement = message.entitlement
    return update_windows(state, now)


def _recall(state, link, message, now, wall):
    jobs = set(message.jobs)
    out = return_queued(state, lambda q: q.assign.job in jobs, "recalled", now)
    if message.stop:
        out += [
            commands.StopTask(job, index) for job, index in state.running if job in jobs
        ]
    out.append(send(link, messages.RecallDone(message.request), now))
    return out + update_windows(state, now)


def _acknowledge(state, link, message, now, wall):
    for job in message.jobs:
        state.store.acknowledge(job)
    return []


def _fence(state, link, message, now, wall):
    state.fences.add(message.owner, message.fenced_by, message.jobs, now)
    covered = set(message.jobs)
    remove_queued(
        state,
        lambda q: (
            q.assign.owner == message.owner and (not covered or q.assign.job in covered)
        ),
    )
    _transfer_ownership(state, message)
    listed = build_inventory(state, message.owner, message.fenced_by, message.jobs)
    return [send(link, listed, now)] + update_windows(state, now)


def _transfer_ownership(state, message):
    """Make the fencing entry the owner of the fenced jobs."""
    for record in _job_records(state, message.jobs):
        if record.owner == message.owner:
            record.former_owners.add(record.owner)
            record.owner = message.fenced_by
            for index in record.running:
                state.running[(record.job, index)].owner = message.fenced_by


def _job_records(state, jobs):
    """Return the records of the given jobs, or all records if none is given."""
    if not jobs:
        return list(state.store.records.values())
    found = (state.store.get(job) for job in jobs)
    return [record for record in found if record is not None]


def build_inventory(state, owner, fenced_by, jobs):
    """Return the inventory of an owner's jobs, sent after a fence or a reconnect."""
    listed = [
        build_job_inventory(record)
        for record in _job_records(state, jobs)
        if record.owner == owner
        or (record.owner == fenced_by and owner in record.former_owners)
    ]
    return messages.Inventory(owner, state.incarnation, listed)


def _config_update(state, link, message, now, wall):
    if message.version <= state.config_version:
        # An entry that connected after the version was applied does not know it yet.
        applied = messages.ConfigApplied(state.config_version)
        return [send(link, applied, now)]
    state.config_version = message.version
    state.config_tree = message.tree
    applied = messages.ConfigApplied(message.version)
    return [send(each, applied, now) for each in entry_links(state)]


def _heartbeat_requested(state, link, message, now, wall):
    return [send_heartbeat(state, link, now)]


_message_handlers = {
    messages.Assign: _assign,
    messages.Demand: _demand_received,
    messages.Recall: _recall,
    messages.Acknowledge: _acknowledge,
    messages.Fence: _fence,
    messages.ConfigUpdate: _config_update,
    messages.Heartbeat: _heartbeat_requested,
}
