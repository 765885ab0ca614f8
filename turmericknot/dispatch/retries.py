"""Retry budget for tasks that came back without having started."""

MAX_TOKENS = 200.0
TOKENS_PER_S = 10.0  # lets a team with few starts retry at all


def earn_tokens(team, count):
    """Earn budget for started tasks."""
    tokens = team.retry_tokens + count * team.budget_share
    team.retry_tokens = min(MAX_TOKENS, tokens)


def split_by_budget(team, indexes):
    """Return the indexes to queue at once and those to hold back."""
    allowed = min(len(indexes), int(team.retry_tokens))
    team.retry_tokens -= allowed
    return indexes[:allowed], indexes[allowed:]


def defer_tasks(team, job, indexes):
    """Hold tasks back until the budget allows them."""
    team.deferred.append((job, indexes))
    job.deferred += len(indexes)


def drop_deferred(team, job):
    """Remove and return the deferred tasks of a job."""
    mine = [indexes for held, indexes in team.deferred if held is job]
    team.deferred = [entry for entry in team.deferred if entry[0] is not job]
    job.deferred = 0
    return [index for indexes in mine for index in indexes]


def release_deferred(team, elapsed_s):
    """Return (job, indexes) whose retry the budget now allows, oldest first."""
    tokens = team.retry_tokens + elapsed_s * TOKENS_PER_S
    team.retry_tokens = min(MAX_TOKENS, tokens)
    released = []
    while team.deferred and team.retry_tokens >= 1:
        job, indexes = team.deferred[0]
        ready, held = split_by_budget(team, indexes)
        released.append((job, ready))
        job.deferred -= len(ready)
        if held:
            team.deferred[0] = (job, held)
            break
        team.deferred.pop(0)
    return released
