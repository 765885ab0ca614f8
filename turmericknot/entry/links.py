"""Streams of an entry: agents and peers told apart by their first message."""

from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.links import LinkCallbacks, create_links
from turmericknot.wire.messages import Hello, PeerHello


def create_entry_links(kernel, settings):
    """Return the links service of an entry."""
    callbacks = LinkCallbacks(
        opened=lambda *args: _opened(kernel, streams, *args),
        received=lambda *args: _received(kernel, streams, *args),
        closed=lambda *args: _closed(kernel, streams, *args),
        dial_failed=lambda *args: kernel.get("peers").dial_failed(*args),
    )
    streams = {}  # stream -> type of its messages' event
    return create_links(callbacks, settings.link_address)


def _opened(kernel, streams, stream, first, key):
    if isinstance(first, Hello) and key is None:
        streams[stream] = events.AgentMessage
        kernel.get("dispatcher").post(events.AgentConnected(stream, first))
    elif isinstance(first, PeerHello):
        if kernel.get("peers").opened(stream, first, key):
            streams[stream] = events.PeerMessage
            kernel.get("dispatcher").post(events.PeerConnected(stream, first))
            kernel.get("config").peer_opened(stream, first.config_version)
    else:
        get_logger().warning("link.unexpected_hello", type=type(first).__name__)
        kernel.get("links").close(stream, "unexpected first message")


def _received(kernel, streams, stream, messages):
    event = streams.get(stream)
    if event is None:
        return
    if event is events.PeerMessage:
        messages = kernel.get("config").take_updates(messages)
    kernel.get("dispatcher").post_all(event(stream, each) for each in messages)


def _closed(kernel, streams, stream, reason):
    event = streams.pop(stream, None)
    kernel.get("config").closed(stream)
    get_logger().info("link.closed", stream=stream, reason=reason)
    if event is events.AgentMessage:
        kernel.get("dispatcher").post(events.AgentDisconnected(stream))
    else:
        kernel.get("peers").closed(stream)
        if event is events.PeerMessage:
            kernel.get("dispatcher").post(events.PeerDisconnected(stream))
