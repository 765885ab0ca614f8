"""Services of the agent role."""
