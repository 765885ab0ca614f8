"""The entry: accepts jobs from clients, owns shards and directs agents."""

import asyncio
import contextlib
import math
import random
import signal
import time
import zlib

from turmericknot.aio.server import Response, create_http_server
from turmericknot.core.exceptions import (
    MessageError,
    UnsupportedJob,
)
from turmericknot.core.ids import create_incarnation_id, shard_of_job
from turmericknot.platform import jobs as platform_jobs
from turmericknot.platform.store import create_store
from turmericknot.scheduling import (
    besteffort,
    evacuation,
    job_requests,
    owner as decisions,
    reports,
    runs,
    worker_standing,
    workers,
)
from turmericknot.scheduling.commands import (
    AnswerRequest,
    Outcome,
    OwnerLogLine,
    SendMessage,
)
from turmericknot.scheduling.jobs import decode_record, encode_record
from turmericknot.scheduling.owner import OwnerTimes, create_owner
from turmericknot.utils.logging import get_logger
from turmericknot.wire import shard_messages as wire
from turmericknot.wire.links import LinkCallbacks, create_links

from .clock import steady_time
from .constants import REDIAL_LIMIT_S, SHARD_COUNT
from .membership import create_membership
from .metrics import start_metrics_server
from .operator import follow_operator
from .peers import PROBE_INTERVAL_S, create_peers, member_name
from .registrar import create_registrar
from .requests import RemoteWaiter, create_requests, deliver_answer
from .tasks import start_background_task, start_periodic_task
from .traffic_log import log_traffic

TICK_INTERVAL_S = 0.1
MIN_TIMER_S = 0.005  # far below a run; no timer fires more often
REQUEST_TIMEOUT_S = 1.4  # shorter than the usual deadline of a client
# States of finished jobs are kept this much longer than the platform requires.
STATE_RETENTION_MARGIN_S = 5.0
BEST_EFFORT_WAIT_S = 10.0  # for clients that send no deadline
# While the event loop is blocked, closed client connections go unnoticed. After a
# longer stall the entry pauses starts, so as not to start runs for clients that have
# disconnected.
STALL_THRESHOLD_S = 0.5
PAUSE_AFTER_STALL_S = 0.3
# How long new jobs are accepted after SIGTERM, when readiness already fails: load
# balancers need up to two probes, 1 s apart, to stop sending requests.
UNREADY_SERVING_S = 2.6
# The process exits this long before the platform would send SIGKILL. Requests in
# progress are served into the last sixth of the 6 s of grace.
SIGKILL_MARGIN_S = 0.6
# Callers that still wait are answered this long before the exit: jobs end in ticks.
FINAL_ANSWERS_S = 0.25


class AppendListener:
    """Passes the outcomes of appends on to the owner's decisions."""

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    def on_written(self, appender, batch, sent_at):
        """Handle a batch of records that is stored."""
        owner = self._node.owner
        now = steady_time()
        for command in batch:
            job_requests.record_stored(owner, command, appender.epoch, now)
        shard = owner.shards.get(batch[0].shard)
        if shard is not None and shard.epoch == appender.epoch:
            job_requests.shard_confirmed(owner, shard, sent_at)
        runs.schedule_tasks(owner, now)
        self._node.execute_commands()

    def on_not_written(self, appender, batch):
        """Handle records that are certainly not stored."""
        owner = self._node.owner
        now = steady_time()
        for command in batch:
            job_requests.record_not_stored(owner, command, appender.epoch, now)
        self._node.execute_commands()

    def on_undecided(self, batch):
        """Answer callers whose jobs may be stored, so that they retry."""
        for command in batch:
            if not job_requests.is_acceptance_token(command.token):
                continue
            for waiter in job_requests.pop_waiters(command.token):
                decisions.answer(self._node.owner, waiter, Outcome.UNDECIDED)
        self._node.execute_commands()

    def on_fenced(self, appender):
        """Release the shard of an appender that another entry has fenced off."""
        self._node.membership.drop_fenced_shard(appender)


