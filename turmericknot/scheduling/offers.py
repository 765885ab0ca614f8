"""One pass over waiting tasks: which agent each is offered, and which ones wait.

What a pass needs more than once, of agents, racks and jobs, is computed once.
"""

from . import (
    confinement,
    place_wait,
    placement,
    quarantine,
    worker_standing,
    workers,
)
from .owner import log
from .skips import ShapeSet

# Jobs examined in one pass that wait for their rack and are not counted as skipped.
MAX_EXAMINED_WAITS = 32


class Offer:
    """The agents that a pass offers to waiting tasks."""

    __slots__ = (
        "_owner",
        "_agent_ids",
        "_is_recorded",
        "_now",
        "_usable_agents",
        "_candidates",
        "_near",
        "_cells",
        "_avoided",
        "_doubtful",
        "_racks",
        "_terms",
        "_examined_waits",
        "_without_capacity",
        "_unfitting",
    )

    def __init__(self, owner, agent_ids, is_recorded, now):
        self._owner = owner
        self._agent_ids = agent_ids
        self._is_recorded = is_recorded
        self._now = now
        self._usable_agents = None
        self._candidates = {}  # shard number -> agents that may get its runs
        self._near = {}  # (shard number, rack) -> those of them on the rack
        self._cells = {}  # service -> ids of the agents that confined queues may use
        self._avoided = {}  # service -> ids of the agents that other tasks should avoid
        self._doubtful = None  # ids of the agents whose workers may not be sound
        self._racks = {}  # (service, rack) -> RackUse
        self._terms = (None, None)  # (job, step) and its Terms
        self._examined_waits = 0
        self._without_capacity = ShapeSet()  # no agent has capacity for these
        self._unfitting = ShapeSet()  # no worker fits these, even without other runs

    def order_jobs(self, jobs):
        """Return the jobs in the order in which they are offered the agents.

        Those of the highest priority that wait for the rack of one of the agents come
        first: no other job gains as much there.
        """
        places = self._owner.places
        if not jobs or not places.waits or self._agent_ids is self._owner.agents:
            return jobs
        labels = dict.fromkeys(
            label for name in self._agent_ids for label in places.labels_of(name)
        )
        priority = jobs[0].record.priority
        waiting = [
            job
            for job in places.waits.jobs_waiting_for(labels)
            if job.record.priority == priority
        ]
        if not waiting:
            return jobs
        first = {job.id for job in waiting}
        return waiting + [job for job in jobs if job.id not in first]

    def examine_wait(self, job):
        """Return whether the job waits for its rack and need not count as skipped."""
        if not self._owner.places.waits.has_job(job):
            return False
        self._examined_waits += 1
        return self._examined_waits <= MAX_EXAMINED_WAITS

    def choose_agent(self, shard, task, is_confined):
        """Return the agent for a task, or None if no worker has capacity.

        A task that has failed does not return to that worker, or to a doubtful one for
        its last attempt, in a pass over a few agents if one over all agents follows:
        the few are often just the worker whose capacity the failed run has freed.
        """
        record = task.job.record
        service, label = record.service, task.spec.required_label
        shape_key = (shard.number, service, label, record.priority == 0, is_confined)
        if self._without_capacity.contains(shape_key, task.spec):
            return None
        if service not in self._cells:
            self._divide_agents(service)
        agents = self._candidates_of(shard)
        near = self._near_agents(shard, task.spec.data_rack)
        if is_confined:
            cell = self._cells[service]
            agents = [agent for agent in agents if agent.id in cell]
            near = [agent for agent in near if agent.id in cell]
        doubtful = self._doubtful_agents(task)
        agent = placement.choose_agent_from_sample(
            agents,
            task,
            self._now,
            self._owner.rng,
            self._avoided[service] | doubtful,
            self._terms_of(task),
            near,
        )
        if agent is None and not task.spec.max_per_worker:
            self._without_capacity.add(shape_key, task.spec)
        is_offered_next = task.job.id in self._owner.placement_events.new_jobs
        if agent is None or not task.failures or not is_offered_next:
            return agent
        is_avoided = agent.id in doubtful or agent.id in task.avoided_agents
        return None if is_avoided else agent

    def has_fitting_worker(self, task, shard=None):
        """Return whether a worker of the offer could run the task if it were empty.

        ``shard`` limits the workers to those that may get runs of the shard.
        """
        service, spec = task.job.record.service, task.spec
        shape_key = (shard and shard.number, service, spec.required_label)
        if self._unfitting.contains(shape_key, spec):
            return False
        agents = self._all_usable() if shard is None else self._candidates_of(shard)
        is_any_fitting = any(
            agent.worker.service == service
            and workers.fits_empty_worker(agent.worker, spec)
            for agent in agents
        )
        if not is_any_fitting:
            self._unfitting.add(shape_key, spec)
        return is_any_fitting

    def _doubtful_agents(self, task):
        """Return the ids of the agents whose workers should not get the last attempt.

        Its failure fails the job, so it goes to a worker that is known to be sound.
        """
        if not task.failures or task.failures + 1 < task.job.record.attempts:
            return frozenset()
        if self._doubtful is None:
            self._doubtful = frozenset(
                agent.id
                for agent in self._owner.agents.values()
                if not worker_standing.is_sound(agent, self._now)
            )
        return self._doubtful

    def _all_usable(self):
        if self._usable_agents is None:
            views = [self._owner.agents[agent_id] for agent_id in self._agent_ids]
            self._usable_agents = [v for v in views if workers.is_usable(v, self._now)]
        return self._usable_agents

    def _candidates_of(self, shard):
        if shard.number not in self._candidates:
            self._candidates[shard.number] = [
                agent
                for agent in self._all_usable()
                if self._is_recorded(self._owner, shard, agent)
            ]
        return self._candidates[shard.number]

    def _near_agents(self, shard, rack):
        """Return the candidates on a rack, a sample of them at most."""
        candidates = self._candidates_of(shard)
        if not rack or len(candidates) <= workers.AGENT_SAMPLE_SIZE:
            return ()
        key = (shard.number, rack)
        if key not in self._near:
            owner = self._owner
            near = [
                agent
                for agent in owner.places.agents_of(rack)
                if workers.is_usable(agent, self._now)
                and self._is_recorded(owner, shard, agent)
            ]
            if len(near) > workers.AGENT_SAMPLE_SIZE:
                near = owner.rng.sample(near, workers.AGENT_SAMPLE_SIZE)
            self._near[key] = [agent for agent in near if agent.id in self._agent_ids]
        return self._near[key]

    def _divide_agents(self, service):
        """Find the agents that confined queues may use, and those to avoid."""
        owner = self._owner
        agents = owner.agents.values()
        avoided = quarantine.quarantine_agents(
            agents, service, self._now, owner.crash_history.last_suspect_at
        )
        cell = frozenset()
        if owner.confined_queues:
            cell = confinement.cell_agents(agents, service)
        self._cells[service], self._avoided[service] = cell, cell | avoided

    def _terms_of(self, task):
        job = task.job
        known, terms = self._terms
        if known != (job, task.step):
            owner, record = self._owner, job.record
            terms = placement.Terms(
                owner.run_times.expected_run_s(record.queue, task.spec),
                owner.places.far_factor,
                placement.latest_end(owner.run_times, job, task.step),
                owner.waiting.is_late(job),
                owner.places.drain_s(record.service),
                owner.places.demand_levels(record.service, self._now),
            )
            self._terms = ((job, task.step), terms)
        return terms

    def log_unfitting(self, task):
        """Log that no usable worker could run the task even if it were empty."""
        spec = task.spec
        self._log_first(
            "job.no_worker",
            task,
            label=spec.required_label,
            cpu=spec.cpu,
            memory=spec.memory,
            accelerators=spec.accelerators,
        )

    def pays_to_wait(self, task, agent):
        """Return whether the task waits for its rack instead of running at the agent.

        A job that is late already gains nothing by a place that another needs.
        """
        owner, places = self._owner, self._owner.places
        if places.far_factor <= 1.0 or not placement.is_far(agent, task.spec):
            return False
        terms = self._terms_of(task)
        use = self._rack_use(task)
        since = task.place_wait_since
        wait = place_wait.WaitTerms(
            near_start_s=place_wait.near_start_s(
                use, places.waits.cpu_ahead(task), task.spec.cpu, places.own_share
            ),
            near_run_s=terms.run_s * use.slowdown,
            far_end_s=placement.expected_end_s(agent, task.spec, terms),
            latest_end_s=terms.latest_end - self._now,
            waited_s=0.0 if since is None else self._now - since,
        )
        remaining_s = 0.0 if terms.is_late else place_wait.remaining_wait_s(wait)
        if remaining_s <= 0:
            if places.waits.end(task):
                owner.count("place_waits_given_up")
                self._log_wait("place.given_up", task, wait, remaining_s)
            return False
        if since is None:
            task.place_wait_since = self._now
            owner.count("place_waits")
        until = self._now + remaining_s
        if places.waits.extend(task, until, self._now):
            owner.placement_events.job_returns_at(task.job, until)
        self._log_wait("place.waited", task, wait, remaining_s)
        return True

    def _rack_use(self, task):
        service, rack = task.job.record.service, task.spec.data_rack
        key = (service, rack)
        if key not in self._racks:
            owner = self._owner
            agents = [
                agent
                for agent in owner.places.agents_of(rack)
                if workers.is_connected_and_usable(agent)
                and agent.worker.service == service
                and self._now >= agent.suspended_until
            ]
            drain_s = owner.places.drain_s(service) or self._terms_of(task).run_s
            self._racks[key] = place_wait.measure_rack(
                agents, drain_s, self._expected_run_s, self._now
            )
        return self._racks[key]

    def _expected_run_s(self, agent, task):
        owner = self._owner
        run_s = owner.run_times.expected_run_s(task.job.record.queue, task.spec)
        return run_s * owner.places.distance(agent, task.spec) * agent.slowdown

    def _log_wait(self, event, task, wait, remaining_s):
        """Log a decision on a wait with its inputs in ms."""
        self._log_first(
            event,
            task,
            rack=task.spec.data_rack,
            near_start=_ms(wait.near_start_s),
            near_run=_ms(wait.near_run_s),
            far_end=_ms(wait.far_end_s),
            latest_end=_ms(wait.latest_end_s),
            waited=_ms(wait.waited_s),
            remaining=_ms(remaining_s),
        )

    def _log_first(self, event, task, **fields):
        """Log the first event of its kind of the job."""
        job = task.job
        if event in job.logged_place_events:
            return
        job.logged_place_events = (*job.logged_place_events, event)
        name = f"{task.step}.{task.index}"
        log(self._owner, event, job=job.id, task=name, **fields)


def _ms(seconds):
    return "never" if seconds == float("inf") else round(seconds * 1000)


def log_started_tasks(owner, job, tasks, now):
    """Log the runs that a job gets in one pass; ``runs`` lists task:run@agent.

    ``near`` and ``far`` count those on and off the rack of their data.
    """
    fields = {}
    with_data = [task for task in tasks if task.spec.data_rack]
    if with_data:
        far = sum(
            placement.is_far(owner.agents[task.agent], task.spec) for task in with_data
        )
        fields = {"near": len(with_data) - far, "far": far}
        for name, count in fields.items():
            owner.count("started_" + name, count)
    log(
        owner,
        "tasks.started",
        job=job.id,
        runs=",".join(
            f"{task.step}.{task.index}:{task.run}@{task.agent}" for task in tasks
        ),
        waited=round(now - job.submitted_at, 3),
        **fields,
    )


def create_offer(owner, agent_ids, is_recorded, now):
    """Return an offer of these agents.

    ``is_recorded(owner, shard, agent)`` returns whether the agent may get runs of the
    shard.
    """
    return Offer(owner, agent_ids, is_recorded, now)
