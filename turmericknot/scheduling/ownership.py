"""Gaining and losing shards, and the recovery that a new owner must wait for.

A previous owner may have started runs that the new one does not know. The records of
the shard name every agent that it used. Tasks of earlier jobs start again only when
each of these agents has reported its runs, or when the longest grant of a previous
owner has expired.
"""

import msgspec

from turmericknot.wire.shard_messages import Grant

from . import admission
from .commands import Outcome, SendMessage
from .crash_history import Crash
from .job_requests import shard_confirmed
from .jobs import (
    JobState,
    TaskStatus,
    agent_of_key,
    create_job,
    decode_record,
)
from .owner import Shard, answer, granted_shards, log, release_capacity
from .pending import dequeue_job_tasks
from .runs import end_recovery


def gain_shard(owner, number, epoch, items, now):
    """Take over a shard after its previous owner has been fenced off.

    ``items`` holds (key, value) of all records of the shard. ``now`` must not be
    earlier than the time at which the store accepted the epoch.
    """
    shard = Shard(number, epoch)
    for key, value in items:
        agent_id = agent_of_key(key)
        if agent_id:
            shard.recorded_agents.add(agent_id)
            shard.usable_agents.add(agent_id)
            continue
        try:
            record = decode_record(value)
        except msgspec.DecodeError as error:
            log(owner, "record.unreadable", shard=number, key=key, error=str(error))
            continue
        job = _load_job(owner, shard, key, record, now)
        shard.jobs[key] = job
    shard.awaited_agents = set(shard.recorded_agents)
    times = owner.times
    shard.recovering_until = (
        now + times.unconfirmed_grants_s + times.grant_s + times.grant_margin_s
    )
    owner.shards[number] = shard
    shard.confirmed_at = now
    shard.workers_known_at = now + times.worker_discovery_s
    log(
        owner,
        "shard.gained",
        shard=number,
        epoch=epoch,
        jobs=len(shard.jobs),
        awaited=len(shard.awaited_agents),
    )
    for view in owner.agents.values():
        if view.is_connected:
            shards = granted_shards(owner, now, view)
            owner.commands.append(SendMessage(view.id, Grant(0, shards)))
    if not shard.awaited_agents:
        end_recovery(owner, shard, "no agent was used", now)


def _load_job(owner, shard, job_id, record, now):
    job = create_job(job_id, shard.number, record, now)
    job.is_stored = True
    job.published_state = job.state
    if job.state is JobState.ACTIVE:
        job.due_at = now + admission.objective_s(owner.run_times, record)
        for run in record.crashed_runs:
            key = (job_id, run.step, run.index)
            crash = Crash(run.is_suspect, run.has_started, run.is_confirmed, now)
            owner.crash_history.record(key, run.life, crash)
        is_old = record.accepted_epoch < shard.epoch
        for step in job.tasks:
            for task in step:
                if is_old and task.status is TaskStatus.BLOCKED:
                    task.status = TaskStatus.UNKNOWN
    return job


def lose_shard(owner, number, reason, now):
    """Drop a shard that belongs to another entry from now on."""
    shard = owner.shards.pop(number, None)
    if shard is None:
        return
    log(owner, "shard.lost", shard=number, epoch=shard.epoch, reason=reason)
    for job in shard.jobs.values():
        _forget_job(owner, job)
    for request in shard.unknown_job_requests:
        answer(owner, request.waiter, Outcome.NOT_READY, reason="owner_changed")
    for name, (_, shard_number, _) in list(owner.pending_stops.items()):
        if shard_number == number:
            del owner.pending_stops[name]


def _forget_job(owner, job):
    dequeue_job_tasks(owner, job)
    owner.waiting.forget_job(job)
    for task in job.running_tasks():
        view = owner.agents.get(task.agent)
        if view is not None:
            release_capacity(owner, view, task)
    for waiter in (*job.waiters, *job.cancel_waiters):
        answer(owner, waiter, Outcome.UNDECIDED, reason="owner_changed")
    job.waiters = []
    job.cancel_waiters = []


def confirm_ownership(owner, confirmed_at, unverified_shards=()):
    """Record that the store has confirmed the ownership of the verified shards.

    ``confirmed_at`` is the time at which the confirming call was sent. Another entry
    may have owned the ``unverified_shards`` meanwhile.
    """
    for shard in owner.shards.values():
        if shard.is_durable and shard.number not in unverified_shards:
            shard_confirmed(owner, shard, confirmed_at)
