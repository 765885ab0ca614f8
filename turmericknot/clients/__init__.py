"""Clients of the platform's log service and of targets."""
