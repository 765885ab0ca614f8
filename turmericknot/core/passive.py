"""Base class of services without start and stop actions."""


class PassiveService:
    """Service for which starting and stopping have no effect."""

    __slots__ = ()

    def start(self):
        """Do nothing."""

    def stop(self):
        """Do nothing."""
