"""Agents as an entry sees them: streams, roster, assignments and results."""

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

# Stands for a stream that is gone: the scheduler takes back no slot.
NO_STREAM = -1
TIMER_SLACK_S = 1e-6


def connected(state, event):
    """Welcome an agent; what an older stream carried is in doubt from here on."""
    hello = event.hello
    agent = state.agents.get(hello.incarnation)
    if agent is None:
        agent = Agent(hello.incarnation, hello)
        state.agents[hello.incarnation] = agent
    elif agent.stream is not None:
        _leave(state, agent)
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


def disconnected(state, event):
    """Keep what was sent in doubt until the incarnation comes back."""
    agent = state.agent_streams.get(event.stream)
    if agent is not None:
        _leave(state, agent)


def _leave(state, agent):
    del state.agent_streams[agent.stream]
    liveness.agent_left(state, agent)
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


def window(state, agent, message):
    """Take the agent's window; without an inventory before it there is none."""
    if agent.unconfirmed_tasks:
        reconcile(state, agent, {})
    state.policy.set_window(state.scheduler, agent.stream, message, state.now)


def results(state, agent, message):
    """Take outcomes of tasks."""
    job = state.jobs.get(message.job)
    for result in message.results:
        here = result.index in agent.sent_tasks.get(message.job, ())
        _forget_sent(agent, message.job, result.index)
        state.policy.task_done(
            state.scheduler,
            agent.stream if here else NO_STREAM,
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
    for kind in (agent.sent_tasks, agent.unconfirmed_tasks):
        indexes = kind.get(job_id)
        if indexes is not None:
            indexes.discard(index)
            if not indexes:
                del kind[job_id]


def taken_over(state, job_id):
    """Free the slots of a job's tasks, whose results another entry gets."""
    for agent in state.agents.values():
        indexes = agent.sent_tasks.pop(job_id, ())
        if indexes and agent.stream is not None:
            state.policy.tasks_taken_over(
                state.scheduler, agent.stream, job_id, indexes, state.now
            )


def returned(state, agent, message):
    """Queue tasks again that the agent gave back unstarted."""
    job = state.jobs.get(message.job)
    _not_started(state, agent, job, message.job, message.indexes)


def _not_started(state, agent, job, job_id, indexes):
    known = _unlocate(agent, job, job_id, indexes)
    if known and job.phase is Phase.RUNNING:
        assignments.give_back(state, agent.stream, job, known)


def _unlocate(agent, job, job_id, indexes):
    """Forget where tasks are; return those that were thought to be at the agent."""
    known = []
    for index in indexes:
        _forget_sent(agent, job_id, index)
        if job is not None and job.task_agents.get(index) == agent.incarnation:
            del job.task_agents[index]
            known.append(index)
    return known


def _requeue_lost(state, agent, job, indexes):
    """Queue tasks again that were sent on a broken stream and did not start.

    A fenced agent lists the job's tasks to the new owner and no longer here, so a
    claimed task waits until the table shows that this entry still owns the job.
    """
    if job.spec is not None and job.spec.idempotent:
        _doubt_absent(state, agent, job, indexes)
        return
    known = _unlocate(agent, job, job.id, indexes)
    if known and job.phase is Phase.RUNNING:
        state.pending_requeues.append((state.now, job.id, known))
        appends.request_read(state)


def _doubt_absent(state, agent, job, indexes):
    """End an idempotent job whose inventory lacks a task that was sent.

    The job may run unclaimed at another entry too, and an agent lists all tasks of
    a job to the first entry that sent any. So absence proves nothing.
    """
    held = {i for i in indexes if job.task_agents.get(i) == agent.incarnation}
    if held and job.phase in ownership.ACTIVE_PHASES:
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.WORKER_LOST)


def requeue_proven(state):
    """Queue the tasks whose jobs the table, now current, leaves to this entry."""
    waiting, state.pending_requeues = state.pending_requeues, []
    for entry in waiting:
        since, job_id, indexes = entry
        job = state.jobs.get(job_id)
        if job is None or job.phase is not Phase.RUNNING:
            continue
        if state.claims_current_as_of < since:
            state.pending_requeues.append(entry)
        else:
            assignments.give_back(state, NO_STREAM, job, indexes)


