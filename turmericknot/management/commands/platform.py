"""``turmericknot platform check``."""

import sys

from turmericknot.core.exceptions import SettingsError, UsageError
from turmericknot.management import exit_codes
from turmericknot.management.registry import register
from turmericknot.platform.settings import load_settings


@register("platform", "check")
def check(role, settings):
    """Check the settings of a role on the users' platform; show all problems at once.

    Args:
        role: entry or agent
        settings: settings file as the platform fills it in (TOML)
    """
    if role not in ("entry", "agent"):
        raise UsageError(f"role: found {role!r}; allowed: entry, agent")
    try:
        load_settings(role, settings)
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return exit_codes.USAGE
    print(f"{settings}: no problems")
    return exit_codes.OK
