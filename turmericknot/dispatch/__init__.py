"""Decision logic of entries and agents; performs no I/O."""
