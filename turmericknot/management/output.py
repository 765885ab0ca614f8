"""Output of commands: tables for people, JSON for programs."""

import sys

import msgspec


def print_json(value):
    """Print a value as indented JSON on standard output."""
    encoded = msgspec.json.encode(value)
    sys.stdout.write(msgspec.json.format(encoded, indent=2).decode() + "\n")


def print_table(columns, rows):
    """Print rows of values under the names of their columns."""
    texts = [list(columns), *([_text(value) for value in row] for row in rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(columns))]
    numeric = [
        bool(rows) and all(isinstance(row[i], int | float) for row in rows)
        for i in range(len(columns))
    ]
    for row in texts:
        cells = [
            text.rjust(width) if right else text.ljust(width)
            for text, width, right in zip(row, widths, numeric, strict=True)
        ]
        print("  ".join(cells).rstrip())


def _text(value):
    """Return a value as the text of a cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    return "" if value is None else str(value)
