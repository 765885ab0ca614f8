"""Typed settings of the entry and agent roles, validated when a file is loaded."""

import msgspec

from . import global_settings as defaults


class ClaimSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Claims, takeovers and the roster; times in seconds."""

    max_key_lifetime_s: float = defaults.MAX_KEY_LIFETIME_S
    max_clock_skew_s: float = defaults.MAX_CLOCK_SKEW_S
    claim_timeout_s: float = defaults.CLAIM_TIMEOUT_S
    append_budget_per_s: float = defaults.APPEND_BUDGET_PER_S
    claim_window_min_s: float = defaults.CLAIM_WINDOW_MIN_S
    claim_window_max_s: float = defaults.CLAIM_WINDOW_MAX_S
    owner_timeout_s: float = defaults.OWNER_TIMEOUT_S
    locate_timeout_s: float = defaults.LOCATE_TIMEOUT_S
    inventory_timeout_s: float = defaults.INVENTORY_TIMEOUT_S
    roster_refresh_s: float = defaults.ROSTER_REFRESH_S
    roster_ttl_s: float = defaults.ROSTER_TTL_S
    presence_refresh_s: float = defaults.PRESENCE_REFRESH_S


class MembershipSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Heartbeats and liveness; times in seconds."""

    heartbeat_interval_s: float = defaults.HEARTBEAT_INTERVAL_S
    suspect_after_s: float = defaults.SUSPECT_AFTER_S
    flap_window_s: float = defaults.FLAP_WINDOW_S
    flap_penalty_s: float = defaults.FLAP_PENALTY_S


class PolicySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Scheduling policy.

    short_reserve is a fraction of the slots, quarantine_max_share of the agents.
    """

    policy: str = defaults.POLICY  # windows, random or least_outstanding
    short_reserve: float = defaults.SHORT_RESERVE
    long_factor: float = defaults.LONG_FACTOR
    short_memory_s: float = defaults.SHORT_MEMORY_S
    digest_interval_s: float = defaults.DIGEST_INTERVAL_S
    quarantine_failures: int = defaults.QUARANTINE_FAILURES
    quarantine_max_share: float = defaults.QUARANTINE_MAX_SHARE


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of an entry process."""

    entry_id: str
    failure_domain: str
    region: str
    http_address: str = defaults.HTTP_ADDRESS
    link_address: str = defaults.LINK_ADDRESS
    # Address that agents and peers connect to; empty: link_address.
    advertised_link_address: str = ""
    log_url: str = defaults.LOG_URL
    statsd_address: str = defaults.STATSD_ADDRESS
    seed_entries: tuple[str, ...] = defaults.SEED_ENTRIES
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    http_threads: int = defaults.HTTP_THREADS
    drain_timeout_s: float = defaults.DRAIN_TIMEOUT_S
    tick_interval_s: float = defaults.TICK_INTERVAL_S
    log_level: str = "info"
    claims: ClaimSettings = msgspec.field(default_factory=ClaimSettings)
    membership: MembershipSettings = msgspec.field(default_factory=MembershipSettings)
    policy: PolicySettings = msgspec.field(default_factory=PolicySettings)


class AgentSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of an agent process."""

    agent_id: str
    failure_domain: str
    region: str
    announce_address: str = defaults.ANNOUNCE_ADDRESS
    announce_ttl_s: float = defaults.ANNOUNCE_TTL_S
    seed_entries: tuple[str, ...] = defaults.SEED_ENTRIES
    statsd_address: str = defaults.STATSD_ADDRESS
    drain_timeout_s: float = defaults.DRAIN_TIMEOUT_S
    tick_interval_s: float = defaults.TICK_INTERVAL_S
    result_retention_s: float = defaults.RESULT_RETENTION_S
    result_memory_bytes: int = defaults.RESULT_MEMORY_BYTES
    lease_margin_s: float = defaults.LEASE_MARGIN_S
    fence_lifetime_s: float = defaults.FENCE_LIFETIME_S
    log_level: str = "info"
    membership: MembershipSettings = msgspec.field(default_factory=MembershipSettings)
