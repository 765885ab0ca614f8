"""Capacity estimates for the expected size in two years, from local measurements."""
