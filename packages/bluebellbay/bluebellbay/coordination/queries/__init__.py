"""Decisions on queries over key ranges."""
