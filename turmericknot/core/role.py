"""Run a role: start its services, wait for a shutdown, stop gracefully."""

from turmericknot.utils.logging import get_logger

from .exceptions import DispatcherFailed
from .kernel import running_services
from .lifecycle import RoleOutcome, create_lifecycle, shutdown_on_signals

# Threads pass work to each other several times per task. The default switch interval
# of 5 ms would add up to 5 ms to each handover while another thread is computing.
SWITCH_INTERVAL_S = 0.005
# Added to the drain timeout, for the last responses to be written.
DRAIN_MARGIN_S = 1.0


def run_role(services, settings, drain):
    """Run a role until it is stopped.

    ``services`` is a list of ``(name, factory)``; ``drain(kernel)`` asks the role to
    finish the work in progress. A retired incarnation is replaced by a new one.
    Raise AddressInUse if a port is taken and DispatcherFailed if the role failed.
    """
    while True:
        outcome, reason = _run(services, settings, drain)
        get_logger().info("role.ended", outcome=outcome.value, reason=reason)
        if outcome is RoleOutcome.FAILED:
            raise DispatcherFailed(reason)
        if outcome is RoleOutcome.STOPPED:
            return


def _run(services, settings, drain):
    factories = [("lifecycle", create_lifecycle), *services]
    with running_services(factories, settings) as kernel:
        lifecycle = kernel.get("lifecycle")
        with shutdown_on_signals(lifecycle):
            get_logger().info("role.started", services=",".join(kernel.service_names))
            lifecycle.wait_for_shutdown()
            if lifecycle.outcome is RoleOutcome.STOPPED:
                drain(kernel)
                lifecycle.wait_until_drained(settings.drain_timeout_s + DRAIN_MARGIN_S)
        return lifecycle.outcome, lifecycle.reason
