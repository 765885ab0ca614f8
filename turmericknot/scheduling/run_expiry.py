"""Which runs at a silent agent have certainly ended, so that their tasks may restart.

An agent stops the runs of an owner when its grant expires. If another owner has taken
the shard over before, however, the agent has accepted that owner and goes on under its
grants, and has no reason to ask the former one again. The silence of the agent then
looks like its loss. Only the store can tell the two apart, so an owner that cannot
reach it keeps the runs.
"""

from .owner import log


def expire_agent(owner, view, now):
    """Return the tasks whose runs at a silent agent have ended or will never begin.

    ``now`` and all times of the owner are steady seconds. An agent that is not silent
    has none.
    """
    expires_at = view.granted_until + owner.times.grant_margin_s
    if now < expires_at:
        return []
    ended, undecided = [], []
    for task in view.tasks.values():
        if now - task.started_at < owner.times.start_without_grant_s:
            continue
        if _has_waited_for_grant(view, task) or _has_no_successor(
            owner, task, expires_at
        ):
            ended.append(task)
        else:
            undecided.append(task)
    if undecided and not view.is_expired:
        log(owner, "agent.undecided", agent=view.id, runs=len(undecided))
    view.is_expired = True
    return ended


def _has_waited_for_grant(view, task):
    """Return whether the run was sent after the last grant had expired.

    It has not started: the agent queues it and requests a grant. The stop that precedes
    the next grant on the stream removes it from the agent's queue.
    """
    return task.started_at > view.granted_until


def _has_no_successor(owner, task, expires_at):
    """Return whether no other owner can have taken the run over before it ended.

    A shard that was lost has no runs of this owner; a job of it may have been dropped
    before, with a run whose end was never reported.
    """
    shard = owner.shards.get(task.job.shard)
    return shard is None or not shard.is_durable or shard.confirmed_at >= expires_at
