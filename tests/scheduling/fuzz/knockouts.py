"""Knockouts: each disables one safety mechanism, which the oracle must detect.

Each function applies its changes with ``patch(owner, name, replacement)``.
"""

from turmericknot.scheduling import (
    job_requests,
    owner as decisions,
    ownership,
    reports,
    runs,
    worker_leases,
    worker_lists,
    worker_runs,
    worker_starts,
)
from turmericknot.scheduling.commands import Outcome
from turmericknot.scheduling.owner import OwnerTimes


def give_up_runs_early(patch):
    """The owner restarts a task while its previous run may still be running."""
    patch(decisions, "OwnerTimes", lambda: OwnerTimes(grant_s=0.2, grant_margin_s=0.0))


def give_up_unconfirmed_runs(patch):
    """An owner restarts the runs of silent agents that may have a later owner."""
    expire_agent = runs.expire_agent

    def expire_agent_unconfirmed(owner, view, now):
        confirmed_at = {n: s.confirmed_at for n, s in owner.shards.items()}
        for shard in owner.shards.values():
            shard.confirmed_at = now
        ended = expire_agent(owner, view, now)
        for number, shard in owner.shards.items():
            shard.confirmed_at = confirmed_at[number]
        return ended

    patch(runs, "expire_agent", expire_agent_unconfirmed)


def renew_lease_without_grants(patch):
    """The agent renews the worker's lease without regard to the owners' grants."""

    def always_renewed_deadline_ms(state, now):
        return int((worker_runs.worker_clock(state, now) + 1.0) * 1000)

    patch(worker_lists, "lease_deadline_ms", always_renewed_deadline_ms)


def skip_fence_after_lost_response(patch):
    """A start without a response is settled by a renewal, but no fence is raised."""
    patch(worker_starts, "raise_fence", lambda state, now: None)


def skip_recovery_wait(patch):
    """A new owner starts tasks before the previous owner's agents have reported."""
    gain_shard = ownership.gain_shard

    def gain_without_wait(owner, number, epoch, items, now):
        gain_shard(owner, number, epoch, items, now)
        runs.end_recovery(owner, owner.shards[number], "knocked out", now)

    patch(ownership, "gain_shard", gain_without_wait)


def acknowledge_ends_before_stored(patch):
    """Ends of the tasks of durable jobs are acknowledged before they are stored."""
    runs_ended = reports.runs_ended

    def acknowledge_and_end(owner, agent, shard, life, ends, now):
        decisions.send_acknowledgements(
            owner, [(agent, life, end.number) for end in ends]
        )
        runs_ended(owner, agent, shard, life, ends, now)

    patch(reports, "runs_ended", acknowledge_and_end)


def accept_any_epoch(patch):
    """Agents accept requests from owners that have been replaced."""
    refusal_reason = worker_starts._refusal_reason

    def refusal_reason_but_fenced(*arguments):
        reason = refusal_reason(*arguments)
        return "" if reason == "fenced" else reason

    patch(worker_starts, "_refusal_reason", refusal_reason_but_fenced)


def accept_before_stored(patch):
    """A job is accepted before its record has been stored."""
    submit_job = job_requests.submit_job

    def submit_and_accept(owner, shard, job_id, record, waiter, now):
        submit_job(owner, shard, job_id, record, waiter, now)
        job = owner.shards.get(shard) and owner.shards[shard].jobs.get(job_id)
        if job is not None and not job.is_stored:
            job_requests._acceptance_stored(owner, job, now)

    patch(job_requests, "submit_job", submit_and_accept)


def cancel_before_stored(patch):
    """A cancel is acknowledged before it is stored, so a later owner may miss it."""
    cancel_job = job_requests.cancel_job

    def cancel_and_acknowledge(owner, shard, job_id, waiter, now):
        cancel_job(owner, shard, job_id, waiter, now)
        job = owner.shards.get(shard) and owner.shards[shard].jobs.get(job_id)
        if job is not None and job.is_cancelling:
            for cancel_waiter in job.cancel_waiters:
                decisions.answer(owner, cancel_waiter, Outcome.CANCELLED)
            job.cancel_waiters = []

    patch(job_requests, "cancel_job", cancel_and_acknowledge)


def report_worker_before_sync(patch):
    """A restarted agent reports its worker before it has the list of its runs."""
    create_worker_runs = worker_runs.create_worker_runs

    def create_synced(*arguments):
        state = create_worker_runs(*arguments)
        state.is_synced = True
        return state

    patch(worker_runs, "create_worker_runs", create_synced)


def start_under_any_lease(patch):
    """A run starts although the worker has a lease that outlasts its grant."""

    def may_start_runs(state, shard, now):
        return (
            worker_leases.has_valid_grant(state, shard, now)
            and state.shards[shard].is_confirmed
        )

    patch(worker_starts, "may_start_runs", may_start_runs)


def start_under_the_previous_grant(patch):
    """Runs of a new owner start under the grant of the previous one."""

    def may_start_runs(state, shard, now):
        return worker_leases.has_valid_grant(state, shard, now) and (
            state.lease_until
            <= state.shards[shard].expires_at + worker_leases.LEASE_LAPSE_MARGIN_S
        )

    patch(worker_starts, "may_start_runs", may_start_runs)


def give_up_queued_runs_silently(patch):
    """A run that waits for a grant is given up without a stop that precedes it."""
    patch(runs, "send_stop", lambda *arguments: None)


def refuse_runs_of_a_former_process(patch):
    """A start that a former process of the worker may have begun counts as refused."""
    check_unlisted_run = worker_lists._check_unlisted_run

    def check_as_of_the_present_process(state, run, call):
        if run.former_life and not run.is_confirmed and call.fence > run.fence:
            worker_starts.start_refused(state, run.name, "restarted")
        else:
            check_unlisted_run(state, run, call)

    patch(worker_lists, "_check_unlisted_run", check_as_of_the_present_process)


KNOCKOUTS = {
    function.__name__: function
    for function in (
        give_up_runs_early,
        give_up_unconfirmed_runs,
        renew_lease_without_grants,
        skip_fence_after_lost_response,
        skip_recovery_wait,
        acknowledge_ends_before_stored,
        accept_any_epoch,
        accept_before_stored,
        cancel_before_stored,
        report_worker_before_sync,
        start_under_any_lease,
        start_under_the_previous_grant,
        give_up_queued_runs_silently,
        refuse_runs_of_a_former_process,
    )
}
