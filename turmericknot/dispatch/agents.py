"""Events and messages of agents at an entry: streams, inventories and results."""

from turmericknot.dispatch import (
    answers,
    appends,
    assignments,
    cancellation,
    liveness,
    ownership,
    takeover,
)
from turmericknot.dispatch.entry_state import Agent, Phase, count, schedule_check, send
from turmericknot.dispatch.tasks import JobStatus, Reason
from turmericknot.wire import messages
from turmericknot.wire.messages import Welcome

# Placeholder for a broken stream, for which the scheduler frees no slot.
NO_STREAM = -1
TIMER_TOLERANCE_S = 1e-6


def agent_connected(state, event):
    """Welcome an agent; tasks sent on an older stream become unconfirmed."""
    hello = event.hello
    agent = state.agents.get(hello.incarnation)
    if agent is None:
        agent = Agent(hello.incarnation, hello)
        state.agents[hello.incarnation] = agent
    elif agent.stream is not None:
        _mark_disconnected(state, agent)
    agent.hello = hello
    agent.stream = event.stream
    agent.rostered = False
    state.agent_streams[event.stream] = agent
    send(state, event.stream, _welcome(state))
    state.policy.agent_joined(state.scheduler, event.stream, hello, state.now)
    agent.draining = hello.draining
    agent.config_version = hello.config_version
    liveness.agent_connected(state, agent)
    assignments.update_roster(state, agent)
    if not agent.rostered:
        state.roster_queue.add(agent.incarnation)
    takeover.resend_fences(state, agent)


def _welcome(state):
    peers = [peer.address for peer in state.peers.values() if not peer.terminated]
    address = state.address
    return Welcome(
        messages.PROTOCOL_VERSION,
        address.entry_id,
        address.incarnation,
        [address, *peers],
        0,
    )


def agent_disconnected(state, event):
    """Mark the tasks sent on the stream as unconfirmed until the agent reconnects."""
    agent = state.agent_streams.get(event.stream)
    if agent is not None:
        _mark_disconnected(state, agent)


def _mark_disconnected(state, agent):
    del state.agent_streams[agent.stream]
    liveness.agent_disconnected(state, agent)
    state.policy.agent_left(state.scheduler, agent.stream, state.now)
    agent.stream = None
    agent.disconnected_at = state.now
    agent.pending_fences.clear()
    for job_id, indexes in agent.sent_tasks.items():
        agent.unconfirmed_tasks.setdefault(job_id, set()).update(indexes)
        job = state.jobs.get(job_id)
        if job is not None:
            schedule_check(
                state, state.now + state.settings.claims.inventory_timeout_s, job
            )
    agent.sent_tasks = {}


def window_received(state, agent, message):
    """Apply the agent's window.

    An agent sends its inventory first, so a window without one means that the agent
    has no tasks to list.
    """
    if agent.unconfirmed_tasks:
        reconcile_inventory(state, agent, {})
    state.policy.set_window(state.scheduler, agent.stream, message, state.now)


def results_received(state, agent, message):
    """Apply the outcomes of tasks."""
    job = state.jobs.get(message.job)
    for result in message.results:
        sent_on_stream = result.index in agent.sent_tasks.get(message.job, ())
        _forget_sent(agent, message.job, result.index)
        state.policy.task_done(
            state.scheduler,
            agent.stream if sent_on_stream else NO_STREAM,
            message.job,
            result.index,
            result.status,
            result.run_ms,
            state.now,
        )
    if job is None or job.phase is Phase.ENDED:
        state.acknowledgements.setdefault(agent.incarnation, []).append(message.job)
        return
    if job.phase not in ownership.ACTIVE_PHASES:
        return
    job.reported_by.add(agent.incarnation)
    for result in message.results:
        answers.task_ended(state, job, result)


def _forget_sent(agent, job_id, index):
    for tasks in (agent.sent_tasks, agent.unconfirmed_tasks):
        indexes = tasks.get(job_id)
        if indexes is not None:
            indexes.discard(index)
            if not indexes:
                del tasks[job_id]


def release_taken_over_job(state, job_id):
    """Free the slots of a job's tasks whose results another entry receives."""
    for agent in state.agents.values():
        indexes = agent.sent_tasks.pop(job_id, ())
        if indexes and agent.stream is not None:
            state.policy.tasks_taken_over(
                state.scheduler, agent.stream, job_id, indexes, state.now
            )


def tasks_returned(state, agent, message):
    """Requeue tasks that the agent returned without starting them."""
    job = state.jobs.get(message.job)
    _requeue_not_started(state, agent, job, message.job, message.indexes)


def _requeue_not_started(state, agent, job, job_id, indexes):
    located = _forget_locations(agent, job, job_id, indexes)
    if located and job.phase is Phase.RUNNING:
        assignments.requeue_unstarted(state, agent.stream, job, located)


def _forget_locations(agent, job, job_id, indexes):
    """Forget the location of tasks; return those that were assigned to the agent."""
    located = []
    for index in indexes:
        _forget_sent(agent, job_id, index)
        if job is not None and job.task_agents.get(index) == agent.incarnation:
            del job.task_agents[index]
            located.append(index)
    return located


def _requeue_unlisted(state, agent, job, indexes):
    """Requeue tasks that were sent on a broken stream and are not in the inventory.

    After a fence an agent lists the job's tasks to the new owner and no longer to
    this entry. A claimed task is therefore requeued only after the claim table has
    shown that this entry still owns the job.
    """
    if job.spec is not None and job.spec.idempotent:
        _end_unlisted_idempotent(state, agent, job, indexes)
        return
    located = _forget_locations(agent, job, job.id, indexes)
    if located and job.phase is Phase.RUNNING:
        state.pending_requeues.append((state.now, job.id, located))
        appends.request_read(state)


