"""Measure the slopes of memory, message sizes and CPU time on this machine."""

import random
import statistics
import tempfile
import time
import tracemalloc

from tests.federation import federation
from tools.bench import measures
from tools.measure_configtree import measure_configtree
from turmericknot.conf.schema import AgentSettings, MembershipSettings
from turmericknot.dispatch import agent, claims, events
from turmericknot.dispatch.commands import StartTask
from turmericknot.membership import state as membership
from turmericknot.wire import messages
from turmericknot.wire.codec import encode_frame

REPETITIONS = 3
IDLE_INTERVAL_S = 5.0
JOB_ID = b"j" * 16
# Per frame: Ethernet, IP and TCP headers, HTTP/2 frame header and gRPC prefix.
FRAME_OVERHEAD_BYTES = 14 + 52 + 9 + 5


def measure_median(function):
    """Return the median and (lowest, highest) of ``REPETITIONS`` calls."""
    values = [function() for _ in range(REPETITIONS)]
    return statistics.median(values), (min(values), max(values))


def measure_claim_table():
    """Return memory, CPU microseconds and record bytes per claimed job."""
    table = claims.ClaimTable(fence_duration_s=120.0)
    jobs = 50_000
    records = [
        claims.Claim(
            number.to_bytes(12, "big"),
            f"e{number % 20}#0123456789abcdef",
            [(number.to_bytes(16, "big"), 1e9 + number)],
        )
        for number in range(jobs)
    ]
    encoded = [claims.encode_record(record) for record in records]
    tracemalloc.start()
    for offset, data in enumerate(encoded):
        claims.advance_offset(table, offset, 1e9)
        claims.apply_claim(table, claims.decode_record(data), 1e9)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    table = claims.ClaimTable(fence_duration_s=120.0)
    start = time.process_time()
    for offset, data in enumerate(encoded):
        claims.advance_offset(table, offset, 1e9)
        claims.apply_claim(table, claims.decode_record(data), 1e9)
    cpu_s = time.process_time() - start
    return {
        "claim_state_bytes": held_bytes / jobs,
        "claim_us": cpu_s / jobs * 1e6,
        "claim_record_bytes": sum(map(len, encoded)) / jobs,
    }


