"""The roles of a site on the users' platform.

Each role is one process with one event loop. An entry accepts jobs from clients and
owns shards; an agent runs next to a worker and controls it.
"""
