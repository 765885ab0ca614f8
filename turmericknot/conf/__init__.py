"""Settings: defaults, loading and validation."""
