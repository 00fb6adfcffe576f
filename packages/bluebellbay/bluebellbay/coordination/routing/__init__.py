"""Decisions on requests that are routed to replicas."""
