"""Membership of agents and entries; performs no I/O."""
