"""Decision logic of entries and agents, free of I/O."""
