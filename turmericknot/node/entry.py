"""The entry: jobs from clients, the shards that it owns, and links to agents."""

import asyncio
import contextlib
import random
import signal
import time
import zlib

from turmericknot.aio.server import Response, create_http_server
from turmericknot.core.exceptions import (
    MessageError,
    StoreError,
    UnsupportedJob,
)
from turmericknot.core.ids import create_incarnation_id, shard_of_job
from turmericknot.platform import jobs as platform_jobs
from turmericknot.platform.store import ENTRIES_TOPIC, KeyedRecord, create_store
from turmericknot.scheduling import (
    besteffort,
    job_requests,
    owner as decisions,
    reports,
    runs,
    workers,
)
from turmericknot.scheduling.commands import (
    AnswerRequest,
    LogDecision,
    Outcome,
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
from .metrics import start_metrics
from .operator import follow_configuration
from .peers import PROBE_INTERVAL_S, create_peers, member_name
from .registration import REGISTER_INTERVAL_S, Registration, encode_registration
from .requests import RemoteWaiter, answer_waiter, create_requests
from .tasks import start_task

TICK_S = 0.1
REQUEST_TIMEOUT_S = 1.4  # shorter than the usual deadline of a client
KEEP_MARGIN_S = 5.0  # beyond the time for which the platform asks for a state
UNKEPT_WAIT_S = 10.0  # for a caller that does not say how long it waits
# A loop that stood still for longer has missed the departure of callers, which it
# must notice before it starts anything for them.
STALL_S = 0.5
STALL_PAUSE_S = 0.3
REGISTER_RETRY_S = 0.3
# After SIGTERM: balancers notice the missing readiness within two probes of 1 s.
LAME_DUCK_S = 2.6
# Before the platform would kill the process. Requests in progress are served into the
# last sixth of its 6 s of grace.
EXIT_MARGIN_S = 0.6


class AppendEvents:
    """What appenders report; hands it to the decisions."""

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    def written(self, appender, batch, sent_at):
        """Take records that are stored."""
        owner = self._node.owner
        owner.confirmed_at = max(owner.confirmed_at, sent_at)
        now = steady_time()
        for command in batch:
            job_requests.stored(owner, command.token, now)
        runs.schedule(owner, now)
        self._node.decided()

    def not_written(self, batch):
        """Take records that are certainly not stored."""
        now = steady_time()
        for command in batch:
            job_requests.not_stored(self._node.owner, command.token, now)
        self._node.decided()

    def undecided(self, batch):
        """Tell callers to ask again about jobs that may be stored."""
        for command in batch:
            if not job_requests.is_submission(command.token):
                continue
            for waiter in job_requests.waiters_of(command.token):
                decisions.answer(self._node.owner, waiter, Outcome.UNDECIDED)
        self._node.decided()

    def fenced(self, appender):
        """Take the loss of a shard to another entry."""
        self._node.membership.fenced(appender)


class EntryNode:
    """One entry; all of it runs in one event loop."""

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
        "append_events",
        "configuration",
        "_agents",
        "_agent_streams",
        "_ended",
        "_failed",
        "_is_draining",
        "_is_closed",
        "_unkept",
        "_leave_at",
    )

    def __init__(self, settings):
        self.settings = settings
        self.log = get_logger()
        boot = create_incarnation_id("", random.SystemRandom()).strip("#")
        self.member = member_name(settings.node, settings.link_address, boot)
        times = OwnerTimes(keep=settings.bounds.keep_s + KEEP_MARGIN_S)
        self.owner = create_owner(times, random.Random(boot), steady_time())
        self.store = create_store(settings.store.address, settings.store.partitions)
        callbacks = LinkCallbacks(
            self._opened, self._received, self._closed, lambda key, refused: None
        )
        self.links = create_links(
            callbacks, settings.link_address, redial_limit_s=REDIAL_LIMIT_S
        )
        self.append_events = AppendEvents(self)
        self.membership = create_membership(self, self.store, self.member, SHARD_COUNT)
        self.peers = create_peers(self)
        self.requests = create_requests(self)
        self.configuration = None
        self._agents = {}  # stream -> agent id
        self._agent_streams = {}  # agent id -> stream
        self._ended = asyncio.Event()
        self._failed = ""
        self._is_draining = False
        self._is_closed = False  # no new job would end before the process does
        self._leave_at = None  # when a stopping process ends at the latest
        number = zlib.crc32(self.member.encode())
        self._unkept = besteffort.open_unkept_shard(self.owner, number)

    def failed(self, name):
        """End the process: one of its tasks has failed."""
        self._failed = name
        self._ended.set()

    def decided(self):
        """Carry out what was decided."""
        owner = self.owner
        while owner.commands:
            for command in owner.take_commands():
                self._carry_out(command)
        self.links.flush()

    def owners_changed(self):
        """Keep links to the owners of the other shards."""
        members = {self.membership.owner(shard) for shard in range(SHARD_COUNT)}
        members -= {"", self.member}
        self.peers.follow(members)

    def _carry_out(self, command):
        if isinstance(command, SendMessage):
            stream = self._agent_streams.get(command.agent)
            if stream is not None:
                self.links.send(stream, command.message)
        elif isinstance(command, AnswerRequest):
            answer_waiter(self.links, command)
        elif isinstance(command, LogDecision):
            self.log.info(command.event, **command.fields)
        else:
            self._store(command)

    def _store(self, command):
        appender = self.membership.appender(command.shard)
        if appender is None:
            return  # the shard was lost
        if job_requests.is_submission(command.token) and not appender.is_available:
            job_requests.not_stored(self.owner, command.token, steady_time())
            return
        appender.add(command)

    def _opened(self, stream, first, key):
        if key is not None:
            self.peers.opened(stream, key[1])
        elif isinstance(first, wire.AgentHello):
            former = self._agent_streams.get(first.agent)
            if former is not None:
                self._agents.pop(former, None)
                self.links.drop(former, "replaced")
            self._agents[stream] = first.agent
            self._agent_streams[first.agent] = stream
            reports.agent_connected(self.owner, first, steady_time())
            self.decided()
        elif isinstance(first, wire.PeerGreeting):
            self.links.send(stream, wire.PeerGreeted(self.member))
            self.links.flush()
        else:
            self.links.drop(stream, "unexpected greeting")

    def _closed(self, stream, reason):
        agent = self._agents.pop(stream, None)
        if agent is not None and self._agent_streams.get(agent) == stream:
            del self._agent_streams[agent]
            reports.agent_disconnected(self.owner, agent, steady_time())
            self.decided()
        self.peers.closed(stream)

    def _received(self, stream, messages):
        agent = self._agents.get(stream)
        for message in messages:
            if agent is not None:
                reports.take_message(self.owner, agent, message, steady_time())
            else:
                self._from_peer(stream, message)
        if agent is not None:
            runs.schedule(self.owner, steady_time())
        self.decided()

    def _from_peer(self, stream, message):
        owner, now = self.owner, steady_time()
        match message:
            case wire.RequestOutcome():
                self.requests.answered(message)
            case wire.PeerStatus():
                self.peers.reported(stream, message)
            case wire.PeerProbe():
                shards = decisions.granted_shards(owner, now)
                pending = decisions.pending_by_queue(owner)
                status = wire.PeerStatus(message.sequence, shards, pending)
                self.links.send(stream, status)
            case wire.SubmitRequest():
                waiter = RemoteWaiter(stream, message.request)
                record = decode_record(message.record)
                job_requests.submit(
                    owner, message.shard, message.job, record, waiter, now
                )
            case wire.StatusRequest():
                waiter = RemoteWaiter(stream, message.request)
                job_requests.status(owner, message.shard, message.job, waiter, now)
            case wire.CancelRequest():
                waiter = RemoteWaiter(stream, message.request)
                job_requests.cancel(owner, message.shard, message.job, waiter, now)

    def configure(self, configuration, server):
        """Put a version of the operator's configuration into force."""
        self.configuration = configuration
        for name in ("max_header_bytes", "max_body_bytes"):
            setattr(server.limits, name, getattr(configuration.limits, name))
        server.limits.header_timeout_s = configuration.limits.header_timeout_s
        server.limits.idle_timeout_s = configuration.limits.idle_timeout_s

    async def handle(self, request):
        """Answer a request of a client."""
        configuration = self.configuration
        if configuration is None:
            return Response(503, headers=[("Retry-After", "1")])
        path = request.path
        queue = configuration.find_queue(request.headers.get("host", ""), path)
        if queue is None:
            return Response(404)
        if path == queue.prefix:
            return self._pending(queue, request)
        job_id = platform_jobs.job_id(queue, path)
        if not job_id:
            return Response(404)
        shard = shard_of_job(job_id, SHARD_COUNT)
        timeout_s = min(
            REQUEST_TIMEOUT_S,
            platform_jobs.deadline_s(request.headers, REQUEST_TIMEOUT_S),
        )
        if request.method == "POST":
            return await self._submit(queue, shard, job_id, request, timeout_s)
        if request.method == "GET":
            answer = await self.requests.status(shard, job_id, timeout_s)
            return platform_jobs.status_response(answer.outcome)
        if request.method == "DELETE":
            answer = await self.requests.cancel(shard, job_id, timeout_s)
            self.log.info("job.cancel", job=job_id, outcome=answer.outcome.name)
            return platform_jobs.cancel_response(answer.outcome)
        return Response(405)

    async def _submit(self, queue, shard, job_id, request, timeout_s):
        try:
            job = platform_jobs.decode_job(queue, request.body, time.time())
        except UnsupportedJob as error:
            self.log.info("job.unsupported", job=job_id, reason=str(error))
            return platform_jobs.submission_response(Outcome.UNSUPPORTED)
        except MessageError as error:
            self.log.info("job.malformed", job=job_id, reason=str(error))
            return Response(400)
        if self._is_closed:
            self.log.info("job.refused", job=job_id, reason="stopping")
            return platform_jobs.submission_response(Outcome.NOT_READY)
        if not job.is_kept:
            return await self._run_unkept(job_id, job.record, request)
        record = job.record
        answer = await self.requests.submit(
            shard, job_id, record, encode_record(record), timeout_s
        )
        if answer.outcome is not Outcome.ACCEPTED:
            self.log.info(
                "submit.answered",
                job=job_id,
                outcome=answer.outcome.name,
                reason=answer.reason,
            )
        return platform_jobs.submission_response(answer.outcome, answer.retry_after)

    async def _run_unkept(self, job_id, record, request):
        """Run a job that is not stored and answer with its end."""
        now = steady_time()
        waiter = asyncio.get_running_loop().create_future()
        wait_s = platform_jobs.deadline_s(request.headers, UNKEPT_WAIT_S)
        deadline_at = now + wait_s
        if self._leave_at is not None:
            deadline_at = min(deadline_at, self._leave_at)
        shard = self._unkept

        def client_left():
            self.log.info("client.left", job=job_id)
            besteffort.abandon(self.owner, shard, job_id, waiter, steady_time())
            self.decided()

        request.close_callbacks.append(client_left)
        besteffort.run_job(self.owner, shard, job_id, record, waiter, deadline_at, now)
        runs.schedule(self.owner, now)
        self.decided()
        answer = await waiter
        return platform_jobs.submission_response(answer.outcome, answer.retry_after)

    def _pending(self, queue, request):
        if request.method != "GET":
            return Response(405)
        elsewhere = self.peers.pending(queue.name)
        is_complete = all(
            shard in self.owner.shards or self.membership.owner(shard)
            for shard in range(SHARD_COUNT)
        )
        if elsewhere is None or not is_complete:
            return Response(503, headers=[("Retry-After", "1")])
        here = decisions.pending_by_queue(self.owner).get(queue.name, 0)
        return platform_jobs.pending_response(here + elsewhere)

    async def handle_ready(self, request):
        """Answer the platform's probe of readiness."""
        is_ready = (
            self.configuration is not None
            and not self._is_draining
            and bool(self._agent_streams)
        )
        return Response(200 if is_ready else 503)

    async def run(self):
        """Serve until SIGTERM; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ended.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        server = create_http_server(self.handle)
        ready = create_http_server(self.handle_ready)
        await self.links.attach()
        await server.start(self.settings.jobs_address)
        await ready.start(self.settings.ready_address)
        await start_metrics(self.settings.metrics_address, self._read_metrics)
        self.log.info("entry.started", member=self.member)
        following = follow_configuration(
            self.store, lambda configuration: self.configure(configuration, server)
        )
        start_task(following, "configuration", self.failed)
        start_task(self._register(), "register", self.failed)
        start_task(self._tick(), "tick", self.failed)
        start_task(self._probe(), "probe", self.failed)
        joining = start_task(self.membership.run(), "membership", self.failed)
        await self._ended.wait()
        if self._failed:
            return 1
        await self._drain(server, joining)
        return 0

    def _read_metrics(self):
        owner, now = self.owner, steady_time()
        stored = [shard for shard in owner.shards.values() if shard.is_kept]
        version = self.configuration.version if self.configuration else -1
        usable = [v for v in owner.agents.values() if workers.is_usable(v, now)]
        gauges = {
            "jobs_not_kept": len(self._unkept.jobs),
            "jobs_stored": sum(len(shard.jobs) for shard in stored),
            "shards_owned": len(stored),
            "jobs_waiting": len(owner.waiting),
            "agents_connected": len(self._agent_streams),
            "agents_usable": len(usable),
            "configuration_version": version,
            "store_reachable": int(self.membership.is_joined),
        }
        return owner.counts, gauges

    def _note_reload(self):
        # Every setting is an address or a bound that holds as long as the process.
        self.log.info("settings.reload_ignored", reason="nothing can change")

    async def _drain(self, server, joining):
        """Hand the shards over and go on forwarding until no client is left."""
        self.log.info("entry.stopping")
        self._is_draining = True
        self.owner.is_leaving = True
        started_at = steady_time()
        end = started_at + self.settings.bounds.stop_grace_s - EXIT_MARGIN_S
        self._leave_at = end
        for job in self._unkept.jobs.values():
            job.deadline_at = min(job.deadline_at, end)
        await self.membership.leave()
        joining.cancel()
        start_task(self.membership.run_after_leave(), "owners", self.failed)
        await asyncio.sleep(max(0.0, LAME_DUCK_S - (steady_time() - started_at)))
        self._is_closed = True
        server.close_after_responses()
        while server.busy_connection_count and steady_time() < end:
            await asyncio.sleep(0.02)
        self.log.info("entry.stopped", busy=server.busy_connection_count)

    async def _register(self):
        """Tell the agents in the store where this entry listens."""
        while True:
            registration = Registration(self.settings.link_address, time.time())
            value = encode_registration(registration)
            record = KeyedRecord(self.settings.node, value)
            try:
                await self.store.append(ENTRIES_TOPIC, 0, [record])
                await asyncio.sleep(REGISTER_INTERVAL_S)
            except StoreError as error:
                self.log.warning("register.failed", reason=str(error))
                await asyncio.sleep(REGISTER_RETRY_S)

    async def _tick(self):
        former = steady_time()
        while True:
            await asyncio.sleep(TICK_S)
            now = steady_time()
            if now - former > STALL_S:
                self.log.warning("process.stalled", seconds=round(now - former, 2))
                self.owner.paused_until = now + STALL_PAUSE_S
            former = now
            runs.tick(self.owner, now)
            self.decided()

    async def _probe(self):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            self.peers.probe()


def run_entry(settings):
    """Run an entry until it is stopped; return its exit code."""

    async def main():
        return await EntryNode(settings).run()

    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(main())
    return 0
