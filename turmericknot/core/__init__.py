"""Service registry, process lifecycle, exceptions and identifiers."""
