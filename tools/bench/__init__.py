"""Benchmark of a whole federation that runs as processes on one machine."""
