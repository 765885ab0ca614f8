"""Decisions on stored jobs: no I/O, no clock, no global random.

The owner of a shard decides about its jobs, an agent about the runs on its worker.
Both take typed events with the time and return typed commands.
"""
