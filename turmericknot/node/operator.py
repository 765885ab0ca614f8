"""The operator's configuration, followed in the store."""

from turmericknot.core.exceptions import MessageError
from turmericknot.platform.configuration import CONFIGURATION_KEY, decode_configuration
from turmericknot.platform.store import OPERATOR_TOPIC
from turmericknot.utils.logging import get_logger

# A watch on a connection that has gone silent ends after this time and the call
# time-out; a new version must be in force within 2 s.
WATCH_S = 0.8
RETRY_S = 0.1


async def follow_configuration(store, changed):
    """Call ``changed(configuration)`` with each version that is newer."""
    version = -1
    async for record in store.follow(OPERATOR_TOPIC, WATCH_S, RETRY_S, "config"):
        if record.key == CONFIGURATION_KEY and record.value:
            version = _apply(record.value, version, changed)


def _apply(value, version, changed):
    """Hand on a newer version; return the version in force."""
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
    changed(configuration)
    return configuration.version