class EntryNode:
    """One entry; it runs in one event loop."""

    __slots__ = (
        "settings",
        "log",
        "member",
        "owner",
        "store",
        "links",
        "membership",
        "peers",
        "requests",
        "append_listener",
        "configuration",
        "_agent_by_stream",
        "_stream_by_agent",
        "_shutdown",
        "_failed_task",
        "_is_draining",
        "_refuses_jobs",
        "_best_effort_shard",
        "_exit_deadline",
        "_registrar",
        "_place_wait_timer",
    )

    def __init__(self, settings):
        self.settings = settings
        self.log = get_logger()
        boot_id = create_incarnation_id("", random.SystemRandom()).strip("#")
        self.member = member_name(settings.node, settings.link_address, boot_id)
        times = OwnerTimes(
            finished_job_retention_s=settings.bounds.keep_s + STATE_RETENTION_MARGIN_S
        )
        self.owner = create_owner(
            times,
            random.Random(boot_id),
            steady_time(),
            settings.bounds.far_factor,
        )
        # Nothing starts before it is known which failure domains are evacuated.
        self.owner.paused_until = math.inf
        self._place_wait_timer = None
        self.store = create_store(settings.store.address, settings.store.partitions)
        callbacks = LinkCallbacks(
            self._on_opened,
            self._on_received,
            self._on_closed,
            lambda key, refused: None,
        )
        self.links = create_links(
            callbacks, settings.link_address, redial_max_delay_s=REDIAL_LIMIT_S
        )
        self.append_listener = AppendListener(self)
        self.membership = create_membership(self, self.store, self.member, SHARD_COUNT)
        self.peers = create_peers(self)
        self.requests = create_requests(self)
        self.configuration = None
        self._agent_by_stream = {}  # stream -> agent id
        self._stream_by_agent = {}  # agent id -> stream
        self._shutdown = asyncio.Event()
        self._failed_task = ""
        self._is_draining = False
        self._refuses_jobs = False  # set when a new job could not end before the exit
        # When a stopping process ends the jobs whose callers still wait.
        self._exit_deadline = None
        self._registrar = create_registrar(
            self.store, settings.node, settings.link_address
        )
        shard_number = zlib.crc32(self.member.encode())
        self._best_effort_shard = besteffort.open_best_effort_shard(
            self.owner, shard_number
        )

    def on_task_failure(self, name):
        """Shut down because a background task has failed."""
        self._failed_task = name
        self._shutdown.set()

    def execute_commands(self):
        """Execute the commands that the owner's decisions have produced."""
        owner = self.owner
        while owner.commands:
            for command in owner.pop_commands():
                self._execute_command(command)
        self.links.flush()
        self._set_place_wait_timer()

    def _set_place_wait_timer(self):
        """Decide again when the first wait for a rack no longer pays."""
        returns_at = self.owner.placement_events.next_job_return_at
        if returns_at is None or self._place_wait_timer is not None:
            return
        delay_s = max(returns_at - steady_time(), MIN_TIMER_S)
        self._place_wait_timer = asyncio.get_running_loop().call_later(
            delay_s, self._end_place_waits
        )

    def _end_place_waits(self):
        self._place_wait_timer = None
        runs.schedule_tasks(self.owner, steady_time())
        self.execute_commands()

    def update_peers(self):
        """Connect to the current owners of the other shards."""
        members = {self.membership.owner_of(shard) for shard in range(SHARD_COUNT)}
        members -= {"", self.member}
        self.peers.set_members(members)

    def _execute_command(self, command):
        if isinstance(command, SendMessage):
            stream = self._stream_by_agent.get(command.agent)
            if stream is not None:
                self.links.send(stream, command.message)
        elif isinstance(command, AnswerRequest):
            deliver_answer(self.links, command)
        elif isinstance(command, OwnerLogLine):
            self.log.info(command.event, **command.fields)
        else:
            self._queue_append(command)

    def _queue_append(self, command):
        appender = self.membership.find_appender(command.shard)
        if appender is None:
            return  # the shard was lost
        if (
            job_requests.is_acceptance_token(command.token)
            and not appender.is_store_available
        ):
            job_requests.record_not_stored(
                self.owner, command, appender.epoch, steady_time()
            )
            return
        appender.add_record(command)

    def _on_opened(self, stream, first_message, key):
        if key is not None:
            self.peers.on_opened(stream, key[1])
        elif isinstance(first_message, wire.AgentHello):
            previous_stream = self._stream_by_agent.get(first_message.agent)
            if previous_stream is not None:
                self._agent_by_stream.pop(previous_stream, None)
                self.links.abort(previous_stream, "replaced")
            self._agent_by_stream[stream] = first_message.agent
            self._stream_by_agent[first_message.agent] = stream
            reports.agent_connected(self.owner, first_message, steady_time())
            self.execute_commands()
        elif isinstance(first_message, wire.PeerGreeting):
            self.links.send(stream, wire.PeerGreeted(self.member))
            self.links.flush()
        else:
            self.links.abort(stream, "unexpected greeting")

    def _on_closed(self, stream, reason):
        agent = self._agent_by_stream.pop(stream, None)
        if agent is not None and self._stream_by_agent.get(agent) == stream:
            del self._stream_by_agent[agent]
            reports.agent_disconnected(self.owner, agent, steady_time())
            self.execute_commands()
        self.peers.on_closed(stream)

    def _on_received(self, stream, messages):
        agent = self._agent_by_stream.get(stream)
        for message in messages:
            if agent is not None:
                reports.message_received(self.owner, agent, message, steady_time())
            else:
                self._handle_peer_message(stream, message)
        if agent is not None:
            runs.schedule_tasks(self.owner, steady_time())
        self.execute_commands()

    def _handle_peer_message(self, stream, message):
        owner, now = self.owner, steady_time()
        match message:
            case wire.RequestOutcome():
                self.requests.on_outcome(message)
            case wire.PeerStatus():
                self.peers.on_status(stream, message)
            case wire.PeerProbe():
                shards = decisions.granted_shards(owner, now)
                pending = decisions.pending_by_queue(owner)
                status = wire.PeerStatus(message.sequence, shards, pending)
                self.links.send(stream, status)
            case wire.SubmitRequest():
                waiter = RemoteWaiter(stream, message.request)
                record = decode_record(message.record)
                job_requests.submit_job(
                    owner, message.shard, message.job, record, waiter, now
                )
            case wire.StatusRequest():
                waiter = RemoteWaiter(stream, message.request)
                job_requests.answer_job_state(
                    owner, message.shard, message.job, waiter, now
                )
            case wire.CancelRequest():
                waiter = RemoteWaiter(stream, message.request)
                job_requests.cancel_job(owner, message.shard, message.job, waiter, now)

    def apply_configuration(self, configuration, server):
        """Apply a version of the operator's configuration."""
        self.configuration = configuration
        for name in ("max_header_bytes", "max_body_bytes"):
            setattr(server.limits, name, getattr(configuration.limits, name))
        server.limits.header_timeout_s = configuration.limits.header_timeout_s
        server.limits.idle_timeout_s = configuration.limits.idle_timeout_s

    def apply_evacuations(self, domains, position):
        """Apply the evacuations of the operator's topic up to a position."""
        owner, now = self.owner, steady_time()
        if owner.evacuations.position is None:
            owner.paused_until = now
        evacuation.topic_read(owner, domains, position, now)
        runs.schedule_tasks(owner, now)
        self.execute_commands()

    async def handle_request(self, request):
        """Handle a client's request."""
        configuration = self.configuration
        if configuration is None:
            return Response(503, headers=[("Retry-After", "1")])
        path = request.path
        queue = configuration.find_queue(request.headers.get("host", ""), path)
        if queue is None:
            return Response(404)
        if path == queue.prefix:
            return self._handle_queue_query(queue, request)
        job_id = platform_jobs.job_id_from_path(queue, path)
        if not job_id:
            return Response(404)
        shard = shard_of_job(job_id, SHARD_COUNT)
        timeout_s = min(
            REQUEST_TIMEOUT_S,
            platform_jobs.client_deadline_s(request.headers, REQUEST_TIMEOUT_S),
        )
        if request.method == "POST":
            return await self._handle_submission(
                queue, shard, job_id, request, timeout_s
            )
        if request.method == "GET":
            answer = await self.requests.status(shard, job_id, timeout_s)
            return platform_jobs.status_response(answer.outcome)
        if request.method == "DELETE":
            answer = await self.requests.cancel(shard, job_id, timeout_s)
            self.log.info("job.cancel", job=job_id, outcome=answer.outcome.name)
            return platform_jobs.cancel_response(answer.outcome)
        return Response(405)

    async def _handle_submission(self, queue, shard, job_id, request, timeout_s):
        try:
            job = platform_jobs.decode_job(queue, request.body, time.time())
        except UnsupportedJob as error:
            self.log.info("job.unsupported", job=job_id, reason=str(error))
            return platform_jobs.submission_response(Outcome.UNSUPPORTED)
        except MessageError as error:
            self.log.info("job.malformed", job=job_id, reason=str(error))
            return Response(400)
        if self._refuses_jobs:
            self.log.info("job.refused", job=job_id, reason="stopping")
            return platform_jobs.submission_response(Outcome.NOT_READY)
        try:
            if not job.is_durable:
                return await self._run_best_effort(job_id, job.record, request)
            record = job.record
            answer = await self.requests.submit(
                shard, job_id, record, encode_record(record), timeout_s
            )
        except Exception:
            # The job may have been accepted: the caller must not take it for refused.
            self.log.exception("submit.failed", job=job_id)
            return platform_jobs.submission_response(Outcome.UNDECIDED)
        if answer.outcome is not Outcome.ACCEPTED:
            self.log.info(
                "submit.answered",
                job=job_id,
                outcome=answer.outcome.name,
                reason=answer.reason,
            )
        return platform_jobs.submission_response(answer.outcome, answer.retry_after)

    async def _run_best_effort(self, job_id, record, request):
        """Run a best-effort job; return the Response when it has ended."""
        now = steady_time()
        waiter = asyncio.get_running_loop().create_future()
        wait_s = platform_jobs.client_deadline_s(request.headers, BEST_EFFORT_WAIT_S)
        deadline_at = now + wait_s
        if self._exit_deadline is not None:
            deadline_at = min(deadline_at, self._exit_deadline)
        shard = self._best_effort_shard

        def abandon_job():
            self.log.info("client.left", job=job_id)
            besteffort.abandon_job(self.owner, shard, job_id, waiter, steady_time())
            self.execute_commands()

        request.close_callbacks.append(abandon_job)
        try:
            besteffort.run_job(
                self.owner, shard, job_id, record, waiter, deadline_at, now
            )
            runs.schedule_tasks(self.owner, now)
            self.execute_commands()
        except Exception:
            abandon_job()
            raise
        answer = await waiter
        return platform_jobs.submission_response(answer.outcome, answer.retry_after)

    def _handle_queue_query(self, queue, request):
        if request.method != "GET":
            return Response(405)
        peer_jobs = self.peers.count_pending(queue.name)
        is_complete = all(
            shard in self.owner.shards
            or self.peers.serves_shard(self.membership.owner_of(shard), shard)
            for shard in range(SHARD_COUNT)
        )
        if peer_jobs is None or not is_complete:
            return Response(503, headers=[("Retry-After", "1")])
        own_jobs = decisions.pending_by_queue(self.owner).get(queue.name, 0)
        return platform_jobs.pending_response(own_jobs + peer_jobs)

    async def handle_readiness_probe(self, request):
        """Handle the platform's readiness probe."""
        is_ready = (
            self.configuration is not None
            and not self._is_draining
            and bool(self._stream_by_agent)
        )
        return Response(200 if is_ready else 503)

    async def run(self):
        """Serve until SIGTERM; return the exit code."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._shutdown.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_ignored_reload)
        server = create_http_server(self.handle_request)
        readiness_server = create_http_server(self.handle_readiness_probe)
        await self.links.attach()
        await server.start(self.settings.jobs_address)
        await readiness_server.start(self.settings.ready_address)
        await start_metrics_server(
            self.settings.metrics_address,
            self._read_metric_values,
            self.links.traffic,
        )
        self.log.info("entry.started", member=self.member)
        operator_loop = follow_operator(
            self.store,
            lambda configuration: self.apply_configuration(configuration, server),
            self.apply_evacuations,
        )
        start_background_task(operator_loop, "operator", self.on_task_failure)
        for create_coroutine, name in (
            (self._registrar.run, "register"),
            (self._run_ticks, "tick"),
            (self._probe_peers, "probe"),
            (lambda: log_traffic(self.links.traffic, "entry"), "traffic"),
        ):
            start_periodic_task(create_coroutine, name, self.on_task_failure)
        membership_task = start_background_task(
            self.membership.run(), "membership", self.on_task_failure
        )
        await self._shutdown.wait()
        if self._failed_task:
            return 1
        await self._drain(server, membership_task)
        return 0

    def _read_metric_values(self):
        owner, now = self.owner, steady_time()
        durable_shards = [shard for shard in owner.shards.values() if shard.is_durable]
        version = self.configuration.version if self.configuration else -1
        usable_agents = [
            agent for agent in owner.agents.values() if workers.is_usable(agent, now)
        ]
        gauges = {
            "jobs_not_kept": len(self._best_effort_shard.jobs),
            "jobs_stored": sum(len(shard.jobs) for shard in durable_shards),
            "shards_owned": len(durable_shards),
            "jobs_waiting": len(owner.waiting),
            "agents_connected": len(self._stream_by_agent),
            "agents_usable": len(usable_agents),
            "configuration_version": version,
            "store_reachable": int(self.membership.is_joined),
            **evacuation.metric_values(owner),
        }
        states = worker_standing.count_states(owner.agents.values(), now)
        gauges |= {f"workers_{name}": count for name, count in states.items()}
        return owner.counts, gauges

    def _log_ignored_reload(self):
        # All settings are addresses or bounds that are fixed while a process runs.
        self.log.info(
            "settings.reload_ignored",
            reason="settings cannot change while the process runs",
        )

    async def _drain(self, server, membership_task):
        """Hand over the shards and forward requests until no client is left."""
        self.log.info("entry.stopping")
        self._is_draining = True
        self.owner.is_shutting_down = True
        started_at = steady_time()
        deadline = started_at + self.settings.bounds.stop_grace_s - SIGKILL_MARGIN_S
        self._exit_deadline = deadline - FINAL_ANSWERS_S
        for job in self._best_effort_shard.jobs.values():
            job.deadline_at = min(job.deadline_at, self._exit_deadline)
        await self.membership.leave()
        membership_task.cancel()
        start_background_task(
            self.membership.run_after_leave(), "owners", self.on_task_failure
        )
        await asyncio.sleep(max(0.0, UNREADY_SERVING_S - (steady_time() - started_at)))
        self._refuses_jobs = True
        server.close_after_responses()
        while server.busy_connection_count and steady_time() < deadline:
            await asyncio.sleep(0.02)
        self.log.info("entry.stopped", busy=server.busy_connection_count)

    async def _run_ticks(self):
        last_tick_at = steady_time()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = steady_time()
            if now - last_tick_at > STALL_THRESHOLD_S:
                self.log.warning(
                    "process.stalled", seconds=round(now - last_tick_at, 2)
                )
                paused_until = max(self.owner.paused_until, now + PAUSE_AFTER_STALL_S)
                self.owner.paused_until = paused_until
            last_tick_at = now
            runs.tick(self.owner, now)
            self._registrar.update_needs(self.owner, now)
            if self.configuration is not None:
                self._registrar.update_lacking_services(
                    self.owner, self.configuration.services, now
                )
            self.execute_commands()

    async def _probe_peers(self):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            self.peers.probe_all()


def run_entry(settings):
    """Run an entry until it is stopped; return its exit code."""

    async def main():
        return await EntryNode(settings).run()

    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(main())
    return 0
