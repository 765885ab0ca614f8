"""Microkernel: a registry in which services look each other up by name."""

from contextlib import contextmanager

from .exceptions import DuplicateService, ServiceNotFound


class Kernel:
    """Registry of the services of a process, in start order."""

    __slots__ = ("_services",)

    def __init__(self):
        self._services = {}

    @property
    def service_names(self):
        """Return the names of the services in start order."""
        return tuple(self._services)

    def register(self, name, service):
        """Add a service; raise DuplicateService if the name is taken."""
        if name in self._services:
            raise DuplicateService(f"a service named {name!r} is already registered")
        self._services[name] = service
        return service

    def get(self, name):
        """Return the service with this name or raise ServiceNotFound."""
        try:
            return self._services[name]
        except KeyError:
            raise ServiceNotFound(name, self.service_names) from None


@contextmanager
def running_services(factories, settings):
    """Create and start services in order; on exit, stop them in reverse order.

    ``factories`` is a list of ``(name, factory)``; a factory takes the kernel and
    the settings and returns a service with ``start()`` and ``stop()``.
    """
    kernel = Kernel()
    for name, factory in factories:
        kernel.register(name, factory(kernel, settings))
    started = []
    try:
        for name in kernel.service_names:
            service = kernel.get(name)
            service.start()
            started.append(service)
        yield kernel
    finally:
        for service in reversed(started):
            service.stop()
