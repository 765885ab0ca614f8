"""Mechanisms of the roles that a walk must miss when they are switched off."""

from turmericknot.scheduling import (
    job_requests,
    owner as decisions,
    ownership,
    reports,
    runs,
    worker_lists,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.owner import OwnerTimes


def give_up_runs_early(patch):
    """The owner starts a task anew while its former run may go on."""
    patch(decisions, "OwnerTimes", lambda: OwnerTimes(grant_s=0.2, grant_margin_s=0.0))


def lease_without_grants(patch):
    """The agent renews the lease whatever the owners have granted."""

    def deadline(state, now):
        return int((worker_runs.worker_clock(state, now) + 1.0) * 1000)

    patch(worker_lists, "lease_deadline_ms", deadline)


def no_fence_after_a_lost_answer(patch):
    """An order without an answer is settled by a look, but not fenced off."""
    patch(worker_starts, "raise_fence", lambda state, now: None)


def no_wait_for_former_runs(patch):
    """A new owner starts tasks before the agents of the former one have reported."""
    gain = ownership.gain_shard

    def gain_at_once(owner, number, epoch, items, now):
        gain(owner, number, epoch, items, now)
        runs.end_recovery(owner, owner.shards[number], "knocked out", now)

    patch(ownership, "gain_shard", gain_at_once)


def note_ends_at_once(patch):
    """Ends of stored jobs are noted before the store knows of them."""
    ended = reports.runs_ended

    def note_and_end(owner, agent, shard, life, ends, now):
        decisions.send_acknowledgements(
            owner, [(agent, life, end.number) for end in ends]
        )
        ended(owner, agent, shard, life, ends, now)

    patch(reports, "runs_ended", note_and_end)


def orders_of_any_epoch(patch):
    """Agents take orders of owners that others have replaced."""
    refusal = worker_starts._refusal_reason

    def refuse(*arguments):
        reason = refusal(*arguments)
        return "" if reason == "fenced" else reason

    patch(worker_starts, "_refusal_reason", refuse)


def accept_before_it_is_stored(patch):
    """A job is accepted when its record is on the way to the store."""
    submit = job_requests.submit_job

    def submit_at_once(owner, shard, job_id, record, waiter, now):
        submit(owner, shard, job_id, record, waiter, now)
        known = owner.shards.get(shard) and owner.shards[shard].jobs.get(job_id)
        if known is not None and not known.is_stored:
            job_requests._acceptance_stored(owner, known, now)

    patch(job_requests, "submit_job", submit_at_once)


def cancel_before_it_is_stored(patch):
    """A cancel is acknowledged while a later owner would not know of it."""
    cancel = job_requests.cancel_job

    def cancel_at_once(owner, shard, job_id, waiter, now):
        cancel(owner, shard, job_id, waiter, now)
        known = owner.shards.get(shard) and owner.shards[shard].jobs.get(job_id)
        if known is not None and known.is_cancelling:
            for waiting in known.cancel_waiters:
                decisions.answer(owner, waiting, Outcome.CANCELLED)
            known.cancel_waiters = []

    patch(job_requests, "cancel_job", cancel_at_once)


def offer_worker_unseen(patch):
    """A restarted agent offers its worker before it knows what runs there."""
    create = worker_runs.create_worker_runs

    def create_synced(*arguments):
        state = create(*arguments)
        state.is_synced = True
        return state

    patch(worker_runs, "create_worker_runs", create_synced)


KNOCKOUTS = {
    function.__name__: function
    for function in (
        give_up_runs_early,
        lease_without_grants,
        no_fence_after_a_lost_answer,
        no_wait_for_former_runs,
        note_ends_at_once,
        orders_of_any_epoch,
        accept_before_it_is_stored,
        cancel_before_it_is_stored,
        offer_worker_unseen,
    )
}
