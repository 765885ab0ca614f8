"""What has changed since waiting tasks were last matched with free capacity.

At peak load, hundreds of tasks wait and every worker is full. A report of one agent
then frees capacity at that agent alone, so only that agent is offered the waiting
tasks, and only a task that has begun to wait is offered to all agents. A pass over all
agents for every message would cost messages x agents.
"""

from heapq import heappop, heappush

# A pass over all waiting tasks and agents corrects what no event has announced.
FULL_PASS_INTERVAL_S = 1.0


class PlacementEvents:
    """Jobs with new waiting tasks, and agents with new capacity."""

    __slots__ = ("_jobs", "_agents", "_returns", "_job_returns", "_next_full_pass_at")

    def __init__(self):
        self._jobs = {}  # job id -> Job
        self._agents = {}  # agent id -> None, in the order of the events
        self._returns = []  # heap of (time, id of an agent that is usable again then)
        self._job_returns = []  # heap of (time, id, number, Job) whose wait ends
        self._next_full_pass_at = 0.0

    @property
    def new_jobs(self):
        """Return the jobs, by id, that no pass over all agents has reached yet."""
        return self._jobs

    def job_waits(self, job):
        """Record that a task of the job has begun to wait."""
        self._jobs[job.id] = job

    def capacity_freed(self, agent_id):
        """Record that an agent may have more capacity than before."""
        self._agents[agent_id] = None

    def agent_returns_at(self, agent_id, usable_at):
        """Record that an agent gets no new runs until then."""
        heappush(self._returns, (usable_at, agent_id))

    def job_returns_at(self, job, at):
        """Record that a task of the job is to be offered to all agents then."""
        heappush(self._job_returns, (at, job.id, id(job), job))

    @property
    def next_job_return_at(self):
        """Return when a job is to be offered to all agents; None if never."""
        return self._job_returns[0][0] if self._job_returns else None

    def pop_agents(self, now):
        """Return the ids of the agents to offer waiting tasks to."""
        while self._job_returns and self._job_returns[0][0] <= now:
            self.job_waits(heappop(self._job_returns)[-1])
        while self._returns and self._returns[0][0] <= now:
            self._agents[heappop(self._returns)[1]] = None
        agents, self._agents = self._agents, {}
        return agents

    def clear(self):
        """Forget everything that a pass over all tasks and agents covers."""
        self._jobs.clear()
        self._agents.clear()

    def clear_job_returns(self):
        """Forget the ends of waits, because no task waits."""
        self._job_returns.clear()

    def is_full_pass_due(self, now):
        """Return whether to match all waiting tasks with all agents now."""
        if now < self._next_full_pass_at:
            return False
        self._next_full_pass_at = now + FULL_PASS_INTERVAL_S
        return True


def create_placement_events():
    """Return events of an owner whose first pass covers everything."""
    return PlacementEvents()
