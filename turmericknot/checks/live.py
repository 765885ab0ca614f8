"""System checks that need the network: listening addresses and the log service."""

import socket
import time

from turmericknot.conf.schema import EntrySettings
from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import TurmericknotError

from .messages import create_error, create_warning
from .registry import Tags, register
from .settings import claim_lifetime_s, listening_addresses

# A clock this far into the allowed difference should be looked at.
WARN_SKEW_SHARE = 0.5


@register(Tags.LIVE)
def check_addresses_free(context):
    """Find listening addresses that cannot be bound (tk.E020)."""
    messages = []
    for file, settings in context.settings.items():
        for key, address in listening_addresses(settings):
            reason = _bind_failure(address)
            if reason:
                text = f"{key} {address} cannot be bound: {reason}"
                hint = "end the process that uses it, or choose another port"
                messages.append(create_error("tk.E020", text, hint, file))
    return messages


def _bind_failure(address):
    """Return why the address cannot be bound, or an empty string."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as listener:
        # Servers set this too: a connection in TIME_WAIT does not block the port.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
            listener.listen(1)
        except OSError as error:
            return error.strerror or str(error)
    return ""


@register(Tags.LIVE)
def check_log_service(context):
    """Find log services that are out of reach or keep records too briefly."""
    messages = []
    for file, settings in context.settings.items():
        if isinstance(settings, EntrySettings):
            messages += _log_messages(context, file, settings)
    return messages


def _log_messages(context, file, settings):
    """Return the messages on the log service of one entry (tk.E021, E030, E031)."""
    try:
        info = context.fetch_log_info(settings.log_url)
    except TurmericknotError as error:
        text = f"the log service at {settings.log_url} cannot be reached: {error}"
        hint = "check log_url; an entry starts without it but refuses claimed work"
        return [create_error("tk.E021", text, hint, file)]
    return [
        *check_retention(settings.claims, info.retention_s, file),
        *check_clock(settings.claims, info.log_time - time.time(), file),
    ]


def check_retention(claims, retention_s, subject=""):
    """Compare the log's retention with the lifetime of keys (tk.E030)."""
    needed_s = claim_lifetime_s(claims)
    if retention_s >= needed_s:
        return []
    text = (
        f"the log service keeps records for {retention_s:g} s, but claims are needed"
        f" for {needed_s:g} s (max_key_lifetime_s + 2 * max_clock_skew_s)"
    )
    hint = "raise the retention of the log service or lower max_key_lifetime_s"
    return [create_error("tk.E030", text, hint, subject)]


def check_clock(claims, difference_s, subject=""):
    """Compare the log's clock with the local one (tk.E031, tk.W031)."""
    bound_s = claims.max_clock_skew_s
    text = f"the clock differs by {difference_s:.3f} s from that of the log service"
    if abs(difference_s) > bound_s:
        hint = f"set the clock: beyond {bound_s:g} s an entry refuses every job"
        return [create_error("tk.E031", text, hint, subject)]
    if abs(difference_s) > WARN_SKEW_SHARE * bound_s:
        hint = f"an entry refuses every job beyond {bound_s:g} s"
        return [create_warning("tk.W031", text, hint, subject)]
    return []
