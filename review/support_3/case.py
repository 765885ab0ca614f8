"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

``TROUBLE=0`` in the environment leaves the disruption out.
"""

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

TIMEOUT_S = 112.0


class CannotRun(Exception):
    """The case did not come to its check."""


def run_case(play, file):
    """Run ``play(has_trouble, record)`` and exit; it returns the breaches as texts.

    ``record(site, lines)`` writes the record beside the ``file`` of the case.
    """
    path = Path(file).with_name("record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def record(site, lines):
        head = f"trouble: {'yes' if has_trouble else 'no'}"
        site.write_record(path, [head, *lines])

    async def main():
        # A case that is told to end still ends its processes.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        async with asyncio.timeout(TIMEOUT_S):
            return await play(has_trouble, record)

    try:
        breaches = asyncio.run(main())
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(2)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        sys.exit(2)
    print("\n".join(breaches) or "the rule held")
    sys.exit(1 if breaches else 0)
