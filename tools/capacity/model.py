"""Estimate the load of each role at the size expected in two years.

The estimates extrapolate the slopes that ``tools.capacity.slopes`` measures, which are
state, traffic or CPU time for each agent, entry, task or record.
"""

from dataclasses import dataclass
from math import exp

AGENTS = 690
SLOTS_PER_AGENT = 8
ACCELERATORS = 830
TEAMS = 250
STARTS_PER_S = 17_000
TASKS_PER_JOB = 100
FAILURE_DOMAINS = 5
REGIONS = 2
CONFIG_CHANGES_PER_DAY = 470
AGENT_REPLACEMENTS_PER_DAY = 150
SECONDS_PER_DAY = 86_400
KEY_LIFETIME_S = 600
ENTRY_MAX_CORE_SHARE = 0.5  # leaves room for load swings and the loss of an entry
RESULT_BYTES = 200
FRAME_OVERHEAD_BYTES = 80
# A long poll of the log: HTTP headers in both directions and packet headers.
LOG_POLL_OVERHEAD_BYTES = 600
ROSTER_REFRESH_S = 60
PRESENCE_RECORD_BYTES = 120
DIGEST_BYTES_PER_S = 2_500
DIGEST_PAYLOAD_BYTES = 200  # a digest of about ten teams
LOG_MAX_APPENDS_PER_S = 400


@dataclass(slots=True)
class RoleEstimate:
    """Estimated load of one process of a role at full size."""

    state_mb: dict
    control_bytes_per_s: dict
    control_core_share: float
    task_core_share: float
    base_rss_mb: float

    @property
    def total_control_bytes_per_s(self):
        """Return the control traffic of the process in both directions."""
        return sum(self.control_bytes_per_s.values())

    @property
    def memory_mb(self):
        """Return the base memory of the process plus its state."""
        return self.base_rss_mb + sum(self.state_mb.values())


