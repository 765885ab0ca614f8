"""Run a role: start its services, wait for the end, stop gracefully."""

import sys

from turmericknot.utils.logging import get_logger

from .exceptions import AddressInUse
from .kernel import running
from .lifecycle import Outcome, create_lifecycle, signals_end

EXIT_OK = 0
EXIT_FAILED = 70  # EX_SOFTWARE
EXIT_ADDRESS_IN_USE = 75  # EX_TEMPFAIL: another process may free the port

# Threads hand work over several times per task; the default interval of 5 ms would
# add that much to each hand-over while another thread computes.
SWITCH_INTERVAL_S = 0.0005
# Beyond the drain time, for the last answers to be written.
DRAIN_MARGIN_S = 1.0


def serve_role(services, settings, drain):
    """Run a role until it is told to stop; return the exit code.

    ``services`` is a list of ``(name, factory)``; ``drain(kernel)`` asks the role to
    finish what is in flight. A retired incarnation is replaced by a new one.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    while True:
        try:
            outcome, reason = _run(services, settings, drain)
        except AddressInUse as error:
            get_logger().error("role.address_in_use", address=str(error))
            return EXIT_ADDRESS_IN_USE
        get_logger().info("role.ended", outcome=outcome.value, reason=reason)
        if outcome is Outcome.FAILED:
            return EXIT_FAILED
        if outcome is Outcome.STOPPED:
            return EXIT_OK


def _run(services, settings, drain):
    factories = [("lifecycle", create_lifecycle), *services]
    with running(factories, settings) as kernel:
        lifecycle = kernel.get("lifecycle")
        with signals_end(lifecycle):
            get_logger().info("role.started", services=",".join(kernel.names))
            lifecycle.wait()
            if lifecycle.outcome is Outcome.STOPPED:
                drain(kernel)
                lifecycle.wait_drained(settings.drain_timeout_s + DRAIN_MARGIN_S)
        return lifecycle.outcome, lifecycle.reason
