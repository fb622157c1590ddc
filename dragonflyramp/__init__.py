"""Serve searches over many shards of backend servers."""
