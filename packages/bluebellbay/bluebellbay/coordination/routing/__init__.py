"""Routing of requests to replicas."""
