"""Allowed values of the settings, and relations that must hold between them."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import ConfigurationError

MAX_ID_CHARACTERS = 64
SCHEDULING_POLICIES = ("windows", "random", "least_outstanding")
LOG_LEVELS = ("debug", "info", "warning", "error")
# Allowed range of max_body_bytes: a lower limit would refuse every job, a higher one
# would not fit in a process of 256 MB. The largest job, of 1,500 tasks, fits with
# room to spare.
MIN_BODY_LIMIT_BYTES = 1024
MAX_BODY_LIMIT_BYTES = 128 * 1024 * 1024
# Below two heartbeat intervals, a single late heartbeat makes a peer suspect.
MIN_SUSPECT_HEARTBEAT_INTERVALS = 2.0

_ID_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?")


@dataclass(slots=True, frozen=True)
class ValueRule:
    """Allowed values of a setting, as a text and as a predicate."""

    allowed: str
    accepts: Callable[[object], bool]


def is_address(value):
    """Return whether the value is ``host:port`` or ``[v6]:port`` with a port > 0."""
    try:
        host, port = split_address(value)
    except ConfigurationError:
        return False
    host_text = value.rpartition(":")[0]
    bracketed = host_text.startswith("[") and host_text.endswith("]")
    well_formed = value.isascii() and not any(map(str.isspace, value))
    return (
        bool(host) and port > 0 and well_formed and (bracketed or ":" not in host_text)
    )


def _is_id(value):
    """Return whether the value is safe in log lines, paths and metric names."""
    return len(value) <= MAX_ID_CHARACTERS and _ID_PATTERN.fullmatch(value) is not None


def _is_http_url(value):
    """Return whether the value is ``http://host:port`` with an optional path."""
    try:
        parts = urlsplit(value)
        return parts.scheme == "http" and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _create_range_rule(low, high, unit=""):
    """Return a rule for numbers from ``low`` to ``high``, inclusive."""
    suffix = f" {unit}" if unit else ""
    return ValueRule(
        f"{low:.10g} to {high:.10g}{suffix}", lambda value: low <= value <= high
    )


def _create_choice_rule(values):
    """Return a rule for a fixed set of values."""
    return ValueRule(" or ".join(values), lambda value: value in values)


_ID_RULE = ValueRule(
    f"1 to {MAX_ID_CHARACTERS} letters, digits, '.', '_' or '-'"
    ", letters or digits at both ends",
    _is_id,
)
_ADDRESS_RULE = ValueRule(
    "host:port with a port from 1 to 65535",
    is_address,
)
_OPTIONAL_ADDRESS_RULE = ValueRule(
    "empty, or host:port with a port from 1 to 65535",
    lambda value: not value or is_address(value),
)
_ADDRESS_LIST_RULE = ValueRule(
    "a list of host:port with ports from 1 to 65535",
    lambda value: all(map(is_address, value)),
)

# For settings without a rule: only the type is checked.
ANY_VALUE = ValueRule("any value of this type", lambda value: True)

