"""Messages and links between entries and agents."""
