"""A model of a site in virtual time, which plays the decisions of the roles.

The owners and agents of ``turmericknot.scheduling`` run unchanged; links, workers and
callers are simulated. A run depends on its file and its seed alone.
"""