def entries_needed(cpu_us_per_task):
    """Return the number of entries for the peak, equal in each failure domain."""
    busy_cores = STARTS_PER_S * cpu_us_per_task / 1e6
    entry_count = max(2 * FAILURE_DOMAINS, -(-busy_cores // ENTRY_MAX_CORE_SHARE))
    return int(-(-entry_count // FAILURE_DOMAINS) * FAILURE_DOMAINS)


def estimate_entry(slopes, bench_figures, scheduler_bytes):
    """Return the number of entries and the RoleEstimate of one entry."""
    entry_count = entries_needed(bench_figures["entry_cpu_us_per_task"])
    home_agents = AGENTS / entry_count
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    claimed_jobs = jobs_per_s * KEY_LIFETIME_S
    control_bytes_per_s = {
        **_liveness_bytes_per_s(slopes, entry_count, home_agents),
        "configuration, average": _config_bytes_per_s(slopes, home_agents),
        "roster and presence": _roster_bytes_per_s(slopes, entry_count),
    }
    scan_core_share = slopes["membership_scan_us_690"] / 0.2 / 1e6
    core_share_per_agent = _growth_per_unit(
        slopes, "entry_idle_share", "more_agents", 10
    )
    core_share_per_peer = _growth_per_unit(
        slopes, "entry_idle_share", "more_entries", 3
    )
    return entry_count, RoleEstimate(
        {
            "claims of ten minutes": claimed_jobs * slopes["claim_state_bytes"] / 1e6,
            "answers of ten minutes": STARTS_PER_S
            / entry_count
            * KEY_LIFETIME_S
            * RESULT_BYTES
            / 1e6,
            "scheduler (690 agents, 250 teams)": scheduler_bytes / 1e6,
            "streams": AGENTS * _entry_rss_mb_per_agent(slopes),
        },
        control_bytes_per_s,
        # CPU share of an idle process with its peers, home agents and membership scan.
        slopes["entry_idle_share_small"]
        + core_share_per_peer * (entry_count - 2)
        + core_share_per_agent * home_agents
        + scan_core_share,
        STARTS_PER_S / entry_count * bench_figures["entry_cpu_us_per_task"] / 1e6,
        slopes["entry_rss_mb_small"],
    )


def estimate_agent(slopes, bench_figures, entry_count):
    """Return the RoleEstimate of one agent."""
    starts_per_s = STARTS_PER_S / AGENTS
    heartbeat_frame_bytes = slopes["heartbeat_bytes"] + FRAME_OVERHEAD_BYTES
    core_share_per_entry = _growth_per_unit(
        slopes, "agent_idle_share", "more_entries", 3
    )
    rss_mb_per_entry = _growth_per_unit(slopes, "agent_rss_mb", "more_entries", 3)
    return RoleEstimate(
        {
            "ids and results of ten minutes": starts_per_s
            * KEY_LIFETIME_S
            * slopes["agent_task_bytes"]
            / 1e6,
            "streams": entry_count * rss_mb_per_entry,
        },
        {
            "heartbeats": heartbeat_frame_bytes,
            "configuration, average": _config_bytes_per_s(slopes, 1),
        },
        slopes["agent_idle_share_small"] + core_share_per_entry * (entry_count - 2),
        starts_per_s * bench_figures["agent_cpu_us_per_task"] / 1e6,
        slopes["agent_rss_mb_small"],
    )


def estimate_log_load(slopes, entry_count):
    """Return the appends and bytes per second of the log service at the peak."""
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    claim_bytes = slopes["claim_record_bytes"]
    return {
        "claims, jobs of 100 tasks: appends/s": min(jobs_per_s, LOG_MAX_APPENDS_PER_S),
        "claims, jobs of 100 tasks: bytes/s": jobs_per_s * claim_bytes,
        "claims, jobs of one task: appends/s with group commit": entry_count * 20.0,
        "roster and presence: appends/s": 2 * entry_count / ROSTER_REFRESH_S,
        "replacements: appends/s": AGENT_REPLACEMENTS_PER_DAY / SECONDS_PER_DAY,
        "configuration: appends/s": CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY,
        "tail of the claims at one entry: bytes/s": jobs_per_s
        * (claim_bytes * 4 / 3 + 60),
    }


def _liveness_bytes_per_s(slopes, entry_count, home_agents):
    """Return heartbeat and digest traffic, idle or at the peak, whichever is larger.

    At the peak, results replace heartbeats of agents and digests replace heartbeats of
    peers. An idle federation sends no digests.
    """
    heartbeat_frame_bytes = slopes["heartbeat_bytes"] + FRAME_OVERHEAD_BYTES
    agent_bytes_per_s = home_agents * heartbeat_frame_bytes
    peer_bytes_per_s = 2 * (entry_count - 1) * heartbeat_frame_bytes
    results_per_s = STARTS_PER_S / AGENTS / entry_count
    digests_per_s = DIGEST_BYTES_PER_S / (
        (entry_count - 1) * (FRAME_OVERHEAD_BYTES + DIGEST_PAYLOAD_BYTES)
    )
    idle_bytes_per_s = {
        "heartbeats of home agents": agent_bytes_per_s,
        "heartbeats of peers": peer_bytes_per_s,
    }
    peak_bytes_per_s = {
        "heartbeats of home agents": agent_bytes_per_s * exp(-results_per_s),
        "heartbeats of peers": peer_bytes_per_s * max(0.0, 1.0 - digests_per_s),
        "digests sent and received": 2 * DIGEST_BYTES_PER_S,
    }
    return max(
        idle_bytes_per_s, peak_bytes_per_s, key=lambda traffic: sum(traffic.values())
    )


def _config_bytes_per_s(slopes, receiving_agents):
    """Return average bytes per second of changes and of version messages to agents."""
    bytes_per_change = (
        slopes["config_bytes_per_change"] * 4 / 3 + LOG_POLL_OVERHEAD_BYTES
    )
    bytes_per_change += receiving_agents * 2 * (10 + FRAME_OVERHEAD_BYTES)
    return bytes_per_change * CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY


def _roster_bytes_per_s(slopes, entry_count):
    """Return bytes per second for one entry to read the refreshed roster."""
    record_bytes = (
        AGENTS * slopes["roster_agent_bytes"] + entry_count * PRESENCE_RECORD_BYTES
    )
    poll_bytes = 2 * entry_count * LOG_POLL_OVERHEAD_BYTES
    return (record_bytes * 4 / 3 + poll_bytes) / ROSTER_REFRESH_S


def _growth_per_unit(slopes, name, larger_case, added_units):
    """Return the growth per added unit.

    A negative difference lies below the measurement resolution and counts as zero.
    """
    return max(
        0.0, (slopes[f"{name}_{larger_case}"] - slopes[f"{name}_small"]) / added_units
    )


def _entry_rss_mb_per_agent(slopes):
    return _growth_per_unit(slopes, "entry_rss_mb", "more_agents", 10)
