"""Decisions on requests that are not idempotent, and their claims."""
