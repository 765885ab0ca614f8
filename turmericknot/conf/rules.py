"""Allowed values of the settings and relations between them."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import ConfigurationError

MAX_ID_CHARACTERS = 64
POLICIES = ("windows", "random", "least_outstanding")
LOG_LEVELS = ("debug", "info", "warning", "error")
# The body of the largest job (1,500 tasks) and some room; a lower limit would
# refuse every job, a higher one does not fit in a process of 256 MB.
MIN_BODY_BYTES = 1024
MAX_BODY_BYTES = 128 * 1024 * 1024
# Below two intervals of silence, a single late heartbeat makes a peer suspect.
MIN_HEARTBEATS_BEFORE_SUSPECT = 2.0

_ID = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?")


@dataclass(slots=True, frozen=True)
class Rule:
    """What a setting may hold, as a text and as a test."""

    allowed: str
    accepts: Callable[[object], bool]


def is_address(value):
    """Accept ``host:port`` or ``[v6]:port`` with a port that can be dialled."""
    try:
        host, port = split_address(value)
    except ConfigurationError:
        return False
    bare = value.rpartition(":")[0]
    bracketed = bare.startswith("[") and bare.endswith("]")
    well_formed = value.isascii() and not any(map(str.isspace, value))
    return bool(host) and port > 0 and well_formed and (bracketed or ":" not in bare)


def _is_id(value):
    """Accept names that are safe in log lines, paths and metric names."""
    return len(value) <= MAX_ID_CHARACTERS and _ID.fullmatch(value) is not None


def _is_http_url(value):
    """Accept ``http://host:port`` with an optional path."""
    try:
        parts = urlsplit(value)
        return parts.scheme == "http" and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _between(low, high, unit=""):
    """Return a rule for numbers from low to high, both included."""
    suffix = f" {unit}" if unit else ""
    return Rule(
        f"{low:.10g} to {high:.10g}{suffix}", lambda value: low <= value <= high
    )


def _one_of(values):
    """Return a rule for a fixed set of words."""
    return Rule(" or ".join(values), lambda value: value in values)


_IDENTIFIER = Rule(
    f"1 to {MAX_ID_CHARACTERS} letters, digits, '.', '_' or '-'"
    ", letters or digits at both ends",
    _is_id,
)
_ADDRESS = Rule(
    "host:port with a port from 1 to 65535",
    is_address,
)
_OPTIONAL_ADDRESS = Rule(
    "empty, or host:port with a port from 1 to 65535",
    lambda value: not value or is_address(value),
)
_ADDRESSES = Rule(
    "a list of host:port with ports from 1 to 65535",
    lambda value: all(map(is_address, value)),
)

# A setting without a rule of its own; only its type is checked.
ANY = Rule("any value of this type", lambda value: True)

# Rules by the path of the setting inside its file.
RULES = {
    "entry_id": _IDENTIFIER,
    "agent_id": _IDENTIFIER,
    "failure_domain": _IDENTIFIER,
    "region": _IDENTIFIER,
    "http_address": _ADDRESS,
    "link_address": _ADDRESS,
    "advertised_link_address": _OPTIONAL_ADDRESS,
    "announce_address": _ADDRESS,
    "log_url": Rule("a URL http://host:port", _is_http_url),
    "statsd_address": _OPTIONAL_ADDRESS,
    "seed_entries": _ADDRESSES,
    "max_body_bytes": _between(MIN_BODY_BYTES, MAX_BODY_BYTES, "bytes"),
    "http_threads": _between(1, 1024),
    "drain_timeout_s": _between(0, 3600, "s"),
    "tick_interval_s": _between(0.001, 1, "s"),
    "announce_ttl_s": _between(1, 3600, "s"),
    "result_retention_s": _between(0, 3600, "s"),
    "result_memory_bytes": _between(1024 * 1024, 1024**3, "bytes"),
    "lease_margin_s": _between(0.1, 3600, "s"),
    "fence_lifetime_s": _between(1, 90000, "s"),
    "log_level": _one_of(LOG_LEVELS),
    "claims.max_key_lifetime_s": _between(1, 86400, "s"),
    "claims.max_clock_skew_s": _between(0, 60, "s"),
    "claims.claim_timeout_s": _between(0.01, 60, "s"),
    "claims.append_budget_per_s": _between(0.1, 100000, "appends/s"),
    "claims.claim_window_min_s": _between(0, 10, "s"),
    "claims.claim_window_max_s": _between(0, 10, "s"),
    "claims.owner_timeout_s": _between(0.01, 60, "s"),
    "claims.locate_timeout_s": _between(0.01, 60, "s"),
    "claims.inventory_timeout_s": _between(0.01, 60, "s"),
    "claims.roster_refresh_s": _between(1, 3600, "s"),
    "claims.roster_ttl_s": _between(1, 86400, "s"),
    "claims.presence_refresh_s": _between(1, 3600, "s"),
    "membership.heartbeat_interval_s": _between(0.05, 60, "s"),
    "membership.suspect_after_s": _between(0.1, 600, "s"),
    "membership.flap_window_s": _between(0, 3600, "s"),
    "membership.flap_penalty_s": _between(0, 600, "s"),
    "policy.policy": _one_of(POLICIES),
    "policy.short_reserve": _between(0, 0.95, "of the slots"),
    "policy.long_factor": _between(1, 1000, "times the median run time"),
    "policy.short_memory_s": _between(0, 600, "s"),
    "policy.digest_interval_s": _between(0.05, 60, "s"),
    "policy.quarantine_failures": _between(1, 1000, "failures"),
    "policy.quarantine_max_share": _between(0, 1, "of the agents"),
}


@dataclass(slots=True, frozen=True)
class Relation:
    """What must hold between settings of one section."""

    section: str
    key: str
    others: tuple[str, ...]
    allowed: str
    holds: Callable[[object], bool]


RELATIONS = (
    Relation(
        "claims",
        "max_key_lifetime_s",
        ("max_clock_skew_s",),
        "more than twice max_clock_skew_s, or no key could be accepted",
        lambda claims: claims.max_key_lifetime_s > 2 * claims.max_clock_skew_s,
    ),
    Relation(
        "claims",
        "claim_window_min_s",
        ("claim_window_max_s",),
        "at most claim_window_max_s",
        lambda claims: claims.claim_window_min_s <= claims.claim_window_max_s,
    ),
    Relation(
        "claims",
        "claim_window_max_s",
        ("claim_timeout_s",),
        "less than claim_timeout_s, or claims time out before they are sent",
        lambda claims: claims.claim_window_max_s < claims.claim_timeout_s,
    ),
    Relation(
        "claims",
        "roster_ttl_s",
        ("roster_refresh_s", "max_clock_skew_s"),
        "more than roster_refresh_s + max_clock_skew_s, or live agents would"
        " leave the roster between two refreshes",
        lambda claims: (
            claims.roster_ttl_s > claims.roster_refresh_s + claims.max_clock_skew_s
        ),
    ),
    Relation(
        "membership",
        "suspect_after_s",
        ("heartbeat_interval_s",),
        "more than heartbeat_interval_s, or every agent would become suspect",
        lambda membership: membership.suspect_after_s > membership.heartbeat_interval_s,
    ),
)
