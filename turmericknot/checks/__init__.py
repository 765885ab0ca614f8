"""System checks with ids and hints."""
