"""Clients for the platform's log service and for targets."""
