"""Work out each role at the size of two years from now, from measured slopes."""

from dataclasses import dataclass
from math import exp

AGENTS = 690
SLOTS_PER_AGENT = 8
ACCELERATORS = 830
TEAMS = 250
STARTS_PER_S = 17_000
TASKS_PER_JOB = 100
DOMAINS = 5
REGIONS = 2
CHANGES_PER_DAY = 470
REPLACED_PER_DAY = 150
SECONDS_PER_DAY = 86_400
KEY_LIFETIME_S = 600
ENTRY_BUSY_SHARE = 0.5  # of one core, so that a swing and a lost entry fit
RESULT_BYTES = 200
FRAME_OVERHEAD_BYTES = 80
# One long poll of the log: HTTP headers both ways and packet headers.
POLL_OVERHEAD_BYTES = 600
ROSTER_REFRESH_S = 60
PRESENCE_BYTES = 120
DIGEST_BYTES_PER_S = 2_500
DIGEST_PAYLOAD_BYTES = 200  # about ten teams
LOG_APPENDS_PER_S = 400


@dataclass(slots=True)
class Role:
    """Figures of one process of a role at full size."""

    state_mb: dict
    control_bytes_per_s: dict
    control_core_share: float
    task_core_share: float
    rss_mb: float

    @property
    def bytes_per_s(self):
        """Return the control traffic of the process, both directions."""
        return sum(self.control_bytes_per_s.values())

    @property
    def memory_mb(self):
        """Return the base of the process and its state."""
        return self.rss_mb + sum(self.state_mb.values())


def entries_needed(cpu_us_per_task):
    """Return the number of entries at the peak, the same in each domain."""
    cores = STARTS_PER_S * cpu_us_per_task / 1e6
    count = max(2 * DOMAINS, -(-cores // ENTRY_BUSY_SHARE))
    return int(-(-count // DOMAINS) * DOMAINS)


def entry(slopes, bench, scheduler_bytes):
    """Return one entry at full size."""
    count = entries_needed(bench["entry_cpu_us_per_task"])
    homes = AGENTS / count
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    claims = jobs_per_s * KEY_LIFETIME_S
    control = {
        **_liveness_bytes(slopes, count, homes),
        "configuration, average": _config_bytes(slopes, homes),
        "roster and presence": _roster_bytes(slopes, count),
    }
    scan_share = slopes["membership_scan_us_690"] / 0.2 / 1e6
    per_agent = _difference(slopes, "entry_idle_share", "more_agents", 10)
    per_peer = _difference(slopes, "entry_idle_share", "more_entries", 3)
    return count, Role(
        {
            "claims of ten minutes": claims * slopes["claim_state_bytes"] / 1e6,
            "answers of ten minutes": STARTS_PER_S
            / count
            * KEY_LIFETIME_S
            * RESULT_BYTES
            / 1e6,
            "scheduler (690 agents, 250 teams)": scheduler_bytes / 1e6,
            "streams": AGENTS * _rss_per_agent(slopes),
        },
        control,
        # Idle cost of a process with its peers, its home agents and the scan.
        slopes["entry_idle_share_small"]
        + per_peer * (count - 2)
        + per_agent * homes
        + scan_share,
        STARTS_PER_S / count * bench["entry_cpu_us_per_task"] / 1e6,
        slopes["entry_rss_mb_small"],
    )


def agent(slopes, bench, count):
    """Return one agent at full size."""
    starts = STARTS_PER_S / AGENTS
    heartbeat = slopes["heartbeat_bytes"] + FRAME_OVERHEAD_BYTES
    per_entry = _difference(slopes, "agent_idle_share", "more_entries", 3)
    rss_per_entry = _difference(slopes, "agent_rss_mb", "more_entries", 3)
    return Role(
        {
            "ids and results of ten minutes": starts
            * KEY_LIFETIME_S
            * slopes["agent_task_bytes"]
            / 1e6,
            "streams": count * rss_per_entry,
        },
        {
            "heartbeats": heartbeat,
            "configuration, average": _config_bytes(slopes, 1),
        },
        slopes["agent_idle_share_small"] + per_entry * (count - 2),
        starts * bench["agent_cpu_us_per_task"] / 1e6,
        slopes["agent_rss_mb_small"],
    )


def log(slopes, count):
    """Return appends and bytes a second of the log service at the peak."""
    jobs_per_s = STARTS_PER_S / TASKS_PER_JOB
    claim_bytes = slopes["claim_record_bytes"]
    return {
        "claims, jobs of 100 tasks: appends/s": min(jobs_per_s, LOG_APPENDS_PER_S),
        "claims, jobs of 100 tasks: bytes/s": jobs_per_s * claim_bytes,
        "claims, jobs of one task: appends/s with group commit": count * 20.0,
        "roster and presence: appends/s": 2 * count / ROSTER_REFRESH_S,
        "replacements: appends/s": REPLACED_PER_DAY / SECONDS_PER_DAY,
        "configuration: appends/s": CHANGES_PER_DAY / SECONDS_PER_DAY,
        "tail of the claims at one entry: bytes/s": jobs_per_s
        * (claim_bytes * 4 / 3 + 60),
    }


def _liveness_bytes(slopes, count, homes):
    """Return heartbeats and digests for the worse of an idle and a peak second.

    Results count as heartbeats at the peak, and digests as heartbeats of peers;
    an idle federation sends no digests.
    """
    heartbeat = slopes["heartbeat_bytes"] + FRAME_OVERHEAD_BYTES
    agents = homes * heartbeat
    peers = 2 * (count - 1) * heartbeat
    results_per_s = STARTS_PER_S / AGENTS / count
    digests_per_s = DIGEST_BYTES_PER_S / (
        (count - 1) * (FRAME_OVERHEAD_BYTES + DIGEST_PAYLOAD_BYTES)
    )
    idle = {"heartbeats of home agents": agents, "heartbeats of peers": peers}
    peak = {
        "heartbeats of home agents": agents * exp(-results_per_s),
        "heartbeats of peers": peers * max(0.0, 1.0 - digests_per_s),
        "digests sent and received": 2 * DIGEST_BYTES_PER_S,
    }
    return max(idle, peak, key=lambda part: sum(part.values()))


def _config_bytes(slopes, receivers):
    """Return average bytes a second: the change itself and the version to agents."""
    per_change = slopes["config_bytes_per_change"] * 4 / 3 + POLL_OVERHEAD_BYTES
    per_change += receivers * 2 * (10 + FRAME_OVERHEAD_BYTES)
    return per_change * CHANGES_PER_DAY / SECONDS_PER_DAY


def _roster_bytes(slopes, count):
    """Return bytes a second of the refreshed roster as every entry reads it."""
    records = AGENTS * slopes["roster_agent_bytes"] + count * PRESENCE_BYTES
    polls = 2 * count * POLL_OVERHEAD_BYTES
    return (records * 4 / 3 + polls) / ROSTER_REFRESH_S


def _difference(slopes, name, more, by):
    """Return a slope; one below the resolution of the measurement counts as zero."""
    return max(0.0, (slopes[f"{name}_{more}"] - slopes[f"{name}_small"]) / by)


def _rss_per_agent(slopes):
    return _difference(slopes, "entry_rss_mb", "more_agents", 10)
