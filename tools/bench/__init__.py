"""Bench of the whole system as real processes on one machine."""
