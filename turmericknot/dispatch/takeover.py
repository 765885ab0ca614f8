"""Takeover of jobs from an entry that cannot be reached."""

from collections import deque

from turmericknot.dispatch import answers, appends, cancellation, ownership
from turmericknot.dispatch.claims import EXPIRED_CLAIM_GRACE_S, eligible_agents
from turmericknot.dispatch.entry_state import (
    IssuedFence,
    Phase,
    count,
    enter_phase,
    send,
)
from turmericknot.dispatch.tasks import JobStatus, Reason
from turmericknot.wire.messages import Fence


def begin_takeover(state, job, owner, owner_terminated):
    """Fence the owner for this job, or for all of its jobs if it has terminated."""
    count(state, "takeovers")
    job.owner = owner
    enter_phase(state, job, Phase.FENCING, state.settings.claims.inventory_timeout_s)
    appends.queue_fence(state, owner, [] if owner_terminated else [job.id])


def takeover_won(state, job, record):
    """Request inventories from agents, now that the log names this entry as owner."""
    job.former_owners = [
        owner for owner in record.former_owners if owner != state.incarnation
    ]
    enter_phase(state, job, Phase.INVENTORY, state.settings.claims.inventory_timeout_s)
    agents = eligible_agents(
        state.claim_table, job.id, state.settings.claims.roster_ttl_s
    )
    job.can_prove_unstarted = (
        agents is not None and state.incarnation not in record.former_owners
    )
    job.missing_inventories = {
        (agent, owner) for agent in agents or () for owner in job.former_owners
    }
    expires_at = job.expires_at + EXPIRED_CLAIM_GRACE_S
    # Oldest owner first: an agent that has not seen an earlier takeover must not
    # reassign tasks between two of the inventories.
    for owner in job.former_owners:
        state.new_fences.append(IssuedFence(owner, [job.id], expires_at))
    # A start by the former owner may still be in flight to an agent, so the cancel is
    # acknowledged only after the agents have sent their inventories.
    job.cancelled = job.cancelled or record.cancelled
    resolve_takeover(state, job)


def flush_fences(state):
    """Send the fences issued by this event, merged per former owner and agent."""
    merged = {}
    for fence in state.new_fences:
        merged_fence = merged.setdefault(fence.owner, IssuedFence(fence.owner, [], 0.0))
        merged_fence.jobs.extend(fence.jobs)
        merged_fence.expires_at = max(merged_fence.expires_at, fence.expires_at)
    state.new_fences.clear()
    state.fences.extend(merged.values())
    for agent in state.agent_streams.values():
        for fence in merged.values():
            _send_fence(state, agent, fence)


def resend_fences(state, agent):
    """Send all current fences to an agent that has just connected."""
    for fence in state.fences:
        _send_fence(state, agent, fence)


def _send_fence(state, agent, fence):
    replies = agent.pending_fences.setdefault(fence.owner, deque())
    replies.append(fence.jobs)
    send(state, agent.stream, Fence(fence.owner, state.incarnation, fence.jobs))


def forget_fences(state):
    """Drop fences that concern only expired keys."""
    state.fences = [fence for fence in state.fences if fence.expires_at > state.wall]


def inventory_received(state, agent, message):
    """Handle an agent's answer to the oldest pending fence of that owner."""
    replies = agent.pending_fences.get(message.owner)
    if not replies:
        return
    listed = {entry.job: entry for entry in message.jobs}
    for job_id in replies.popleft():
        job = state.jobs.get(job_id)
        if job is None or message.owner not in job.former_owners:
            continue
        if job_id in listed:
            _apply_inventory(state, job, agent, listed[job_id])
        job.last_inventory_at = state.now
        job.missing_inventories.discard((agent.incarnation, message.owner))
        resolve_takeover(state, job)


def _apply_inventory(state, job, agent, entry):
    """Apply what one agent reports about the tasks of a job."""
    if job.phase is not Phase.INVENTORY:
        return
    job.may_have_started = True
    for index in entry.running:
        note_running(job, agent, index)
    for result in entry.results:
        job.reported_by.add(agent.incarnation)
        answers.task_ended(state, job, result)
    if entry.forgotten and job.phase is Phase.INVENTORY:
        _end_unknown(state, job, "an agent dropped a result before the takeover")


def note_running(job, agent, index):
    """Record that a task runs on an agent."""
    if index not in job.outcomes:
        job.task_agents[index] = agent.incarnation
        agent.sent_tasks.setdefault(job.id, set()).add(index)


def _unresolved_indexes(job):
    total = range(len(job.spec.tasks))
    return [i for i in total if i not in job.outcomes and i not in job.task_agents]


def resolve_takeover(state, job):
    """Finish a takeover once the state of every task is known.

    Only tasks that provably did not start are queued.
    """
    if job.phase is not Phase.INVENTORY:
        return
    unresolved = _unresolved_indexes(job)
    if unresolved and (job.missing_inventories or not job.can_prove_unstarted):
        return
    if unresolved and state.claims_current_as_of < job.last_inventory_at:
        # An agent that has accepted a newer fence no longer lists the job for this
        # entry. That fence is in the log already, so read the log first.
        appends.request_read(state)
        return
    if job.cancelled:
        cancellation.start_cancel(state, job)
    else:
        ownership.run_tasks(state, job, unresolved)


def takeover_timed_out(state, job):
    """End a job whose fence or inventories did not arrive in time."""
    if job.phase is Phase.FENCING:
        job.keep_answer = False
        answers.end_job(state, job, JobStatus.UNKNOWN, Reason.OWNER_UNREACHABLE)
    else:
        _end_unknown(
            state, job, f"{len(job.missing_inventories)} inventories are missing"
        )


def _end_unknown(state, job, detail):
    answers.end_job(state, job, JobStatus.UNKNOWN, Reason.MAY_HAVE_STARTED, detail)
