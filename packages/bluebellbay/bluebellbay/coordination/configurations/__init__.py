"""Decisions on the operators' configuration and its spreading."""
