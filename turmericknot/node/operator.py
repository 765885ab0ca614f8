"""Applies new versions of the operator's configuration from the store."""

from turmericknot.core.exceptions import MessageError
from turmericknot.platform.configuration import CONFIGURATION_KEY, decode_configuration
from turmericknot.platform.store import OPERATOR_TOPIC
from turmericknot.utils.logging import get_logger

# A poll on a dead connection fails after this time plus the call time-out. A new
# version has to be in force within 2 s.
POLL_WAIT_S = 0.8
RETRY_DELAY_S = 0.1


async def follow_configuration(store, on_change):
    """Call ``on_change(configuration)`` for each newer version in the store."""
    version = -1
    async for record in store.follow(
        OPERATOR_TOPIC, POLL_WAIT_S, RETRY_DELAY_S, "config"
    ):
        if record.key == CONFIGURATION_KEY and record.value:
            version = _apply_if_newer(record.value, version, on_change)


def _apply_if_newer(value, version, on_change):
    """Call ``on_change`` for a newer version; return the version in force."""
    try:
        configuration = decode_configuration(value)
    except MessageError as error:
        get_logger().error("config.unreadable", reason=str(error), in_force=version)
        return version
    if configuration.version <= version:
        return version
    get_logger().info(
        "config.in_force",
        version=configuration.version,
        former=version,
        queues=len(configuration.queues),
    )
    on_change(configuration)
    return configuration.version
