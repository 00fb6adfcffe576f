"""Decisions on backend servers: health, choice, leaving."""
