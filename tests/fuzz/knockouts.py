"""Knockouts: each disables one safety mechanism, which the oracle must detect.

Each function applies its changes with ``patch(owner, name, replacement)``.
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


def skip_fencing(patch):
    """A new owner sends no fence and assumes that no agent has started a task."""

    def answer_fence_with_empty_inventory(state, agent, fence):
        agent.pending_fences.setdefault(fence.owner, deque()).append(fence.jobs)
        takeover.inventory_received(
            state, agent, Inventory(fence.owner, agent.incarnation, [])
        )

    patch(takeover, "_send_fence", answer_fence_with_empty_inventory)


def skip_claim(patch):
    """An entry runs a job without a claim in the log."""
    patch(appends, "queue_claim", _run_without_claim)


def _run_without_claim(state, job):
    ownership.run_tasks(state, job, range(len(job.spec.tasks)))


def trust_unknown_append(patch):
    """An entry treats an append of unknown outcome as a won claim."""
    append_failed = appends.append_failed

    def append_failed_or_won(state, event):
        pending_append = state.pending_appends.get(event.record_id)
        append_failed(state, event)
        for job_id in (
            pending_append.jobs if pending_append and event.written is None else ()
        ):
            job = state.jobs.get(job_id)
            if job is not None and job.phase is Phase.CLAIMING:
                _run_without_claim(state, job)

    patch(appends, "append_failed", append_failed_or_won)


def ignore_expiry(patch):
    """Entries and agents accept work whose key has expired."""
    check_admission = submissions._check_admission

    def check_without_expiry(state, spec):
        refusal = check_admission(state, spec)
        is_expired = refusal is not None and refusal.reason == "key_expired"
        return None if is_expired else refusal

    patch(submissions, "_check_admission", check_without_expiry)
    patch(submissions, "_deadline", lambda state, spec: state.now + spec.deadline_s)
    patch(assignments, "_may_send", lambda state, job, agent: agent.rostered)
    patch(agent_messages, "_refusal_reason", lambda state, message, wall: "")
    start_queued = agent_tasks.start_queued
    for module in (agent, agent_messages, agent_tasks):
        patch(
            module,
            "start_queued",
            lambda state, now, wall: start_queued(state, now, 0.0),
        )


def forget_results(patch):
    """An agent discards the result of a task as soon as it has finished."""
    record_result = results.ResultStore.record_result

    def record_and_forget(store, job, result, now):
        record = record_result(store, job, result, now)
        if record is not None:
            record.results.clear()
        return record

    patch(results.ResultStore, "record_result", record_and_forget)


def ignore_roster(patch):
    """A takeover does not wait for rostered agents that are not connected."""
    patch(takeover, "eligible_agents", lambda table, job, ttl_s: set())


def refuse_without_check(patch):
    """A job is refused without a check of the log or of the peers."""

    def conclude_at_once(state, job, refusal):
        job.refusal = refusal
        submissions.conclude_refusal(state, job)

    patch(submissions, "refuse_job", conclude_at_once)


def skip_recall_confirmation(patch):
    """A cancel is acknowledged before agents have confirmed the recalls."""
    start_cancel = cancellation.start_cancel

    def start_cancel_unconfirmed(state, job):
        start_cancel(state, job)
        if job.phase is Phase.CANCELLING:
            job.pending_recalls.clear()
            cancellation._end_if_confirmed(state, job)

    patch(cancellation, "start_cancel", start_cancel_unconfirmed)


def ignore_inventory(patch):
    """A task that was sent on a broken stream counts as not started."""

    def skip_reconciliation(state, agent, message):
        agents.reconcile_inventory(state, agent, {})

    patch(agents, "inventory_received", skip_reconciliation)
    patch(
        agents,
        "MESSAGE_HANDLERS",
        agents.MESSAGE_HANDLERS | {Inventory: skip_reconciliation},
    )


def requeue_before_log_read(patch):
    """Tasks missing from an inventory start before the log is read again."""
    requeue_unlisted = agents._requeue_unlisted
    resolve_takeover = takeover.resolve_takeover

    def requeue_at_once(state, agent, job, indexes):
        requeue_unlisted(state, agent, job, indexes)
        state.claims_current_as_of, previous = state.now, state.claims_current_as_of
        agents.requeue_owned_tasks(state)
        state.claims_current_as_of = previous

    def resolve_without_read(state, job):
        job.last_inventory_at = float("-inf")
        resolve_takeover(state, job)

    patch(agents, "_requeue_unlisted", requeue_at_once)
    patch(takeover, "resolve_takeover", resolve_without_read)


def keep_undecided_refusal(patch):
    """A refusal is kept for later attempts although the claim is undecided."""

    def conclude_and_keep(state, job):
        refusal = job.refusal
        job.keep_answer = bool(job.claim_record_id)
        answers.end_job(state, job, JobStatus.NOT_RUN, refusal.reason)

    patch(submissions, "conclude_refusal", conclude_and_keep)


def ignore_unreachable_peers(patch):
    """A refusal counts unreachable peers as if they had answered."""
    finish_locating = submissions.finish_locating

    def finish_locating_with_all_peers(state, job):
        job.all_peers_queried = True
        job.pending_locates = set()
        finish_locating(state, job)

    patch(submissions, "finish_locating", finish_locating_with_all_peers)


def trust_forgotten_keys(patch):
    """A refusal relies on entries that may have forgotten the expired key."""
    patch(submissions, "_is_within_retention", lambda state, job: True)


def requeue_unlisted_idempotent(patch):
    """An idempotent task is requeued when the inventory does not list it."""

    def requeue_as_unstarted(state, agent, job, indexes):
        forgotten = agents._forget_locations(agent, job, job.id, indexes)
        if forgotten and job.phase is Phase.RUNNING:
            assignments.requeue_unstarted(state, agents.NO_STREAM, job, forgotten)

    patch(agents, "_end_unlisted_idempotent", requeue_as_unstarted)


def cancel_before_claim_decided(patch):
    """A cancel is acknowledged before the claim is decided."""
    patch(cancellation, "CLAIM_UNDECIDED", Refusal(Reason.CANCELLED, ""))


def cancel_before_recorded(patch):
    """A cancel is acknowledged before its record is in the log."""
    patch(cancellation, "_is_recorded", lambda state, job: True)


def skip_refusal_renewal(patch):
    """A refusal is as of the first waiting attempt, and later ones do not renew it."""
    patch(submissions, "renew_refusal", lambda state, job: None)


KNOCKOUTS = {
    function.__name__: function
    for function in (
        skip_fencing,
        skip_claim,
        trust_unknown_append,
        ignore_expiry,
        forget_results,
        ignore_roster,
        refuse_without_check,
        skip_recall_confirmation,
        ignore_inventory,
        requeue_before_log_read,
        keep_undecided_refusal,
        ignore_unreachable_peers,
        trust_forgotten_keys,
        requeue_unlisted_idempotent,
        cancel_before_claim_decided,
        cancel_before_recorded,
        skip_refusal_renewal,
    )
}
