"""A query tier that spans many shards."""
