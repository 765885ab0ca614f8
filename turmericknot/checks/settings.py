"""System checks that read the settings files only."""

import ipaddress
from collections import defaultdict

from turmericknot.conf import loader
from turmericknot.conf.rules import MIN_SUSPECT_HEARTBEAT_INTERVALS
from turmericknot.conf.schema import AgentSettings, EntrySettings
from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import SettingsError

from .messages import create_error, create_warning
from .registry import CheckContext, Tags, register

_PROBLEM_IDS = {
    loader.SettingsProblemKind.FILE: "tk.E001",
    loader.SettingsProblemKind.KEY: "tk.E002",
    loader.SettingsProblemKind.VALUE: "tk.E003",
    loader.SettingsProblemKind.RELATION: "tk.E004",
}
LISTENING_ADDRESS_KEYS = ("http_address", "link_address", "announce_address")


def load_settings_files(paths, role=None):
    """Load settings files and return ``(context, messages)``.

    The context holds the valid files, the messages the problems of the others.
    """
    context = CheckContext()
    messages = []
    for path in paths:
        try:
            context.settings[str(path)] = loader.load_settings(path, role)
        except SettingsError as error:
            messages.extend(
                _create_problem_message(problem) for problem in error.problems
            )
    return context, messages


def _create_problem_message(problem):
    """Return the check message for a problem of a settings file."""
    prefix = f"{problem.key}: " if problem.key else ""
    text = f"{prefix}found {problem.found}; allowed: {problem.allowed}"
    hint = f"did you mean {problem.suggestion!r}?" if problem.suggestion else ""
    return create_error(_PROBLEM_IDS[problem.kind], text, hint, problem.file)


def get_listening_addresses(settings):
    """Return ``(key, address)`` for each address that the process listens on."""
    present = [key for key in LISTENING_ADDRESS_KEYS if hasattr(settings, key)]
    return [(key, getattr(settings, key)) for key in present]


def _get_entry_settings(context):
    """Return ``(file, settings)`` for each entry."""
    items = context.settings.items()
    return [item for item in items if isinstance(item[1], EntrySettings)]


def _get_agent_settings(context):
    """Return ``(file, settings)`` for each agent."""
    items = context.settings.items()
    return [item for item in items if isinstance(item[1], AgentSettings)]


def _is_wildcard_address(address):
    """Return whether the host of an address means all interfaces."""
    host, _ = split_address(address)
    try:
        return ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False


@register(Tags.SETTINGS)
def check_unique_ids(context):
    """Report entries or agents that share an id (tk.E010)."""
    files_by_id = defaultdict(list)
    for file, settings in context.settings.items():
        key = "entry_id" if isinstance(settings, EntrySettings) else "agent_id"
        files_by_id[key, getattr(settings, key)].append(file)
    return [
        create_error(
            "tk.E010",
            f"{key} {role_id!r} is used by {len(files)} files: {', '.join(files)}",
            "give every process its own id",
        )
        for (key, role_id), files in files_by_id.items()
        if len(files) > 1
    ]


@register(Tags.SETTINGS)
def check_duplicate_addresses(context):
    """Report an address that one process would bind twice (tk.E011)."""
    messages = []
    for file, settings in context.settings.items():
        keys_by_address = defaultdict(list)
        for key, address in get_listening_addresses(settings):
            keys_by_address[address].append(key)
        messages += [
            create_error(
                "tk.E011",
                f"{' and '.join(keys)} are both {address}",
                "give each listener its own port",
                file,
            )
            for address, keys in keys_by_address.items()
            if len(keys) > 1
        ]
    return messages


@register(Tags.SETTINGS)
def check_advertised_address(context):
    """Report link addresses that agents and peers cannot connect to (tk.E013)."""
    messages = []
    for file, settings in _get_entry_settings(context):
        advertised = settings.advertised_link_address or settings.link_address
        if _is_wildcard_address(advertised):
            text = (
                f"{advertised} is advertised to agents and peers, which cannot connect"
                " to a wildcard address"
            )
            hint = "set advertised_link_address to an address of this host"
            messages.append(create_error("tk.E013", text, hint, file))
    return messages


@register(Tags.SETTINGS)
def check_agent_seed_entries(context):
    """Report agents without the address of any entry (tk.E012)."""
    return [
        create_error(
            "tk.E012",
            "seed_entries is empty: the agent cannot reach any entry",
            "list the link_address of at least one entry, or of the load balancer",
            file,
        )
        for file, settings in _get_agent_settings(context)
        if not settings.seed_entries
    ]


@register(Tags.SETTINGS)
def check_suspect_timeout(context):
    """Report a suspect_after_s that one late heartbeat exceeds (tk.W011)."""
    messages = []
    for file, settings in context.settings.items():
        membership = settings.membership
        intervals = membership.suspect_after_s / membership.heartbeat_interval_s
        if intervals < MIN_SUSPECT_HEARTBEAT_INTERVALS:
            text = (
                f"suspect_after_s is only {intervals:.2g} times heartbeat_interval_s:"
                " one late heartbeat makes a peer suspect"
            )
            hint = "use at least twice the interval"
            messages.append(create_warning("tk.W011", text, hint, file))
    return messages


@register(Tags.SETTINGS)
def check_consistent_claim_bounds(context):
    """Report entries with different key lifetimes or clock skew bounds (tk.E014).

    At-most-once execution holds only if all entries use the same bounds.
    """
    bounds = {
        file: (settings.claims.max_key_lifetime_s, settings.claims.max_clock_skew_s)
        for file, settings in _get_entry_settings(context)
    }
    if len(set(bounds.values())) <= 1:
        return []
    values = "; ".join(
        f"{file}: {lifetime:g} s, {skew:g} s"
        for file, (lifetime, skew) in bounds.items()
    )
    return [
        create_error(
            "tk.E014",
            f"max_key_lifetime_s and max_clock_skew_s differ between entries: {values}",
            "use the same values at every entry",
        )
    ]


@register(Tags.SETTINGS)
def check_fence_lifetime(context):
    """Report agents that drop a fence before the keys it covers expire (tk.E015)."""
    claim_settings = [settings.claims for _, settings in _get_entry_settings(context)]
    required_s = max(
        (get_claim_lifetime_s(claims) for claims in claim_settings), default=0.0
    )
    return [
        create_error(
            "tk.E015",
            f"fence_lifetime_s is {settings.fence_lifetime_s:g} s, but keys live up"
            f" to {required_s:g} s (max_key_lifetime_s + 2 * max_clock_skew_s)",
            "raise fence_lifetime_s, or a fenced owner could start tasks again",
            file,
        )
        for file, settings in _get_agent_settings(context)
        if settings.fence_lifetime_s < required_s
    ]


def get_claim_lifetime_s(claims):
    """Return how long a claim must be kept after it was made."""
    return claims.max_key_lifetime_s + 2 * claims.max_clock_skew_s
