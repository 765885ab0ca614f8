"""Mechanisms taken out one by one, to show that the oracle notices.

Each function takes ``patch(owner, name, replacement)``.
"""

from collections import deque

from turmericknot.dispatch import (
    agent,
    agent_messages,
    agent_tasks,
    agents,
    answers,
    appends,
    assignments,
    cancellation,
    ownership,
    results,
    submissions,
    takeover,
)
from turmericknot.dispatch.entry_state import Phase
from turmericknot.dispatch.scheduler import Refusal
from turmericknot.dispatch.tasks import JobStatus, Reason
from turmericknot.wire.messages import Inventory


def fencing(patch):
    """A new owner asks no agent and takes it that none has started anything."""

    def pretend(state, agent, fence):
        agent.pending_fences.setdefault(fence.owner, deque()).append(fence.jobs)
        takeover.inventory_received(
            state, agent, Inventory(fence.owner, agent.incarnation, [])
        )

    patch(takeover, "_send_fence", pretend)


def claim(patch):
    """An entry runs a job at once, without asking the log."""
    patch(appends, "queue_claim", _run)


def _run(state, job):
    ownership.run_tasks(state, job, range(len(job.spec.tasks)))


def read_back(patch):
    """An entry takes a lost answer to its append for a won claim."""
    failed = appends.append_failed

    def on_failure(state, event):
        pending = state.pending_appends.get(event.record_id)
        failed(state, event)
        for job_id in pending.jobs if pending and event.written is None else ():
            job = state.jobs.get(job_id)
            if job is not None and job.phase is Phase.CLAIMING:
                _run(state, job)

    patch(appends, "append_failed", on_failure)


def expiry(patch):
    """Entries and agents take work whose key has expired."""
    check = submissions._check_admission

    def lenient(state, spec):
        refusal = check(state, spec)
        late = refusal is not None and refusal.reason == "key_expired"
        return None if late else refusal

    patch(submissions, "_check_admission", lenient)
    patch(submissions, "_deadline", lambda state, spec: state.now + spec.deadline_s)
    patch(assignments, "_may_send", lambda state, job, agent: agent.rostered)
    patch(agent_messages, "_refusal_reason", lambda state, message, wall: "")
    start = agent_tasks.start_queued
    for module in (agent, agent_messages, agent_tasks):
        patch(module, "start_queued", lambda state, now, wall: start(state, now, 0.0))


def result_retention(patch):
    """An agent forgets a task as soon as it has finished."""
    finish = results.ResultStore.record_result

    def forget(store, job, result, now):
        record = finish(store, job, result, now)
        if record is not None:
            record.results.clear()
        return record

    patch(results.ResultStore, "record_result", forget)


def roster(patch):
    """A takeover waits for no agent that it is not connected to."""
    patch(takeover, "eligible_agents", lambda table, job, ttl_s: set())


def refusal_check(patch):
    """A refusal is answered without asking the log or the peers."""

    def refuse(state, job, refusal):
        job.refusal = refusal
        submissions.conclude_refusal(state, job)

    patch(submissions, "refuse_job", refuse)


def recall_confirmation(patch):
    """A cancel is acknowledged when the recalls have been sent."""
    start = cancellation.start_cancel

    def hasty(state, job):
        start(state, job)
        if job.phase is Phase.CANCELLING:
            job.pending_recalls.clear()
            cancellation._end_if_confirmed(state, job)

    patch(cancellation, "start_cancel", hasty)


def inventory_check(patch):
    """A task sent on a broken stream is taken for not started."""

    def leave(state, agent, message):
        agents.reconcile_inventory(state, agent, {})

    patch(agents, "inventory_received", leave)
    patch(agents, "MESSAGE_HANDLERS", agents.MESSAGE_HANDLERS | {Inventory: leave})


def table_after_inventory(patch):
    """Tasks absent from an inventory start before the table is read again."""
    requeue = agents._requeue_unlisted
    resolve = takeover.resolve_takeover

    def at_once(state, agent, job, indexes):
        requeue(state, agent, job, indexes)
        state.claims_current_as_of, known = state.now, state.claims_current_as_of
        agents.requeue_owned_tasks(state)
        state.claims_current_as_of = known

    def unread(state, job):
        job.last_inventory_at = float("-inf")
        resolve(state, job)

    patch(agents, "_requeue_unlisted", at_once)
    patch(takeover, "resolve_takeover", unread)


def refusal_forgotten(patch):
    """A refusal whose claim is undecided is kept and given again."""

    def keep(state, job):
        refusal = job.refusal
        job.keep_answer = bool(job.claim_record_id)
        answers.end_job(state, job, JobStatus.NOT_RUN, refusal.reason)

    patch(submissions, "conclude_refusal", keep)


def all_peers(patch):
    """A refusal counts peers that cannot be asked as if they had answered."""
    located = submissions.finish_locating

    def lenient(state, job):
        job.all_peers_queried = True
        job.pending_locates = set()
        located(state, job)

    patch(submissions, "finish_locating", lenient)


def remembered(patch):
    """A refusal trusts entries that have forgotten an expired key."""
    patch(submissions, "_is_within_retention", lambda state, job: True)


def absence_unclaimed(patch):
    """An idempotent task is queued again when the inventory lacks it."""

    def requeue(state, agent, job, indexes):
        known = agents._forget_locations(agent, job, job.id, indexes)
        if known and job.phase is Phase.RUNNING:
            assignments.requeue_unstarted(state, agents.NO_STREAM, job, known)

    patch(agents, "_end_unlisted_idempotent", requeue)


def cancel_undecided(patch):
    """A cancel is acknowledged before the claim was decided."""
    patch(cancellation, "CLAIM_UNDECIDED", Refusal(Reason.CANCELLED, ""))


def cancel_record(patch):
    """A cancel is acknowledged before it lies in the log."""
    patch(cancellation, "_is_recorded", lambda state, job: True)


def renewal(patch):
    """A refusal holds as of the first attempt that waits for it."""
    patch(submissions, "renew_refusal", lambda state, job: None)


KNOCKOUTS = {
    function.__name__: function
    for function in (
        fencing,
        claim,
        read_back,
        expiry,
        result_retention,
        roster,
        refusal_check,
        recall_confirmation,
        inventory_check,
        table_after_inventory,
        refusal_forgotten,
        all_peers,
        remembered,
        absence_unclaimed,
        cancel_undecided,
        cancel_record,
        renewal,
    )
}
