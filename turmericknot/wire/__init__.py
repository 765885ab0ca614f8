"""Messages and network streams between entries and agents."""
