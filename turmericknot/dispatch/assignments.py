"""Which agents may be given work, and the tasks sent to them."""

from turmericknot.dispatch.entry_state import Phase, send
from turmericknot.wire.messages import Assign


def update_roster(state, agent):
    """Tell the scheduler whether the agent may be given claimed work."""
    rostered = is_rostered(state, agent)
    if rostered != agent.rostered:
        agent.rostered = rostered
        state.policy.set_rostered(state.scheduler, agent.stream, rostered, state.now)


def is_rostered(state, agent):
    """Return True when the agent's newest roster record is fresh enough.

    The clock skew is taken off, so that an owner with a slow clock uses no agent
    that a takeover would not count.
    """
    claims = state.settings.claims
    oldest = state.wall - (claims.roster_ttl_s - claims.max_clock_skew_s)
    return state.claim_table.roster.get(agent.incarnation, float("-inf")) >= oldest


def roster_read(state, roster):
    """Agents were put on the roster or refreshed."""
    for incarnation in roster.agents:
        agent = state.agents.get(incarnation)
        if agent is not None and agent.stream is not None:
            update_roster(state, agent)


def assign(state):
    """Send what the scheduler decided."""
    for assignment in state.policy.next_assignments(state.scheduler, state.now):
        agent = state.agent_streams.get(assignment.stream)
        job = state.jobs.get(assignment.job)
        if job is None or job.phase is not Phase.RUNNING:
            continue
        if agent is None or not _may_send(state, job, agent):
            give_back(state, assignment.stream, job, assignment.indexes)
            continue
        _send_tasks(state, job, agent, assignment)


def _may_send(state, job, agent):
    claims = state.settings.claims
    if state.wall > job.expires_at - claims.max_clock_skew_s:
        return False
    return is_rostered(state, agent) if job.claimed else True


def give_back(state, stream, job, indexes):
    """Have the scheduler queue tasks again that did not start."""
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
    waiting, entitlement = state.policy.waiting(state.scheduler, assignment.stream)
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


def send_demand(state):
    """Tell agents of work that began or ceased to wait."""
    for stream, demand in state.policy.demand(state.scheduler, state.now):
        send(state, stream, demand)
