"""``turmericknot version``."""

import turmericknot
from turmericknot.management.registry import register
from turmericknot.wire.messages import PROTOCOL_VERSION


@register("version")
def show_version():
    """Print the version of the program and of its protocol."""
    print(f"turmericknot {turmericknot.__version__} (protocol {PROTOCOL_VERSION})")
