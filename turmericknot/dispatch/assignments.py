"""Roster state of agents, and the assignments and demands sent to them."""

from turmericknot.dispatch.entry_state import Phase, send
from turmericknot.wire.messages import Assign


def update_roster(state, agent):
    """Update in the scheduler whether the agent may get tasks of claimed jobs."""
    rostered = is_rostered(state, agent)
    if rostered != agent.rostered:
        agent.rostered = rostered
        state.policy.set_rostered(state.scheduler, agent.stream, rostered, state.now)


def is_rostered(state, agent):
    """Return whether the agent's newest roster record is recent enough.

    The maximum clock skew is subtracted from the lifetime, so that an owner with a
    slow clock does not use an agent that a takeover would not take into account.
    """
    claims = state.settings.claims
    oldest = state.wall - (claims.roster_ttl_s - claims.max_clock_skew_s)
    return state.claim_table.roster.get(agent.incarnation, float("-inf")) >= oldest


def roster_record_read(state, roster):
    """Apply a roster record that was read from the log."""
    for incarnation in roster.agents:
        agent = state.agents.get(incarnation)
        if agent is not None and agent.stream is not None:
            update_roster(state, agent)


def send_assignments(state):
    """Send the tasks that the scheduler assigned to agents."""
    for assignment in state.policy.next_assignments(state.scheduler, state.now):
        agent = state.agent_streams.get(assignment.stream)
        job = state.jobs.get(assignment.job)
        if job is None or job.phase is not Phase.RUNNING:
            continue
        if agent is None or not _may_send(state, job, agent):
            requeue_unstarted(state, assignment.stream, job, assignment.indexes)
            continue
        _send_tasks(state, job, agent, assignment)


def _may_send(state, job, agent):
    claims = state.settings.claims
    if state.wall > job.expires_at - claims.max_clock_skew_s:
        return False
    return is_rostered(state, agent) if job.claimed else True


def requeue_unstarted(state, stream, job, indexes):
    """Have the scheduler requeue tasks that did not start."""
    state.policy.tasks_returned(state.scheduler, stream, job.id, indexes, state.now)


def _send_tasks(state, job, agent, assignment):
    sent = agent.sent_tasks.setdefault(job.id, set())
    tasks = []
    for index in assignment.indexes:
        if index in job.outcomes or index in job.task_agents:
            continue
        job.task_agents[index] = agent.incarnation
        sent.add(index)
        tasks.append(state.policy.spec_for(state.scheduler, job.id, index))
    waiting, entitlement = state.policy.assignment_demand(
        state.scheduler, assignment.stream
    )
    message = Assign(
        job.id,
        state.incarnation,
        job.spec.team,
        job.spec.task_class,
        job.expires_at,
        job.deadline - state.now,
        tasks,
        waiting,
        entitlement,
        assignment.window_sequence,
    )
    if tasks:
        send(state, assignment.stream, message)


def send_due_demands(state):
    """Send the demands for slots that are due."""
    for stream, demand in state.policy.due_demands(state.scheduler, state.now):
        send(state, stream, demand)
