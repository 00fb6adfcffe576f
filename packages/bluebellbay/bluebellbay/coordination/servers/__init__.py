"""Decisions on backend servers: health, selection, ejection, leaving."""
