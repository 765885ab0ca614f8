"""The roles of a site on the users' platform, each one process and one loop.

An entry takes jobs from clients and owns shards; an agent stands beside a worker.
"""