def measure_membership_scan(agents, peers=19):
    """Return CPU microseconds of one membership scan over agents and peers."""
    state = membership.create_membership_state(MembershipSettings(), "e1")
    for number in range(agents):
        name = f"a{number}"
        hello = messages.Hello(
            1, name, f"{name}#0", name, "fd1", "r1", 8, 16.0, 32768, 1, 1
        )
        membership.agent_connected(state, number, hello, 0.0)
    for number in range(peers):
        address = messages.EntryAddress(f"p{number}", f"p{number}#0", "x:1", "fd", "r")
        membership.peer_connected(state, 10_000 + number, address, 0.0)
    scans = 50
    start = time.process_time()
    for scan in range(scans):
        # Each home agent sends a frame once a second, that is every fourth scan.
        for number in range(scan % 4, agents // (peers + 1), 4):
            membership.agent_frame_received(state, number, scan * 0.25)
        membership.tick(state, scan * 0.25)
    return (time.process_time() - start) / scans * 1e6


def measure_agent_task():
    """Return the memory and CPU microseconds per task on an agent."""
    settings = AgentSettings(agent_id="a1", failure_domain="fd1", region="r1")
    state = agent.create_agent_state(settings, "a1#1", random.Random(1))
    agent.handle(state, events.TargetAnnounced("w", "x:1", 8, 32.0, 65536, 1), 0.0, 0.0)
    welcome = messages.Welcome(1, "e1", "e1#1", [], 1)
    agent.handle(state, events.EntryConnected(1, welcome), 0.0, 0.0)
    tasks = 20_000
    tracemalloc.start()
    for number in range(tasks):
        _process_task(state, number)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    start = time.process_time()
    for number in range(tasks, 2 * tasks):
        _process_task(state, number)
    cpu_s = time.process_time() - start
    return {
        "agent_task_bytes": held_bytes / tasks,
        "agent_task_us": cpu_s / tasks * 1e6,
    }


def _process_task(state, number):
    job = (number // 8).to_bytes(16, "big")
    spec = messages.TaskSpec(number % 8, b"{}", 100.0)
    assign = messages.Assign(job, "e1#1", "t", "c", 1e9, 10.0, [spec], 0, 1.0, 1)
    commands = agent.handle(state, events.EntryMessage(1, assign), 0.0, 0.0)
    assert any(isinstance(command, StartTask) for command in commands)
    finished = events.TaskFinished(job, number % 8, 0, b'"output"', 100.0)
    agent.handle(state, finished, 0.0, 0.0)


def measure_message_sizes():
    """Return the encoded sizes in bytes of control messages and records."""
    hello = messages.Hello(
        1,
        "agent-123",
        "agent-123#0123456789abcdef",
        "worker-123",
        "fd1",
        "r1",
        8,
        16.0,
        32768,
        1,
        100,
    )
    return {
        "heartbeat_bytes": len(encode_frame([messages.Heartbeat(100_000)])),
        "hello_bytes": len(encode_frame([hello])),
        "window_bytes": len(encode_frame([messages.Window(8, 100)])),
        "usage_bytes": len(
            encode_frame(
                [messages.TeamDigest(1, 1, [messages.TeamUsage("team-123", 10, 10)])]
            )
        ),
        "roster_agent_bytes": len("agent-123#0123456789abcdef") + 2,
    }


def measure_idle_processes(entries, agents):
    """Return CPU shares, memory and traffic of an idle entry and an idle agent."""
    with tempfile.TemporaryDirectory() as directory:
        with federation(directory, entries=entries, agents=agents) as fed:
            time.sleep(2.0)
            pids = {name: fed.processes[name].pid for name in ("e1", "a1")}
            before = {name: measures.cpu_seconds(pid) for name, pid in pids.items()}
            traffic_before = _entry_traffic(fed)
            time.sleep(IDLE_INTERVAL_S)
            after = {name: measures.cpu_seconds(pid) for name, pid in pids.items()}
            sent = measures.counter_increase(_entry_traffic(fed), traffic_before)
            return {
                "entry_idle_share": (after["e1"] - before["e1"]) / IDLE_INTERVAL_S,
                "agent_idle_share": (after["a1"] - before["a1"]) / IDLE_INTERVAL_S,
                "entry_rss_mb": measures.rss_mb(pids["e1"]),
                "agent_rss_mb": measures.rss_mb(pids["a1"]),
                "entry_idle_bytes_per_s": (
                    sent["bytes"] + sent["frames"] * FRAME_OVERHEAD_BYTES
                )
                / IDLE_INTERVAL_S,
            }


def _entry_traffic(fed):
    report = fed.status("e1")["traffic"]
    return {
        key: sum(report[direction][key] for direction in ("sent", "received"))
        for key in ("frames", "bytes")
    }


def measure_config_merge():
    """Return the figures of the configuration merge with 250 teams."""
    return measure_configtree(250, 5_000)


def measure_all_slopes():
    """Return a dict of slope name to (median, (lowest, highest))."""
    slopes = {}
    for function in (measure_claim_table, measure_agent_task):
        runs = [function() for _ in range(REPETITIONS)]
        for key in runs[0]:
            values = [run[key] for run in runs]
            slopes[key] = (statistics.median(values), (min(values), max(values)))
    for agents in (345, 690):
        slopes[f"membership_scan_us_{agents}"] = measure_median(
            lambda count=agents: measure_membership_scan(count)
        )
    for key, value in measure_message_sizes().items():
        slopes[key] = (value, (value, value))
    for name, sizes in (
        ("small", (2, 3)),
        ("more_agents", (2, 13)),
        ("more_entries", (5, 3)),
    ):
        for key, value in measure_idle_processes(*sizes).items():
            slopes[f"{key}_{name}"] = (value, (value, value))
    for key, value in measure_config_merge().items():
        slopes[f"config_{key}"] = (value, (value, value))
    return slopes
