"""Streams of an entry; the first message distinguishes agents from peers."""

from turmericknot.dispatch import events
from turmericknot.utils.logging import get_logger
from turmericknot.wire.links import LinkCallbacks, create_links
from turmericknot.wire.messages import Hello, PeerHello


def create_entry_links(kernel, settings):
    """Return the links service of an entry."""
    callbacks = LinkCallbacks(
        opened=lambda *args: _stream_opened(kernel, event_types, *args),
        received=lambda *args: _messages_received(kernel, event_types, *args),
        closed=lambda *args: _stream_closed(kernel, event_types, *args),
        dial_failed=lambda *args: kernel.get("peers").dial_failed(*args),
    )
    event_types = {}  # stream -> event type of its messages
    return create_links(callbacks, settings.link_address)


def _stream_opened(kernel, event_types, stream, first_message, dialed_address):
    if isinstance(first_message, Hello) and dialed_address is None:
        event_types[stream] = events.AgentMessage
        kernel.get("dispatcher").post(events.AgentConnected(stream, first_message))
    elif isinstance(first_message, PeerHello):
        if kernel.get("peers").stream_opened(stream, first_message, dialed_address):
            event_types[stream] = events.PeerMessage
            kernel.get("dispatcher").post(events.PeerConnected(stream, first_message))
            kernel.get("config").send_newer_config(stream, first_message.config_version)
    else:
        get_logger().warning("link.unexpected_hello", type=type(first_message).__name__)
        kernel.get("links").close(stream, "unexpected first message")


def _messages_received(kernel, event_types, stream, messages):
    event_type = event_types.get(stream)
    if event_type is None:
        return
    if event_type is events.PeerMessage:
        messages = kernel.get("config").apply_updates(messages)
    kernel.get("dispatcher").post_all(
        event_type(stream, message) for message in messages
    )


def _stream_closed(kernel, event_types, stream, reason):
    event_type = event_types.pop(stream, None)
    kernel.get("config").unsubscribe_agent(stream)
    get_logger().info("link.closed", stream=stream, reason=reason)
    if event_type is events.AgentMessage:
        kernel.get("dispatcher").post(events.AgentDisconnected(stream))
    else:
        kernel.get("peers").stream_closed(stream)
        if event_type is events.PeerMessage:
            kernel.get("dispatcher").post(events.PeerDisconnected(stream))
