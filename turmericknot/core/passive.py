"""Base of services that only hold state."""


class PassiveService:
    """Let the kernel start and stop a service that has nothing to do then."""

    __slots__ = ()

    def start(self):
        """Do nothing."""

    def stop(self):
        """Do nothing."""