def rejected(state, agent, message):
    """An agent refused tasks because this entry was fenced for the job."""
    job = state.jobs.get(message.job)
    _not_started(state, agent, None, message.job, message.indexes)
    if message.owner != state.incarnation or message.fenced_by == state.incarnation:
        return
    if job is not None and job.phase in ownership.ACTIVE_PHASES:
        ownership.job_lost(state, job, message.fenced_by)
        appends.request_read(state)


def inventory(state, agent, message):
    """Learn what the agent has started: of this entry's, or of a fenced owner's."""
    if message.owner != state.incarnation:
        takeover.inventory_received(state, agent, message)
        return
    listed = {entry.job: entry for entry in message.jobs}
    reconcile(state, agent, listed)


def reconcile(state, agent, listed):
    """Settle the tasks sent on broken streams; what is not listed did not start."""
    doubtful, agent.unconfirmed_tasks = agent.unconfirmed_tasks, {}
    for job_id, entry in listed.items():
        job = state.jobs.get(job_id)
        if job is None or job.phase not in ownership.ACTIVE_PHASES:
            state.acknowledgements.setdefault(agent.incarnation, []).append(job_id)
            continue
        _settle_started(state, job, agent, entry)
    for job_id, indexes in doubtful.items():
        job = state.jobs.get(job_id)
        if job is None:
            continue
        entry = listed.get(job_id)
        started = _started(entry) if entry is not None else set()
        _requeue_lost(state, agent, job, sorted(indexes - started))
        if job.phase is Phase.CANCELLING:
            cancellation.agent_reconnected(state, job, agent)


def _started(entry):
    finished = {result.index for result in entry.results}
    return finished | set(entry.running) | set(entry.forgotten)


def _settle_started(state, job, agent, entry):
    for index in entry.running:
        takeover.note_running(job, agent, index)
    for result in entry.results:
        job.reported_by.add(agent.incarnation)
        answers.task_ended(state, job, result)
    lost = set(entry.forgotten) - set(job.outcomes)
    if lost and job.phase in ownership.ACTIVE_PHASES:
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.MAY_HAVE_STARTED)


def check_lost(state, job):
    """End a job some of whose tasks sit on an agent that did not come back."""
    timeout_s = state.settings.claims.inventory_timeout_s
    for incarnation in set(job.task_agents.values()):
        agent = state.agents.get(incarnation)
        if agent is None or job.id not in agent.unconfirmed_tasks:
            continue
        # A stream that was opened again settles the doubt by its inventory.
        if state.now < agent.disconnected_at + timeout_s - TIMER_SLACK_S:
            continue
        count(state, "agents_not_back")
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.WORKER_LOST)
        return


def draining(state, agent, message):
    """The agent leaves: it gets no more work."""
    agent.draining = True
    state.policy.agent_draining(state.scheduler, agent.stream, state.now)


def forget_gone(state):
    """Drop agents that left long ago and hold nothing of interest."""
    oldest = state.now - state.settings.claims.max_key_lifetime_s
    for agent in list(state.agents.values()):
        if agent.stream is None and agent.disconnected_at < oldest:
            del state.agents[agent.incarnation]


def config_applied(state, agent, message):
    """Note the configuration version in force at the agent."""
    agent.config_version = message.version


def report(state):
    """Return a row for each connected agent, for operators."""
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


MESSAGES = {
    messages.Window: window,
    messages.Results: results,
    messages.Returned: returned,
    messages.Rejected: rejected,
    messages.Inventory: inventory,
    messages.Draining: draining,
    messages.RecallDone: cancellation.recall_done,
    messages.Heartbeat: liveness.heartbeat_received,
    messages.ConfigApplied: config_applied,
}


def message(state, event):
    """Handle a message on the open stream of an agent."""
    agent = state.agent_streams.get(event.stream)
    handler = MESSAGES.get(type(event.message))
    if agent is None:
        return
    liveness.agent_heard(state, agent)
    if handler is not None:
        handler(state, agent, event.message)
