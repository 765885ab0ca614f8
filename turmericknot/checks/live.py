"""System checks that use the network: listening addresses and the log service."""

import socket
import time

from turmericknot.conf.schema import EntrySettings
from turmericknot.core.addresses import split_address
from turmericknot.core.exceptions import TurmericknotError

from .messages import create_error, create_warning
from .registry import Tags, register
from .settings import get_claim_lifetime_s, get_listening_addresses

# A clock difference above this share of max_clock_skew_s gives a warning.
CLOCK_SKEW_WARNING_RATIO = 0.5


@register(Tags.LIVE)
def check_addresses_free(context):
    """Report listening addresses that cannot be bound (tk.E020)."""
    messages = []
    for file, settings in context.settings.items():
        for key, address in get_listening_addresses(settings):
            reason = _get_bind_error(address)
            if reason:
                text = f"{key} {address} cannot be bound: {reason}"
                hint = "stop the process that uses the port, or choose another port"
                messages.append(create_error("tk.E020", text, hint, file))
    return messages


def _get_bind_error(address):
    """Return the reason why the address cannot be bound, or an empty string."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as listener:
        # The servers set SO_REUSEADDR too, so a connection in TIME_WAIT does not
        # make the port unavailable.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
            listener.listen(1)
        except OSError as error:
            return error.strerror or str(error)
    return ""


@register(Tags.LIVE)
def check_log_service(context):
    """Report unreachable or unsuitable log services.

    tk.E021: unreachable; tk.E030: retention too short; tk.E031, tk.W031: clock skew.
    """
    messages = []
    for file, settings in context.settings.items():
        if isinstance(settings, EntrySettings):
            messages += _check_entry_log_service(context, file, settings)
    return messages


def _check_entry_log_service(context, file, settings):
    """Return the messages about the log service of one entry."""
    try:
        info = context.fetch_log_info(settings.log_url)
    except TurmericknotError as error:
        text = f"the log service at {settings.log_url} cannot be reached: {error}"
        hint = "check log_url; an entry starts without it but refuses claimed work"
        return [create_error("tk.E021", text, hint, file)]
    return [
        *check_log_retention(settings.claims, info.retention_s, file),
        *check_log_clock(settings.claims, info.log_time - time.time(), file),
    ]


def check_log_retention(claims, retention_s, subject=""):
    """Report a log retention shorter than the lifetime of claims (tk.E030)."""
    required_s = get_claim_lifetime_s(claims)
    if retention_s >= required_s:
        return []
    text = (
        f"the log service keeps records for {retention_s:g} s, but claims are needed"
        f" for {required_s:g} s (max_key_lifetime_s + 2 * max_clock_skew_s)"
    )
    hint = "raise the retention of the log service or lower max_key_lifetime_s"
    return [create_error("tk.E030", text, hint, subject)]


def check_log_clock(claims, skew_s, subject=""):
    """Report a clock that differs from that of the log service (tk.E031, tk.W031)."""
    max_skew_s = claims.max_clock_skew_s
    text = f"the clock differs by {skew_s:.3f} s from that of the log service"
    if abs(skew_s) > max_skew_s:
        hint = f"set the clock: beyond {max_skew_s:g} s an entry refuses every job"
        return [create_error("tk.E031", text, hint, subject)]
    if abs(skew_s) > CLOCK_SKEW_WARNING_RATIO * max_skew_s:
        hint = f"an entry refuses every job beyond {max_skew_s:g} s"
        return [create_warning("tk.W031", text, hint, subject)]
    return []
