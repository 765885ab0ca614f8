"""Parsing of ``host:port`` addresses."""

from .exceptions import ConfigurationError


def split_address(address):
    """Split ``host:port`` into host and port; IPv6 hosts are bracketed."""
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ConfigurationError(f"address {address!r} is not host:port")
    return host.strip("[]"), int(port)
