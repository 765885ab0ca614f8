"""``turmericknot status``."""

from turmericknot.conf import global_settings
from turmericknot.management import client, output
from turmericknot.management.registry import register

HISTOGRAM_COLUMNS = (
    "name",
    "team",
    "task_class",
    "count",
    "p50",
    "p90",
    "p99",
    "p999",
    "max",
)


@register("status")
def show_status(address=global_settings.HTTP_ADDRESS, *, json=False):
    """Show workers, teams, queues, response times and the configuration version.

    The meaning of each column is explained in docs/how-to/read-status.md.

    Args:
        address: http_address of an entry
        json: print everything as JSON
    """
    status = client.read_status(address)
    if json:
        output.print_json(status)
        return
    print_status(status)


def print_status(status):
    """Print the status of an entry as tables."""
    _print_fields(status)
    for name, value in status.items():
        if name != "histograms" and _is_table(value):
            _print_section(name, value)
    histograms = status.get("histograms")
    if histograms:
        print_histograms(histograms)


def print_histograms(histograms):
    """Print durations in milliseconds per name, team and class."""
    print("\nhistograms (ms)")
    rows = [[one.get(name) for name in HISTOGRAM_COLUMNS] for one in histograms]
    output.print_table(HISTOGRAM_COLUMNS, rows)


def _print_fields(status):
    """Print what is neither a list nor a group of named things."""
    rows = []
    for name, value in status.items():
        if isinstance(value, list) or _is_table(value):
            continue
        if isinstance(value, dict):
            rows += [(f"{name}.{key}", inner) for key, inner in value.items()]
        else:
            rows.append((name, value))
    output.print_table(("field", "value"), rows)


def _is_table(value):
    """Tell whether a value is a list of dicts or a dict of dicts."""
    rows = value.values() if isinstance(value, dict) else value
    return isinstance(value, dict | list) and all(isinstance(r, dict) for r in rows)


def _print_section(name, value):
    """Print a list of dicts, or a dict of dicts whose keys become a column."""
    if isinstance(value, dict):
        value = [{"name": key, **row} for key, row in value.items()]
    columns = list(dict.fromkeys(key for row in value for key in row))
    print(f"\n{name}" if value else f"\n{name}: none")
    if value:
        rows = [[row.get(column) for column in columns] for row in value]
        output.print_table(columns, rows)
