"""Run a role on the platform: ``python -m turmericknot.node entry|agent``.

This entry point is separate from the command line because a role has little memory
and its start time adds to the outage of a restart: it imports only what it uses.
"""

import gc
import sys

from turmericknot.core.exceptions import SettingsError, TurmericknotError
from turmericknot.platform.settings import load_settings
from turmericknot.utils import logging

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_SETTINGS = 3


def main(arguments):
    """Run the role in the arguments and return the exit code."""
    if len(arguments) != 1 or arguments[0] not in ("entry", "agent"):
        print("usage: python -m turmericknot.node entry|agent", file=sys.stderr)
        return EXIT_USAGE
    role = arguments[0]
    logging.configure_stdout_logging()
    try:
        settings = load_settings(role)
    except SettingsError as error:
        for problem in error.problems:
            logging.get_logger().error("settings.invalid", problem=problem)
        return EXIT_SETTINGS
    gc.freeze()  # excludes the long-lived objects of the start-up from collections
    try:
        return _run_role(role, settings)
    except TurmericknotError as error:
        logging.get_logger().error("role.failed", role=role, reason=str(error))
        return EXIT_FAILED


def _run_role(role, settings):
    # Imported here, so that a process loads only the modules of its own role.
    if role == "entry":
        from .entry import run_entry

        return run_entry(settings)
    from .agent import run_agent

    return run_agent(settings)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
