"""Addresses as settings write them: ``host:port``."""

from .exceptions import ConfigurationError


def split_address(address):
    """Return host and port of ``host:port``; an IPv6 host stands in brackets."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ConfigurationError(f"address {address!r} is not host:port")
    return host.strip("[]"), int(port)
