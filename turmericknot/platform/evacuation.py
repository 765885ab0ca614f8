"""Decodes the operator's records that evacuate failure domains."""

from turmericknot.core.exceptions import MessageError
from turmericknot.utils.logging import get_logger

KEY_PREFIX = "evacuate/"


class EvacuationRecords:
    """The failure domains that have a record in the operator's topic."""

    __slots__ = ("_domains", "_logged_keys")

    def __init__(self):
        self._domains = set()
        self._logged_keys = set()

    def apply(self, page):
        """Apply a RecordPage; return the failure domains that are evacuated after it.

        A record without a value ends an evacuation. So does a snapshot without the
        record: its removal is no longer in the topic.
        """
        if page.is_snapshot:
            self._domains.clear()
        for record in page.records:
            self._apply_record(record)
        return frozenset(self._domains)

    def _apply_record(self, record):
        try:
            domain = decode_failure_domain(record.key)
        except MessageError as error:
            if record.key not in self._logged_keys:
                self._logged_keys.add(record.key)
                get_logger().error(
                    "evacuation.unreadable", key=record.key, reason=str(error)
                )
            return
        if domain is None:
            return
        if record.value:
            self._domains.add(domain)
        else:
            self._domains.discard(domain)


def decode_failure_domain(key):
    """Return the failure domain that a record evacuates, or None for other records.

    Raise MessageError if the key names no failure domain.
    """
    if not key.startswith(KEY_PREFIX):
        return None
    domain = key.removeprefix(KEY_PREFIX)
    if not domain.strip() or not domain.isprintable():
        raise MessageError("names no failure domain")
    return domain


def create_evacuation_records():
    """Return the records of a topic that has not been read."""
    return EvacuationRecords()
