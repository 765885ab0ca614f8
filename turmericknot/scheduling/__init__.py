"""Scheduling decisions for platform jobs: no I/O, no clock and no global random state.

The owner of a shard decides about its jobs, an agent about the runs on its worker.
Both take typed events together with the current time and return typed commands.
"""
