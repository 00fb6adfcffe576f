"""Daemon processes that serve queries and route requests."""
