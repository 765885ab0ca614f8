"""``turmericknot version``."""

import turmericknot
from turmericknot.management.registry import register_command
from turmericknot.wire.messages import PROTOCOL_VERSION


@register_command("version")
def show_version():
    """Print the version of the program and of its wire protocol."""
    print(f"turmericknot {turmericknot.__version__} (protocol {PROTOCOL_VERSION})")
