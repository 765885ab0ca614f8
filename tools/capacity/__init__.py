"""Measure slopes on one machine and work out the size of two years from now."""
