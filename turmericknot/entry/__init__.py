"""Services of the entry role."""
