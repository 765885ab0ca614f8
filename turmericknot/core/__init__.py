"""Service registry, exceptions and identifiers."""