def _end_unlisted_idempotent(state, agent, job, indexes):
    """End an idempotent job if the inventory lacks a task that was sent.

    The job may also run unclaimed at another entry, and an agent lists all tasks of
    a job to the first entry that sent one. A missing task may thus have started.
    """
    missing = {i for i in indexes if job.task_agents.get(i) == agent.incarnation}
    if missing and job.phase in ownership.ACTIVE_PHASES:
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.WORKER_LOST)


def requeue_owned_tasks(state):
    """Requeue unstarted tasks of jobs that this entry owns by a current claim table."""
    pending, state.pending_requeues = state.pending_requeues, []
    for entry in pending:
        since, job_id, indexes = entry
        job = state.jobs.get(job_id)
        if job is None or job.phase is not Phase.RUNNING:
            continue
        if state.claims_current_as_of < since:
            state.pending_requeues.append(entry)
        else:
            assignments.requeue_unstarted(state, NO_STREAM, job, indexes)


def tasks_rejected(state, agent, message):
    """Handle tasks that an agent refused because this entry is fenced for the job."""
    job = state.jobs.get(message.job)
    _requeue_not_started(state, agent, None, message.job, message.indexes)
    if message.owner != state.incarnation or message.fenced_by == state.incarnation:
        return
    if job is not None and job.phase in ownership.ACTIVE_PHASES:
        ownership.job_lost(state, job, message.fenced_by)
        appends.request_read(state)


def inventory_received(state, agent, message):
    """Apply an inventory of this entry's jobs or of those of a fenced owner."""
    if message.owner != state.incarnation:
        takeover.inventory_received(state, agent, message)
        return
    listed = {entry.job: entry for entry in message.jobs}
    reconcile_inventory(state, agent, listed)


def reconcile_inventory(state, agent, listed):
    """Resolve an agent's unconfirmed tasks; tasks not listed have not started."""
    unconfirmed, agent.unconfirmed_tasks = agent.unconfirmed_tasks, {}
    for job_id, entry in listed.items():
        job = state.jobs.get(job_id)
        if job is None or job.phase not in ownership.ACTIVE_PHASES:
            state.acknowledgements.setdefault(agent.incarnation, []).append(job_id)
            continue
        _apply_inventory_entry(state, job, agent, entry)
    for job_id, indexes in unconfirmed.items():
        job = state.jobs.get(job_id)
        if job is None:
            continue
        entry = listed.get(job_id)
        started = _started_indexes(entry) if entry is not None else set()
        _requeue_unlisted(state, agent, job, sorted(indexes - started))
        if job.phase is Phase.CANCELLING:
            cancellation.agent_reconnected(state, job, agent)


def _started_indexes(entry):
    finished = {result.index for result in entry.results}
    return finished | set(entry.running) | set(entry.forgotten)


def _apply_inventory_entry(state, job, agent, entry):
    for index in entry.running:
        takeover.note_running(job, agent, index)
    for result in entry.results:
        job.reported_by.add(agent.incarnation)
        answers.task_ended(state, job, result)
    lost = set(entry.forgotten) - set(job.outcomes)
    if lost and job.phase in ownership.ACTIVE_PHASES:
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.MAY_HAVE_STARTED)


def end_if_tasks_lost(state, job):
    """End a job with tasks on an agent that did not reconnect in time."""
    timeout_s = state.settings.claims.inventory_timeout_s
    for incarnation in set(job.task_agents.values()):
        agent = state.agents.get(incarnation)
        if agent is None or job.id not in agent.unconfirmed_tasks:
            continue
        # The inventory of an agent that has reconnected resolves its unconfirmed tasks.
        if state.now < agent.disconnected_at + timeout_s - TIMER_TOLERANCE_S:
            continue
        count(state, "agents_not_back")
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.WORKER_LOST)
        return


def agent_draining(state, agent, message):
    """Stop sending tasks to an agent that is draining."""
    agent.draining = True
    state.policy.agent_draining(state.scheduler, agent.stream, state.now)


def forget_departed_agents(state):
    """Forget agents that disconnected longer ago than any key can live."""
    oldest = state.now - state.settings.claims.max_key_lifetime_s
    for agent in list(state.agents.values()):
        if agent.stream is None and agent.disconnected_at < oldest:
            del state.agents[agent.incarnation]


def config_applied(state, agent, message):
    """Record the configuration version that the agent has applied."""
    agent.config_version = message.version


def agent_status_rows(state):
    """Return a row for each connected agent, for status pages."""
    return [
        {
            "agent_id": agent.hello.agent_id,
            "worker": agent.hello.worker,
            "failure_domain": agent.hello.failure_domain,
            "slots": agent.hello.slots,
            "rostered": agent.rostered,
            "draining": agent.draining,
            "config_version": agent.config_version,
            "usable": _is_usable(state, agent),
        }
        for agent in state.agent_streams.values()
    ]


def _is_usable(state, agent):
    watched = state.membership.agents.get(agent.stream)
    return bool(watched and watched.usable and agent.rostered and not agent.draining)


MESSAGE_HANDLERS = {
    messages.Window: window_received,
    messages.Results: results_received,
    messages.Returned: tasks_returned,
    messages.Rejected: tasks_rejected,
    messages.Inventory: inventory_received,
    messages.Draining: agent_draining,
    messages.RecallDone: cancellation.recall_done,
    messages.Heartbeat: liveness.heartbeat_received,
    messages.ConfigApplied: config_applied,
}


def agent_message_received(state, event):
    """Handle a message on the open stream of an agent."""
    agent = state.agent_streams.get(event.stream)
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if agent is None:
        return
    liveness.record_agent_activity(state, agent)
    if handler is not None:
        handler(state, agent, event.message)
