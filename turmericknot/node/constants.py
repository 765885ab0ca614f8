"""Constants that have to be equal in all entries and agents of a site."""

# Number of shards of a site. Each shard has one owner, which alone decides over the
# jobs of the shard.
SHARD_COUNT = 1
REDIAL_LIMIT_S = 0.5  # longest pause between connection attempts
