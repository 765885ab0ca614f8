"""Conversion of command arguments, which arrive as text."""

import math

from turmericknot.core.exceptions import UsageError


def parse_number(text, name, low=0.0, high=math.inf):
    """Return the number in a text.

    Raise UsageError unless it is finite and within ``low`` and ``high``.
    """
    try:
        value = float(text)
    except ValueError:
        raise UsageError(f"{name}: found {text!r}; allowed: a number") from None
    if not math.isfinite(value) or not low <= value <= high:
        bounds = f"{low:g} or more" if high == math.inf else f"{low:g} to {high:g}"
        raise UsageError(f"{name}: found {text!r}; allowed: {bounds}")
    return value
