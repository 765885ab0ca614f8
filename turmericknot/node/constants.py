"""Constants that entries and agents of a site must share."""

# Shards of a site. Each has one owner, which decides alone over all its jobs.
SHARD_COUNT = 1
REDIAL_LIMIT_S = 0.5  # longest pause between attempts to reach a process
