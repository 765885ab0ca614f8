"""System checks that need nothing but the settings files."""

import ipaddress
from collections import defaultdict

from turmericknot.conf import loader
from turmericknot.conf.rules import MIN_HEARTBEATS_BEFORE_SUSPECT
from turmericknot.conf.schema import AgentSettings, EntrySettings
from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import SettingsError

from .messages import create_error, create_warning
from .registry import CheckContext, Tags, register

_PROBLEM_IDS = {
    loader.ProblemKind.FILE: "tk.E001",
    loader.ProblemKind.KEY: "tk.E002",
    loader.ProblemKind.VALUE: "tk.E003",
    loader.ProblemKind.RELATION: "tk.E004",
}
LISTENING_KEYS = ("http_address", "link_address", "announce_address")


def load_settings_files(paths, role=None):
    """Return ``(context, messages)`` for settings files, good or bad."""
    context = CheckContext()
    messages = []
    for path in paths:
        try:
            context.settings[str(path)] = loader.load_settings(path, role)
        except SettingsError as error:
            messages.extend(_problem_message(problem) for problem in error.problems)
    return context, messages


def _problem_message(problem):
    """Return the message for a problem of a settings file."""
    place = f"{problem.key}: " if problem.key else ""
    text = f"{place}found {problem.found}; allowed: {problem.allowed}"
    hint = f"did you mean {problem.suggestion!r}?" if problem.suggestion else ""
    return create_error(_PROBLEM_IDS[problem.kind], text, hint, problem.file)


def listening_addresses(settings):
    """Return ``(key, address)`` for each address that the process listens on."""
    present = [key for key in LISTENING_KEYS if hasattr(settings, key)]
    return [(key, getattr(settings, key)) for key in present]


def _entries(context):
    """Return ``(file, settings)`` of each entry."""
    items = context.settings.items()
    return [item for item in items if isinstance(item[1], EntrySettings)]


def _agents(context):
    """Return ``(file, settings)`` of each agent."""
    items = context.settings.items()
    return [item for item in items if isinstance(item[1], AgentSettings)]


def _is_wildcard(address):
    """Tell whether the host of an address stands for every interface."""
    host, _ = split_address(address)
    try:
        return ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False


@register(Tags.SETTINGS)
def check_unique_ids(context):
    """Find entries or agents that share an id (tk.E010)."""
    files = defaultdict(list)
    for file, settings in context.settings.items():
        key = "entry_id" if isinstance(settings, EntrySettings) else "agent_id"
        files[key, getattr(settings, key)].append(file)
    return [
        create_error(
            "tk.E010",
            f"{key} {name!r} is used by {len(names)} files: {', '.join(names)}",
            "give every process its own id",
        )
        for (key, name), names in files.items()
        if len(names) > 1
    ]


@register(Tags.SETTINGS)
def check_own_addresses(context):
    """Find an address that one process would listen on twice (tk.E011)."""
    messages = []
    for file, settings in context.settings.items():
        keys = defaultdict(list)
        for key, address in listening_addresses(settings):
            keys[address].append(key)
        messages += [
            create_error(
                "tk.E011",
                f"{' and '.join(names)} are both {address}",
                "give each listener its own port",
                file,
            )
            for address, names in keys.items()
            if len(names) > 1
        ]
    return messages


@register(Tags.SETTINGS)
def check_link_address(context):
    """Find link addresses that peers cannot dial (tk.E013)."""
    messages = []
    for file, settings in _entries(context):
        published = settings.advertised_link_address or settings.link_address
        if _is_wildcard(published):
            text = f"{published} is published to agents and peers, who cannot dial it"
            hint = "set advertised_link_address to an address of this host"
            messages.append(create_error("tk.E013", text, hint, file))
    return messages


@register(Tags.SETTINGS)
def check_agent_seeds(context):
    """Find agents that have no way to reach an entry (tk.E012)."""
    return [
        create_error(
            "tk.E012",
            "seed_entries is empty: the agent cannot reach any entry",
            "list the link_address of one entry or more, or of the load balancer",
            file,
        )
        for file, settings in _agents(context)
        if not settings.seed_entries
    ]


@register(Tags.SETTINGS)
def check_heartbeats(context):
    """Find settings under which one lost heartbeat makes an agent suspect (tk.W011)."""
    messages = []
    for file, settings in context.settings.items():
        membership = settings.membership
        silence = membership.suspect_after_s / membership.heartbeat_interval_s
        if silence < MIN_HEARTBEATS_BEFORE_SUSPECT:
            text = (
                f"suspect_after_s is only {silence:.2g} times heartbeat_interval_s:"
                " one late heartbeat makes a peer suspect"
            )
            hint = "use at least twice the interval"
            messages.append(create_warning("tk.W011", text, hint, file))
    return messages


@register(Tags.SETTINGS)
def check_same_clock_bounds(context):
    """Find entries that disagree on the bounds of at-most-once (tk.E014)."""
    bounds = {
        file: (settings.claims.max_key_lifetime_s, settings.claims.max_clock_skew_s)
        for file, settings in _entries(context)
    }
    if len(set(bounds.values())) <= 1:
        return []
    listed = "; ".join(
        f"{file}: {lifetime:g} s, {skew:g} s"
        for file, (lifetime, skew) in bounds.items()
    )
    return [
        create_error(
            "tk.E014",
            f"max_key_lifetime_s and max_clock_skew_s differ between entries: {listed}",
            "use the same values at every entry",
        )
    ]


@register(Tags.SETTINGS)
def check_fence_lifetime(context):
    """Find agents that forget a fence before the keys it covers expire (tk.E015)."""
    claims = [settings.claims for _, settings in _entries(context)]
    needed_s = max((claim_lifetime_s(one) for one in claims), default=0.0)
    return [
        create_error(
            "tk.E015",
            f"fence_lifetime_s is {settings.fence_lifetime_s:g} s, but keys live up"
            f" to {needed_s:g} s (max_key_lifetime_s + 2 * max_clock_skew_s)",
            "raise fence_lifetime_s, or a fenced owner could start tasks again",
            file,
        )
        for file, settings in _agents(context)
        if settings.fence_lifetime_s < needed_s
    ]


def claim_lifetime_s(claims):
    """Return how long a claim matters after it was made."""
    return claims.max_key_lifetime_s + 2 * claims.max_clock_skew_s
