"""Decisions on the other nodes: membership and connection shares."""