# Rules by key; the key of a setting in a table starts with the name of the table.
SETTING_RULES = {
    "entry_id": _ID_RULE,
    "agent_id": _ID_RULE,
    "failure_domain": _ID_RULE,
    "region": _ID_RULE,
    "http_address": _ADDRESS_RULE,
    "link_address": _ADDRESS_RULE,
    "advertised_link_address": _OPTIONAL_ADDRESS_RULE,
    "announce_address": _ADDRESS_RULE,
    "log_url": ValueRule("a URL http://host:port", _is_http_url),
    "statsd_address": _OPTIONAL_ADDRESS_RULE,
    "seed_entries": _ADDRESS_LIST_RULE,
    "max_body_bytes": _create_range_rule(
        MIN_BODY_LIMIT_BYTES, MAX_BODY_LIMIT_BYTES, "bytes"
    ),
    "http_threads": _create_range_rule(1, 1024),
    "drain_timeout_s": _create_range_rule(0, 3600, "s"),
    "tick_interval_s": _create_range_rule(0.001, 1, "s"),
    "announce_ttl_s": _create_range_rule(1, 3600, "s"),
    "result_retention_s": _create_range_rule(0, 3600, "s"),
    "result_memory_bytes": _create_range_rule(1024 * 1024, 1024**3, "bytes"),
    "lease_margin_s": _create_range_rule(0.1, 3600, "s"),
    "fence_lifetime_s": _create_range_rule(1, 90000, "s"),
    "log_level": _create_choice_rule(LOG_LEVELS),
    "claims.max_key_lifetime_s": _create_range_rule(1, 86400, "s"),
    "claims.max_clock_skew_s": _create_range_rule(0, 60, "s"),
    "claims.claim_timeout_s": _create_range_rule(0.01, 60, "s"),
    "claims.append_budget_per_s": _create_range_rule(0.1, 100000, "appends/s"),
    "claims.claim_window_min_s": _create_range_rule(0, 10, "s"),
    "claims.claim_window_max_s": _create_range_rule(0, 10, "s"),
    "claims.owner_timeout_s": _create_range_rule(0.01, 60, "s"),
    "claims.locate_timeout_s": _create_range_rule(0.01, 60, "s"),
    "claims.inventory_timeout_s": _create_range_rule(0.01, 60, "s"),
    "claims.roster_refresh_s": _create_range_rule(1, 3600, "s"),
    "claims.roster_ttl_s": _create_range_rule(1, 86400, "s"),
    "claims.presence_refresh_s": _create_range_rule(1, 3600, "s"),
    "membership.heartbeat_interval_s": _create_range_rule(0.05, 60, "s"),
    "membership.suspect_after_s": _create_range_rule(0.1, 600, "s"),
    "membership.flap_window_s": _create_range_rule(0, 3600, "s"),
    "membership.flap_penalty_s": _create_range_rule(0, 600, "s"),
    "policy.policy": _create_choice_rule(SCHEDULING_POLICIES),
    "policy.short_reserve": _create_range_rule(0, 0.95, "of the slots"),
    "policy.long_factor": _create_range_rule(1, 1000, "times the median run time"),
    "policy.short_memory_s": _create_range_rule(0, 600, "s"),
    "policy.digest_interval_s": _create_range_rule(0.05, 60, "s"),
    "policy.quarantine_failures": _create_range_rule(1, 1000, "failures"),
    "policy.quarantine_max_share": _create_range_rule(0, 1, "of the agents"),
}


@dataclass(slots=True, frozen=True)
class SettingRelation:
    """A relation that must hold between settings of one section."""

    section: str
    key: str
    compared_keys: tuple[str, ...]
    allowed: str
    holds: Callable[[object], bool]


SETTING_RELATIONS = (
    SettingRelation(
        "claims",
        "max_key_lifetime_s",
        ("max_clock_skew_s",),
        "more than twice max_clock_skew_s, or no key could be accepted",
        lambda claims: claims.max_key_lifetime_s > 2 * claims.max_clock_skew_s,
    ),
    SettingRelation(
        "claims",
        "claim_window_min_s",
        ("claim_window_max_s",),
        "at most claim_window_max_s",
        lambda claims: claims.claim_window_min_s <= claims.claim_window_max_s,
    ),
    SettingRelation(
        "claims",
        "claim_window_max_s",
        ("claim_timeout_s",),
        "less than claim_timeout_s, or claims time out before they are sent",
        lambda claims: claims.claim_window_max_s < claims.claim_timeout_s,
    ),
    SettingRelation(
        "claims",
        "roster_ttl_s",
        ("roster_refresh_s", "max_clock_skew_s"),
        "more than roster_refresh_s + max_clock_skew_s, or live agents would"
        " leave the roster between two refreshes",
        lambda claims: (
            claims.roster_ttl_s > claims.roster_refresh_s + claims.max_clock_skew_s
        ),
    ),
    SettingRelation(
        "membership",
        "suspect_after_s",
        ("heartbeat_interval_s",),
        "more than heartbeat_interval_s, or every agent would become suspect",
        lambda membership: membership.suspect_after_s > membership.heartbeat_interval_s,
    ),
)
