"""Retry budget of a team for tasks that were returned without having started."""

MAX_TOKENS = 200.0
TOKENS_PER_S = 10.0  # without it, a team with few starts could hardly retry


def earn_tokens(team, count):
    """Add budget for started tasks."""
    tokens = team.retry_tokens + count * team.budget_share
    team.retry_tokens = min(MAX_TOKENS, tokens)


def split_by_budget(team, indexes):
    """Spend budget; return the indexes to queue now and those to defer."""
    allowed = min(len(indexes), int(team.retry_tokens))
    team.retry_tokens -= allowed
    return indexes[:allowed], indexes[allowed:]


def defer_tasks(team, job, indexes):
    """Defer tasks until the budget allows their retry."""
    team.deferred.append((job, indexes))
    job.deferred += len(indexes)


def drop_deferred(team, job):
    """Remove and return the deferred tasks of a job."""
    dropped = [indexes for other, indexes in team.deferred if other is job]
    team.deferred = [entry for entry in team.deferred if entry[0] is not job]
    job.deferred = 0
    return [index for indexes in dropped for index in indexes]


def release_deferred(team, elapsed_s):
    """Return the (job, indexes) that the budget now allows, oldest first."""
    tokens = team.retry_tokens + elapsed_s * TOKENS_PER_S
    team.retry_tokens = min(MAX_TOKENS, tokens)
    released = []
    while team.deferred and team.retry_tokens >= 1:
        job, indexes = team.deferred[0]
        ready, deferred = split_by_budget(team, indexes)
        released.append((job, ready))
        job.deferred -= len(ready)
        if deferred:
            team.deferred[0] = (job, deferred)
            break
        team.deferred.pop(0)
    return released
