"""Command ``turmericknot status``."""

from turmericknot.conf import global_settings
from turmericknot.management import client, output
from turmericknot.management.registry import register_command

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


@register_command("status")
def show_status(address=global_settings.HTTP_ADDRESS, *, json=False):
    """Show workers, teams, queues, response times and the configuration version.

    The meaning of each column is explained in docs/how-to/read-status.md.

    Args:
        address: http_address of an entry
        json: print the whole status as JSON
    """
    status = client.read_status(address)
    if json:
        output.print_json(status)
        return
    print_status(status)


def print_status(status):
    """Print the status of an entry as tables."""
    fields, tables = [], {}
    histograms = status.pop("histograms", None)
    _split_fields_and_tables("", status, fields, tables)
    output.print_table(("field", "value"), fields)
    for name, value in tables.items():
        _print_named_table(name, value)
    if histograms:
        print_histograms(histograms)


def print_histograms(histograms):
    """Print histograms of durations in milliseconds by name, team and task class."""
    print("\nhistograms (ms)")
    rows = [
        [histogram.get(name) for name in HISTOGRAM_COLUMNS] for histogram in histograms
    ]
    output.print_table(HISTOGRAM_COLUMNS, rows)


def _split_fields_and_tables(prefix, values, fields, tables):
    """Add single values to ``fields`` and tables to ``tables``.

    Names of nested values are joined with dots.
    """
    for name, value in values.items():
        path = f"{prefix}{name}"
        if _is_table(value):
            tables[path] = value
        elif isinstance(value, dict):
            _split_fields_and_tables(f"{path}.", value, fields, tables)
        elif isinstance(value, list):
            fields.append((path, ", ".join(str(item) for item in value)))
        else:
            fields.append((path, value))


def _is_table(value):
    """Tell whether a value is a nonempty list or dict of flat dicts."""
    if not isinstance(value, dict | list) or not value:
        return False
    rows = value.values() if isinstance(value, dict) else value
    return all(isinstance(row, dict) and not _contains_dicts(row) for row in rows)


def _contains_dicts(row):
    """Tell whether a row contains dicts and is thus a group of tables."""
    return any(isinstance(value, dict) for value in row.values())


def _print_named_table(name, value):
    """Print a list of dicts, or a dict of dicts whose keys become column ``name``."""
    if isinstance(value, dict):
        value = [{"name": key, **row} for key, row in value.items()]
    columns = list(dict.fromkeys(key for row in value for key in row))
    print(f"\n{name}")
    rows = [[row.get(column) for column in columns] for row in value]
    output.print_table(columns, rows)
