"""Decisions: events and the present time in, typed commands out."""
