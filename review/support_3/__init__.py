"""Stand-ins of the platform and a small site of real processes for cases 11 to 15."""
