"""Output of commands: tables for people and JSON for programs."""

import sys

import msgspec


def print_json(value):
    """Print a value as indented JSON on standard output."""
    encoded = msgspec.json.encode(value)
    sys.stdout.write(msgspec.json.format(encoded, indent=2).decode() + "\n")


def print_table(columns, rows):
    """Print rows of values as a table with column names; numbers are right-aligned."""
    text_rows = [list(columns), *([_cell_text(value) for value in row] for row in rows)]
    widths = [max(len(row[i]) for row in text_rows) for i in range(len(columns))]
    is_numeric = [
        bool(rows) and all(isinstance(row[i], int | float) for row in rows)
        for i in range(len(columns))
    ]
    for row in text_rows:
        cells = [
            text.rjust(width) if right else text.ljust(width)
            for text, width, right in zip(row, widths, is_numeric, strict=True)
        ]
        print("  ".join(cells).rstrip())


def _cell_text(value):
    """Return the text of a value in a table cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    return "" if value is None else str(value)
