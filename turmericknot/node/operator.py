"""Applies the operator's configuration and evacuations from the store."""

from turmericknot.core.exceptions import MessageError
from turmericknot.platform.configuration import CONFIGURATION_KEY, decode_configuration
from turmericknot.platform.evacuation import create_evacuation_records
from turmericknot.platform.store import OPERATOR_TOPIC
from turmericknot.utils.logging import get_logger

# A poll on a dead connection fails after this time plus the call time-out. A new
# version has to be in force within 2 s.
POLL_WAIT_S = 0.8
RETRY_DELAY_S = 0.1


async def follow_operator(store, on_configuration, on_evacuations):
    """Follow the operator's topic; never ends.

    ``on_configuration(configuration)`` is called for each newer version in the store.
    ``on_evacuations(domains, position)`` is called with all evacuated failure domains
    and the position in the topic up to which it has been read, once everything was read
    and whenever records were added.
    """
    version = -1
    evacuations = create_evacuation_records()
    pages = store.follow_pages(OPERATOR_TOPIC, POLL_WAIT_S, RETRY_DELAY_S, "config")
    async for page in pages:
        if page.records or page.is_snapshot:
            # Before the configuration, which lets the entry accept its first jobs.
            on_evacuations(evacuations.apply(page), page.next_offset)
        for record in page.records:
            if record.key == CONFIGURATION_KEY and record.value:
                version = _apply_if_newer(record.value, version, on_configuration)


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
