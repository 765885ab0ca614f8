"""Convert arguments of commands, which arrive as text."""

import math

from turmericknot.core.exceptions import UsageError


def to_number(text, name, low=0.0, high=math.inf):
    """Return a finite number within bounds or raise UsageError."""
    try:
        value = float(text)
    except ValueError:
        raise UsageError(f"{name}: found {text!r}; allowed: a number") from None
    if not math.isfinite(value) or not low <= value <= high:
        bounds = f"{low:g} or more" if high == math.inf else f"{low:g} to {high:g}"
        raise UsageError(f"{name}: found {text!r}; allowed: {bounds}")
    return value
